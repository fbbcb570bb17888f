"""Requests that go to another instance while this one reaches no server."""

from __future__ import annotations

from typing import NamedTuple

import structlog
from ebonyhaven_decisions import MemberRecord
from ebonyhaven_decisions.forwarding import RequestKind, Route

from ebonyhaven_node._failures import make_unknown_failure
from ebonyhaven_node.forwarding._connection_pool import (
    ConnectFailure,
    ConnectionPool,
    PendingConnection,
)
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._http_client import (
    HttpConnection,
    HttpRequest,
    ResponseHandler,
)
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._outcomes import REACH_STEP
from ebonyhaven_node.forwarding._requests import (
    MAX_RESPONSE_BYTES,
    MAX_STREAM_BYTES,
    ForwardRequest,
    Headers,
    RelayOrigin,
    ResponseHead,
)
from ebonyhaven_node.forwarding.interfaces import CallerDialect

MAX_PEERS_TRIED = 2  # by one request
REFUSED_STATUS = 503

_log = structlog.get_logger()


class _Connected(NamedTuple):
    pass


class _NotConnected(NamedTuple):
    reason: str


class _Started(NamedTuple):
    head: ResponseHead


class _Received(NamedTuple):
    data: bytes


class _Completed(NamedTuple):
    is_delimited: bool


class _Failed(NamedTuple):
    reason: str


class _ResponseInbox(ResponseHandler):
    """Puts the parts of a response into an inbox."""

    def __init__(self, inbox: Inbox, context: RelayContext):
        self._inbox = inbox
        self._context = context

    def accept_head(self, status: int, headers: Headers) -> bool:
        """See `ResponseHandler.accept_head`."""
        self._inbox.put(_Started(self._context.dialect.read_head(status, headers)))
        return True

    def handle_data(self, data: bytes) -> None:
        """See `ResponseHandler.handle_data`."""
        self._inbox.put(_Received(data))

    def complete(self, *, is_delimited: bool) -> None:
        """See `ResponseHandler.complete`."""
        self._inbox.put(_Completed(is_delimited))

    def fail(self, reason: str, *, is_connection_lost: bool) -> None:
        """See `ResponseHandler.fail`."""
        self._inbox.put(_Failed(reason))


class PeerRelay:
    """Relays one request to an instance that reaches servers, and its response back.

    The other instance handles it like a request of a caller, but does not relay it
    again.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    exchange : Exchange
    dialect : CallerDialect
    origin : RelayOrigin
        If a server may have run the request, no refusal is passed on.
    context : RelayContext
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        exchange: Exchange,
        dialect: CallerDialect,
        origin: RelayOrigin,
        context: RelayContext,
    ):
        self._origin = origin
        self._request = request
        self._route = route
        self._exchange = exchange
        self._peers = context.relay_peers
        self._dialect = dialect
        self._context = context
        self._deadline = request.arrived_at + request.limit_timeout(route.timeout_s)
        self._share = context.response_bytes.open_share()
        self._tried: list[str] = []
        self._last_refusal: tuple[ResponseHead, bytes] | None = None
        self._lost_at: MemberRecord | None = None  # instance that may have run it

    async def run(self) -> bool:
        """Relay the request, or return False if no instance takes it.

        Raises
        ------
        RequestFailure
            If the request was sent and no response arrived.
        """
        if await self._try_peers():
            return True
        if self._lost_at is not None:
            raise make_unknown_failure(
                "an instance gave no whole answer",
                step=REACH_STEP,
                peer=self._lost_at.name,
            )
        if self._last_refusal is None or self._origin.runs:
            return self._exchange.is_done
        head, body = self._last_refusal
        self._exchange.respond(head.status, head.headers, body)
        return True

    async def _try_peers(self) -> bool:
        """Relay to one instance after the other; return whether one answered."""
        try:
            while len(self._tried) < MAX_PEERS_TRIED and not self._exchange.is_done:
                peer = self._peers.choose(self._tried)
                if peer is None or self._context.clock() >= self._deadline:
                    break
                self._tried.append(peer.name)
                self._peers.record_sent(peer.name)
                try:
                    if await self._try_peer(peer):
                        return True
                finally:
                    self._peers.record_done(peer.name)
        finally:
            self._share.close()
        return False

    async def _try_peer(self, peer: MemberRecord) -> bool:
        """Relay to one instance; return whether the request is answered."""
        inbox = Inbox(self._context.reactor)
        opening = _Opening(self._context.pool, peer.caller_address, inbox)
        try:
            message = await self._get(inbox)
            if not isinstance(message, _Connected):
                self._log(peer, f"not connected: {message}")
                return False
            opening.send(self._encode(), _ResponseInbox(inbox, self._context))
            return await self._relay_response(peer, inbox)
        finally:
            opening.close()
            inbox.close()

    def _encode(self) -> HttpRequest:
        head = self._exchange.head
        remaining_s = self._deadline - self._context.clock()
        is_stream = self._route.kind is RequestKind.STREAM
        return HttpRequest(
            method=head.method,
            target=head.target,
            headers=self._dialect.write_relayed_headers(
                head, remaining_s=remaining_s, origin=self._origin
            ),
            body=self._exchange.body,
            max_response_bytes=MAX_STREAM_BYTES if is_stream else MAX_RESPONSE_BYTES,
        )

    async def _relay_response(self, peer: MemberRecord, inbox: Inbox) -> bool:
        head: ResponseHead | None = None
        body = bytearray()
        while not self._exchange.is_done:
            match await self._get(inbox):
                case _Started(head):
                    if self._route.kind is RequestKind.STREAM and head.status == 200:
                        self._exchange.start_stream(head.status, head.headers)
                case _Received(data) if self._exchange.is_started:
                    self._exchange.write(data)
                case _Received(data) if self._share.grow(len(data)):
                    body += data
                case _Completed(is_delimited=True):
                    return self._complete(peer, head, bytes(body))
                case failure:
                    return self._fail(peer, failure)
        return True

    def _complete(self, peer: MemberRecord, head: ResponseHead, body: bytes) -> bool:
        self._log(peer, "answered", head.status)
        if self._exchange.is_started:
            self._exchange.finish()
        elif head.status == REFUSED_STATUS and not head.has_origin_proof:
            self._last_refusal = (head, body)
            return False
        elif _is_own_denial(head):
            return False
        else:
            self._exchange.respond(head.status, head.headers, body)
        return True

    def _fail(self, peer: MemberRecord, failure: object) -> bool:
        """Handle a response that broke off; return whether the request has ended.

        Raises
        ------
        RequestFailure
            If the request may have run and may not be repeated.
        """
        reason = getattr(failure, "reason", "no whole answer of an instance in time")
        self._log(peer, reason)
        if self._exchange.is_started:
            self._exchange.abort(REACH_STEP)
            return True
        is_late = self._context.clock() >= self._deadline
        if self._route.may_retry and not is_late:
            self._lost_at = peer
            self._origin = self._origin._replace(runs=self._origin.runs + 1)
            return False
        status = 504 if is_late else 502
        raise make_unknown_failure(
            reason, step=REACH_STEP, peer=peer.name, status=status
        )

    async def _get(self, inbox: Inbox) -> object:
        """Return the next message, or None at the deadline."""
        return await inbox.get(max(0.0, self._deadline - self._context.clock()))

    def _log(self, peer: MemberRecord, result: str, status: int | None = None) -> None:
        _log.info(
            "request_relayed",
            request=self._request.request_id,
            peer=peer.name,
            result=result,
            status=status,
            waited_s=round(self._context.clock() - self._request.arrived_at, 3),
        )


def _is_own_denial(head: ResponseHead) -> bool:
    """Return whether an instance itself found a request wrong.

    The instance that relays it did not, so that their configurations differ.
    """
    return 400 <= head.status < 500 and not head.has_origin_proof


class _Opening:
    """Connection to another instance, idle or new; put into an inbox when open."""

    def __init__(self, pool: ConnectionPool, address: str, inbox: Inbox):
        self._connection: HttpConnection | None = None
        self._pending: PendingConnection | None = None
        self._is_sent = False
        self._inbox = inbox
        idle = pool.acquire_idle(address)
        if idle is not None:
            self._handle_connected(idle)
            return
        self._pending = pool.connect(
            address, on_connected=self._handle_connected, on_failed=self._handle_failure
        )

    def send(self, request: HttpRequest, handler: ResponseHandler) -> None:
        """Send the request once the connection is open.

        Parameters
        ----------
        request : HttpRequest
        handler : ResponseHandler
        """
        self._is_sent = True
        self._connection.send(request, handler)

    def close(self) -> None:
        """Give the connection up unless its response is complete."""
        if self._pending is not None:
            self._pending.cancel()
        if self._connection is None:
            return
        if self._connection.is_busy or not self._is_sent:
            self._connection.abort()

    def _handle_connected(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._inbox.put(_Connected())

    def _handle_failure(self, failure: ConnectFailure) -> None:
        self._inbox.put(_NotConnected(failure.reason))
