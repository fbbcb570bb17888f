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
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._messages import Headers

KEEPALIVE_IDLE_S = 1  # the smallest value that the system takes
KEEPALIVE_PROBES = 1
UNACKNOWLEDGED_MS = 1500  # sent bytes that nobody takes end the connection
MAX_HEAD_BYTES = 64 * 1024
IDLE_MARGIN_S = 0.7  # closer to the server's timeout a request could cross its close
IDLE_WITHOUT_NOTICE_S = 0.3  # servers that state no timeout keep less than a second


class ResponseHandler(abc.ABC):
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
    def handle_data(self, data: bytes) -> None:
        """Take a part of the body.

        Parameters
        ----------
        data : bytes
        """

    @abc.abstractmethod
    def complete(self) -> None:
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
class HttpRequest:
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
        self._request: ResponseHandler | None = None
        self._sent: HttpRequest | None = None
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

    def send(self, request: HttpRequest, waiter: ResponseHandler) -> None:
        """Send a request.

        Parameters
        ----------
        request : HttpRequest
        waiter : ResponseHandler
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
                self._request.handle_data(bytes(event.data))
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
        request.complete()

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
