"""Connections to backend servers and to the store: one request at a time.

The codec is h11, as its states show what the usual agents hide: bytes that come
after an answer, an answer before the request was sent, and whether a body ended
by its framing.
"""

from __future__ import annotations

import abc
import contextlib
import socket
import time
from collections.abc import Callable

import attrs
import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._messages import Headers

CONNECT_TIMEOUT_S = 0.3  # a live server accepts within a few milliseconds
KEEPALIVE_IDLE_S = 1  # the smallest value that the system takes
KEEPALIVE_PROBES = 1
UNACKNOWLEDGED_MS = 1500  # sent bytes that nobody takes end the connection
MAX_HEAD_BYTES = 64 * 1024
IDLE_MARGIN_S = 0.7  # closer to the server's timeout a request could cross its close
IDLE_WITHOUT_NOTICE_S = 0.3  # servers that state no timeout keep less than a second
SWEEP_INTERVAL_S = 0.5


class OutgoingRequest(abc.ABC):
    """A request with whoever waits for its answer."""

    @abc.abstractmethod
    def accept_head(self, status: int, headers: Headers) -> bool:
        """Take the head of an answer.

        Parameters
        ----------
        status : int
        headers : tuple of (bytes, bytes)

        Returns
        -------
        bool
            False if it belongs to another request; it is then skipped.
        """

    @abc.abstractmethod
    def take_data(self, data: bytes) -> None:
        """Take a part of the body.

        Parameters
        ----------
        data : bytes
        """

    @abc.abstractmethod
    def end(self) -> None:
        """Take note that the answer is whole."""

    @abc.abstractmethod
    def fail(self, reason: str, *, is_reset: bool) -> None:
        """Take note that no whole answer will come.

        Parameters
        ----------
        reason : str
        is_reset : bool
            Whether the connection ended, rather than the answer being malformed.
        """


@attrs.frozen(slots=True, kw_only=True)
class RequestBytes:
    """What goes over the wire.

    Parameters
    ----------
    method, target : bytes
    headers : tuple of (bytes, bytes)
        With the host and without any framing.
    body : bytes
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class HttpConnection(Protocol):
    """One connection; it has at most one request at a time.

    Parameters
    ----------
    on_idle : callable
        Called with the connection when it can take another request.
    on_lost : callable
        Called with the connection when it is closed.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        on_idle: Callable[[HttpConnection], None],
        on_lost: Callable[[HttpConnection], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._codec = _make_codec()
        self._request: OutgoingRequest | None = None
        self._sent: RequestBytes | None = None
        self._is_skipping = False
        self._keep_s = IDLE_WITHOUT_NOTICE_S
        self.is_closed = False
        self.idle_since = 0.0

    def connectionMade(self) -> None:  # noqa: N802 the name Twisted calls
        """Set the options that reveal a silent peer."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        options = (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        )
        for option, value in options:
            with contextlib.suppress(OSError):  # the timers of requests still hold
                self.transport.socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(self, request: RequestBytes, waiter: OutgoingRequest) -> None:
        """Send a request.

        Parameters
        ----------
        request : RequestBytes
        waiter : OutgoingRequest
        """
        self._request = waiter
        self._sent = request
        self._is_skipping = False
        self.transport.write(self._encode())

    def abort(self) -> None:
        """Close the connection at once; the request hears nothing more."""
        self._request = None
        self.is_closed = True
        if self.transport is not None:
            self.transport.abortConnection()

    def wait_for_use(self, now: float) -> None:
        """Count as idle from now on.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.idle_since = now

    def is_fresh(self, now: float) -> bool:
        """Tell whether an idle connection is surely still open at the server.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return not self.is_closed and now - self.idle_since < self._keep_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 the same
        """Decode what arrived."""
        if self._request is None:
            self.abort()  # bytes that nobody asked for
            return
        self._feed(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 the same
        """Tell the request, and the owner, that the connection is gone."""
        self.is_closed = True
        is_clean = reason.check(ConnectionDone) is not None
        if self._request is not None and is_clean:
            self._feed(b"")
        if self._request is not None:
            self._fail(f"connection ended: {reason.getErrorMessage()}", is_reset=True)
        self._on_lost(self)

    def _encode(self) -> bytes:
        sent = self._sent
        framing = ()
        if sent.body or sent.method not in (b"GET", b"HEAD", b"DELETE"):
            framing = ((b"content-length", str(len(sent.body)).encode()),)
        head = h11.Request(
            method=sent.method, target=sent.target, headers=[*sent.headers, *framing]
        )
        parts = [self._codec.send(head)]
        if sent.body:
            parts.append(self._codec.send(h11.Data(data=sent.body)))
        parts.append(self._codec.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _feed(self, data: bytes) -> None:
        try:
            self._codec.receive_data(data)
            while self._request is not None:
                event = self._codec.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle(event)
        except h11.RemoteProtocolError as error:
            self._fail(f"malformed answer: {error}", is_reset=not data)

    def _handle(self, event: object) -> None:
        if isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            if not self._is_skipping:
                self._request.take_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("connection closed before the answer", is_reset=True)

    def _take_head(self, event: h11.Response) -> None:
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
        self._keep_s = _read_keep_s(headers)
        if not self._request.accept_head(event.status_code, headers):
            self._is_skipping = True

    def _finish(self) -> None:
        if self._is_skipping:
            self._read_next_answer()
            return
        request, self._request = self._request, None
        rest, _ = self._codec.trailing_data
        done = self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        if done and not rest and not self.is_closed:
            self._codec.start_next_cycle()
            self.idle_since = self._clock()
            self._on_idle(self)
        else:
            self.abort()
        request.end()

    def _read_next_answer(self) -> None:
        """Go on behind an answer that belonged to an earlier request."""
        rest, is_closed = self._codec.trailing_data
        self._codec = _make_codec()
        self._encode()
        self._is_skipping = False
        if rest:
            self._codec.receive_data(rest)
        if is_closed:
            self._codec.receive_data(b"")

    def _fail(self, reason: str, *, is_reset: bool) -> None:
        request, self._request = self._request, None
        self.abort()
        if request is not None:
            request.fail(reason, is_reset=is_reset)


def _make_codec() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _read_keep_s(headers: Headers) -> float:
    """Return how long an idle connection may be used again."""
    for name, value in headers:
        if name == b"keep-alive" and b"timeout=" in value.lower():
            digits = value.lower().partition(b"timeout=")[2].split(b",")[0].strip()
            if digits.isdigit():
                return max(IDLE_WITHOUT_NOTICE_S, int(digits) - IDLE_MARGIN_S)
    return IDLE_WITHOUT_NOTICE_S


class _Connecting(ClientFactory):
    """Makes one connection and tells the pool how that went."""

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        *,
        on_made: Callable[[HttpConnection], None],
        on_failed: Callable[[str], None],
    ):
        self._connection = connection
        self._on_made = on_made
        self._on_failed = on_failed

    def buildProtocol(self, address: object) -> HttpConnection:  # noqa: N802 the same
        """Return the connection; it is used once it is made."""
        self._connection.factory = self
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802 the same
        """Tell that no connection was made."""
        self._on_failed(reason.getErrorMessage())


class _MadeConnection(HttpConnection):
    """Tells once that it is made."""

    on_made: Callable[[HttpConnection], None]

    def connectionMade(self) -> None:  # noqa: N802 the same
        """See `HttpConnection.connectionMade`."""
        super().connectionMade()
        self.on_made(self)


class PendingConnection:
    """A connection that is being made, which can be given up."""

    __slots__ = ("_connector", "_is_done")

    def __init__(self) -> None:
        self._connector = None
        self._is_done = False

    def start(self, connector: object) -> None:
        """Take the connector to stop when it is given up."""
        self._connector = connector

    def finish(self) -> bool:
        """Return whether anybody still waits for it."""
        was_waiting = not self._is_done
        self._is_done = True
        return was_waiting

    def cancel(self) -> None:
        """Stop connecting."""
        if self.finish() and self._connector is not None:
            self._connector.disconnect()


class ConnectionPool:
    """Connections to many addresses, kept while they can be used again.

    Parameters
    ----------
    reactor : IReactorTCP
    clock : callable
        Returns seconds.
    """

    def __init__(
        self, reactor: IReactorTCP, clock: Callable[[], float] = time.monotonic
    ):
        self._reactor = reactor
        self._clock = clock
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}
        self.opened = 0

    def count_open(self, address: str) -> int:
        """Return the connections to an address, busy and idle.

        Parameters
        ----------
        address : str
        """
        return self._open.get(address, 0)

    def has_idle(self, address: str) -> bool:
        """Tell whether a connection can be used at once.

        Parameters
        ----------
        address : str
        """
        now = self._clock()
        return any(each.is_fresh(now) for each in self._idle.get(address, ()))

    def take_idle(self, address: str) -> HttpConnection | None:
        """Return a connection that can be used at once.

        Parameters
        ----------
        address : str

        Returns
        -------
        HttpConnection or None
        """
        idle = self._idle.get(address, [])
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_fresh(now):
                return connection
            connection.abort()
        return None

    def connect(
        self,
        address: str,
        *,
        on_made: Callable[[HttpConnection], None],
        on_failed: Callable[[str], None],
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> PendingConnection:
        """Make a new connection.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_made : callable
            Called with the connection.
        on_failed : callable
            Called with the reason when there will be none.
        timeout_s : float

        Returns
        -------
        PendingConnection
        """
        pending = PendingConnection()
        connection = _MadeConnection(
            on_idle=lambda each: self._keep(address, each),
            on_lost=lambda each: self._drop(address, each),
            clock=self._clock,
        )

        def hand_over(made: HttpConnection) -> None:
            self._open[address] = self._open.get(address, 0) + 1
            self.opened += 1
            if pending.finish():
                on_made(made)
            else:
                made.abort()

        def give_up(reason: str) -> None:
            if pending.finish():
                on_failed(reason)

        connection.on_made = hand_over
        factory = _Connecting(connection, on_made=hand_over, on_failed=give_up)
        host, _, port = address.rpartition(":")
        pending.start(
            self._reactor.connectTCP(host, int(port), factory, timeout=timeout_s)
        )
        return pending

    def try_connect(
        self, address: str, *, on_result: Callable[[bool], None], timeout_s: float
    ) -> None:
        """Try whether a server accepts connections; a new one is kept for use.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_result : callable
            Called with whether it did.
        timeout_s : float
        """

        def keep(connection: HttpConnection) -> None:
            connection.wait_for_use(self._clock())
            self._keep(address, connection)
            on_result(True)

        self.connect(
            address,
            on_made=keep,
            on_failed=lambda _: on_result(False),
            timeout_s=timeout_s,
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Parameters
        ----------
        address : str
        """
        for connection in self._idle.pop(address, []):
            connection.abort()

    def sweep(self) -> None:
        """Close idle connections that cannot be used any more."""
        now = self._clock()
        for address, connections in list(self._idle.items()):
            kept = [each for each in connections if each.is_fresh(now)]
            for connection in connections:
                if connection not in kept:
                    connection.abort()
            self._idle[address] = kept

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _keep(self, address: str, connection: HttpConnection) -> None:
        self._idle.setdefault(address, []).append(connection)

    def _drop(self, address: str, connection: HttpConnection) -> None:
        self._open[address] = max(0, self._open.get(address, 0) - 1)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
