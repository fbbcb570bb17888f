"""HTTP/1.1 client connections to backend servers and to the store.

Built on h11 because its states expose what the HTTP agent of Twisted does not: bytes
after the end of a response, a response before the request was sent, and whether a
body was terminated by its framing.
"""

from __future__ import annotations

import abc
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import attrs
import h11
from ebonyhaven_decisions import parse_count
from twisted.internet.interfaces import IDelayedCall, IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ebonyhaven_node.exceptions import UnsendableRequest
from ebonyhaven_node.forwarding._connection_ends import (
    find_pending_error,
    is_sending,
)
from ebonyhaven_node.forwarding._immediate_writes import flush
from ebonyhaven_node.forwarding._requests import MAX_RESPONSE_BYTES, Headers

KEEPALIVE_INTERVAL_S = 1  # lowest value of TCP_KEEPIDLE and of TCP_KEEPINTVL
KEEPALIVE_PROBES = 1
# TCP_USER_TIMEOUT: the kernel closes a connection whose data is not acknowledged.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
MAX_HEAD_BYTES = 64 * 1024
# Includes interim responses, and responses to earlier requests, which are skipped.
MAX_BYTES_BEFORE_RESPONSE = 1024 * 1024
# With a smaller margin, the server could close the connection while a request is in
# transit.
IDLE_TIMEOUT_MARGIN_S = 0.7
SENDING_POLL_INTERVAL_S = 0.02
# Within which a server that ended its side without reading all resets the connection.
RESET_DELAY_S = 0.05
# Servers without a Keep-Alive timeout close idle connections in less than a second.
DEFAULT_IDLE_TIMEOUT_S = 0.3


class ResponseHandler(abc.ABC):
    """Receives the response to one request."""

    @abc.abstractmethod
    def accept_head(self, status: int, headers: Headers) -> bool:
        """Handle the head of a response.

        Parameters
        ----------
        status : int
        headers : tuple of (bytes, bytes)

        Returns
        -------
        bool
            False if the response belongs to another request; it is then skipped.
        """

    @abc.abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handle a chunk of the body.

        Parameters
        ----------
        data : bytes
        """

    @abc.abstractmethod
    def complete(self, *, is_delimited: bool) -> None:
        """Handle the end of a response that is complete as far as HTTP can tell.

        Parameters
        ----------
        is_delimited : bool
            Whether a length or chunks marked the end of the body. Otherwise it ended
            with the connection, which a server that breaks off closes as well.
        """

    @abc.abstractmethod
    def fail(self, reason: str, *, is_connection_lost: bool) -> None:
        """Handle a failure before the response was complete.

        Parameters
        ----------
        reason : str
        is_connection_lost : bool
            True if the connection was lost; False if the response is malformed or
            has timed out.
        """


@attrs.frozen(slots=True, kw_only=True)
class HttpRequest:
    """HTTP request to send.

    Parameters
    ----------
    method, target : bytes
    headers : tuple of (bytes, bytes)
        With Host, without Content-Length and Transfer-Encoding.
    body : bytes
    max_response_bytes : int
        Size from which the response counts as malformed.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    max_response_bytes: int = MAX_RESPONSE_BYTES


@implementer(IHalfCloseableProtocol)
class HttpConnection(Protocol):
    """Client connection with at most one request at a time.

    A body without framing ends when the server ends its side of the connection. It is
    complete only if the connection was not reset, which may become known later if the
    server has not received the whole request by then.

    Parameters
    ----------
    reactor : IReactorTime and IReactorFDSet
        Of the transport.
    on_idle : callable
        Called with the connection when it is ready for another request.
    on_lost : callable
        Called with the connection when it is closed.
    clock : callable
        Returns seconds of a monotonic clock.

    Attributes
    ----------
    is_closed : bool
    idle_since : float
        Clock time at which the connection became idle, seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        on_idle: Callable[[HttpConnection], None],
        on_lost: Callable[[HttpConnection], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self._reactor = reactor
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._codec = _make_codec()
        self._handler: ResponseHandler | None = None
        self._request: HttpRequest | None = None
        self._is_skipping = False
        self._has_head = False
        self._received_bytes = 0
        self._was_early = False  # whether the answer came before all was sent
        self._end_check: IDelayedCall | None = None
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.is_closed = False
        self.idle_since = 0.0

    def connectionMade(self) -> None:  # noqa: N802 Twisted API
        """Set the socket options that detect an unresponsive peer."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        options = (
            (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        )
        for option, value in options:
            with contextlib.suppress(OSError):  # request timeouts still apply
                self.transport.socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(self, request: HttpRequest, handler: ResponseHandler) -> None:
        """Send a request.

        Parameters
        ----------
        request : HttpRequest
        handler : ResponseHandler

        Raises
        ------
        UnsendableRequest
            If HTTP cannot express the request. The connection is of no further use.
        """
        try:
            encoded = self._encode(request)
        except h11.LocalProtocolError as error:
            raise UnsendableRequest(str(error)) from error
        self._handler = handler
        self._request = request
        self._is_skipping = self._has_head = self._was_early = False
        self._received_bytes = 0
        self.transport.write(encoded)
        flush(self.transport)

    def abort(self) -> None:
        """Close the connection at once without notifying the handler."""
        self._handler = None
        self.is_closed = True
        self._cancel_end_check()
        if self.transport is not None:
            self.transport.abortConnection()

    def mark_idle(self, now: float) -> None:
        """Set the start of the idle time.

        Parameters
        ----------
        now : float
            Clock time, seconds.
        """
        self.idle_since = now

    @property
    def is_busy(self) -> bool:
        """Whether a response is outstanding."""
        return self._handler is not None

    def is_reusable(self, now: float) -> bool:
        """Return whether the connection is open and not near the server's idle timeout.

        Parameters
        ----------
        now : float
            Clock time, seconds.
        """
        return not self.is_closed and now - self.idle_since < self._idle_timeout_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        """Decode a response; bytes without a pending request close the connection."""
        if self._handler is None:
            self.abort()
            return
        self._received_bytes += len(data)
        self._decode(data)
        if self._handler is not None and self._received_bytes > self._get_limit():
            self._fail("the response is too long", is_connection_lost=False)

    def readConnectionLost(self) -> None:  # noqa: N802 Twisted API
        """Complete the pending response unless the connection was or may be reset."""
        self.is_closed = True
        if self._handler is None:
            self.transport.loseConnection()
        else:
            self._check_end(is_settled=not self._was_early)

    def writeConnectionLost(self) -> None:  # noqa: N802 Twisted API
        """Do nothing: the sending side is never closed alone."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 Twisted API
        """Fail the pending response and report the loss of the connection."""
        self.is_closed = True
        self._cancel_end_check()
        if self._handler is not None:
            self._fail(
                f"connection ended: {reason.getErrorMessage()}", is_connection_lost=True
            )
        self._on_lost(self)

    def _check_end(self, *, is_settled: bool) -> None:
        """Complete the response that has ended, once the server has the whole request.

        Parameters
        ----------
        is_settled : bool
            Whether a reset would be known if the server has received all.
        """
        error = find_pending_error(self.transport)
        if error is not None:
            self._fail(f"connection ended: {error}", is_connection_lost=True)
        elif is_sending(self.transport, self._reactor):
            self._schedule_end_check(SENDING_POLL_INTERVAL_S, is_settled=False)
        elif not is_settled:
            self._schedule_end_check(RESET_DELAY_S, is_settled=True)
        else:
            self._decode(b"")
            if self._handler is not None:
                self._fail("connection ended", is_connection_lost=True)

    def _schedule_end_check(self, delay_s: float, *, is_settled: bool) -> None:
        self._end_check = self._reactor.callLater(
            delay_s, self._check_end, is_settled=is_settled
        )

    def _cancel_end_check(self) -> None:
        if self._end_check is not None and self._end_check.active():
            self._end_check.cancel()

    def _get_limit(self) -> int:
        if self._has_head:
            return self._request.max_response_bytes
        return MAX_BYTES_BEFORE_RESPONSE

    def _encode(self, request: HttpRequest) -> bytes:
        framing = ()
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"content-length", str(len(request.body)).encode()),)
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[*request.headers, *framing],
        )
        encoded = [self._codec.send(head)]
        if request.body:
            encoded.append(self._codec.send(h11.Data(data=request.body)))
        encoded.append(self._codec.send(h11.EndOfMessage()))
        return b"".join(data for data in encoded if data)

    def _decode(self, data: bytes) -> None:
        try:
            self._codec.receive_data(data)
            while self._handler is not None:
                event = self._codec.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._fail(f"malformed answer: {error}", is_connection_lost=not data)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            if not self._is_skipping:
                self._handler.handle_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete_response()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("connection closed before the answer", is_connection_lost=True)

    def _handle_head(self, event: h11.Response) -> None:
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
        self._idle_timeout_s = _parse_idle_timeout_s(headers)
        if not _is_delimited(headers):
            self._was_early = is_sending(self.transport, self._reactor)
        self._has_head = self._handler.accept_head(event.status_code, headers)
        self._is_skipping = not self._has_head

    def _complete_response(self) -> None:
        if self._is_skipping:
            self._skip_to_next_response()
            return
        handler, self._handler = self._handler, None
        trailing, _ = self._codec.trailing_data
        is_delimited = not self.is_closed  # else, the loss of the connection ended it
        is_cycle_done = (
            self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        )
        if is_cycle_done and not trailing and not self.is_closed:
            self._codec.start_next_cycle()
            self.idle_since = self._clock()
            self._on_idle(self)
        elif self.is_closed:
            self.transport.loseConnection()
        else:
            self.abort()
        handler.complete(is_delimited=is_delimited)

    def _skip_to_next_response(self) -> None:
        """Restart decoding after a response that belonged to an earlier request."""
        trailing, is_closed = self._codec.trailing_data
        self._codec = _make_codec()
        self._encode(
            self._request
        )  # sets the state of the codec; the request was already sent
        self._is_skipping = False
        if trailing:
            self._codec.receive_data(trailing)
        if is_closed:
            self._codec.receive_data(b"")

    def _fail(self, reason: str, *, is_connection_lost: bool) -> None:
        handler, self._handler = self._handler, None
        self.abort()
        if handler is not None:
            handler.fail(reason, is_connection_lost=is_connection_lost)


def _make_codec() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _is_delimited(headers: Headers) -> bool:
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def _parse_idle_timeout_s(headers: Headers) -> float:
    """Return the seconds for which an idle connection may be reused."""
    for name, value in headers:
        if name == b"keep-alive" and b"timeout=" in value.lower():
            digits = value.lower().partition(b"timeout=")[2].split(b",")[0].strip()
            timeout_s = parse_count(digits)
            if timeout_s is not None:
                return max(DEFAULT_IDLE_TIMEOUT_S, timeout_s - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
