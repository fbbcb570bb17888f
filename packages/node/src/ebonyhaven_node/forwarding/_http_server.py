"""HTTP/1.1 server for callers: buffers requests, writes responses and streams."""

from __future__ import annotations

import time
from collections.abc import Callable

import h11
import structlog
from ebonyhaven_decisions.forwarding import RequestLimits
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ebonyhaven_node._byte_budgets import ByteBudget
from ebonyhaven_node.forwarding._connection_timeouts import ConnectionTimeout
from ebonyhaven_node.forwarding._delivery_lags import count_unacknowledged
from ebonyhaven_node.forwarding._exchanges import Exchange, ResponseWriter
from ebonyhaven_node.forwarding._immediate_writes import flush
from ebonyhaven_node.forwarding._requests import Headers, RequestHead

REJECT_CLOSE_DELAY_S = 0.5  # lets the caller read the error response first
REJECT_ABORT_DELAY_S = 1.0  # after that, for a caller that does not read it
MAX_REQUEST_BYTES = 8 * 1024 * 1024  # bodies of all requests that are in progress
BUSY_RETRY_AFTER_S = 0.5  # by then some of them have ended
DEFAULT_ERROR_STATUS = 400
BUSY_STATUS = 503  # not run; another instance, or this one later, may take the request
EXCEEDED_LIMIT_STATUSES = frozenset({413, 431})
MAX_HEAD_BYTES = 1024 * 1024  # whatever the configuration allows
MAX_PIPELINED_BYTES = 256 * 1024  # received before the current response is complete
MAX_UNSENT_BYTES = 1024 * 1024  # of a stream whose caller does not read

_log = structlog.get_logger()


class CallerConnection(Protocol, ResponseWriter):
    """Server side of a caller's connection.

    Parameters
    ----------
    server : CallerServer
    """

    def __init__(self, server: CallerServer):
        self._server = server
        # The limit in force may change while the connection is open.
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._exchange: Exchange | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._arrived_at = 0.0
        self._timeout = ConnectionTimeout(
            reactor=server.reactor,
            clock=server.clock,
            on_timeout=self._close_on_timeout,
        )
        self._next_read: IDelayedCall | None = None
        self._is_reading_head = False
        self._share = server.request_bytes.open_share()
        self._is_rejected = False
        self._is_producing = False
        self._is_paused = False
        self._unsent_bytes = 0
        self._is_closing = False

    def connectionMade(self) -> None:  # noqa: N802 Twisted API
        """Register the connection and start its idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self._server.connections.add(self)
        self._timeout.start(self._read_idle_timeout_s)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 Twisted API
        """Notify the current exchange that its caller disconnected."""
        self._server.connections.discard(self)
        self._timeout.close()
        if self._is_read_scheduled:
            self._next_read.cancel()
        self._share.close()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.handle_disconnect()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        """Decode requests."""
        if self._is_rejected:
            return
        try:
            self._codec.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(error)
            return
        if self._exchange is None and not self._is_read_scheduled:
            if self._head is None and not self._is_reading_head:
                self._is_reading_head = True
                self._timeout.start(self._read_header_timeout_s)
            self._read_request()
        elif len(self._codec.trailing_data[0]) > MAX_PIPELINED_BYTES:
            self.transport.abortConnection()

    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response and prepare for the next request."""
        if self._is_last_response():
            headers = (*headers, (b"connection", b"close"))
        self.write_head(status, headers)
        if body and self._head_allows_body():
            self.write_data(body)
        self.finish()

    def write_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response."""
        reason = _REASON_PHRASES.get(status, b"Status")
        self._write(h11.Response(status_code=status, headers=headers, reason=reason))

    def write_stream_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is streamed.

        It never announces the close of the connection: requests that are received
        while the body is sent could not be answered any more.
        """
        self.write_head(status, headers)
        self._is_producing = True
        self.transport.registerProducer(self, True)

    def write_data(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._write(h11.Data(data=data))
        if not self._is_paused:
            if self._is_producing:
                flush(self.transport)
            return
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self._drop_slow_caller()

    def count_unacknowledged(self) -> int:
        """See `count_unacknowledged`."""
        return count_unacknowledged(self.transport)

    def pauseProducing(self) -> None:  # noqa: N802 Twisted API
        """Count from here on what the caller does not read."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802 Twisted API
        """Start anew, as all was sent."""
        self._is_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802 Twisted API
        """Leave it to `connectionLost` to end the stream."""

    def finish(self) -> None:
        """Complete the response and read the next request, or close the connection."""
        self._stop_producing()
        self._share.close()
        self._write(h11.EndOfMessage())
        flush(self.transport)
        self._exchange = None
        self._head = None
        is_cycle_done = (
            self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        )
        if not is_cycle_done:
            self.transport.loseConnection()
            return
        self._codec.start_next_cycle()
        self._timeout.start(self._read_idle_timeout_s)
        if self._has_request_ahead():
            self._next_read = self._server.reactor.callLater(0.0, self._read_request)
        elif self._is_closing:
            self.transport.loseConnection()

    def close(self) -> None:
        """Close the connection once the requests received so far are answered."""
        self._is_closing = True
        if self._exchange is None and not self._is_read_scheduled:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self._exchange = None
        self._stop_producing()
        self._share.close()
        self.transport.abortConnection()

    def _drop_slow_caller(self) -> None:
        _log.warning("caller_too_slow", unsent_bytes=self._unsent_bytes)
        exchange = self._exchange
        self.abort()
        if exchange is not None:  # its relay is running at this moment
            self._server.reactor.callLater(0.0, exchange.handle_disconnect)

    def _stop_producing(self) -> None:
        if self._is_producing:
            self._is_producing = self._is_paused = False
            self._unsent_bytes = 0
            self.transport.unregisterProducer()

    def _head_allows_body(self) -> bool:
        return self._head is None or self._head.method != b"HEAD"

    def _write(self, event: object) -> None:
        data = self._codec.send(event)
        if data:
            self.transport.write(data)

    @property
    def _is_read_scheduled(self) -> bool:
        """Whether the request after an answered one is read in the next turn."""
        return self._next_read is not None and self._next_read.active()

    def _has_request_ahead(self) -> bool:
        """Whether bytes of a request were received behind the current one."""
        return bool(self._codec.trailing_data[0])

    def _is_last_response(self) -> bool:
        """Whether the connection closes after the current response.

        Requests that were sent ahead are answered first, as their caller could not
        tell whether they have run.
        """
        return self._server.is_closing() and not self._has_request_ahead()

    def _read_request(self) -> None:
        """Read at most one request from what has been received."""
        event = None
        try:
            while not isinstance(event, h11.EndOfMessage):
                event = self._codec.next_event()
                if event is h11.NEED_DATA:
                    self._check_incomplete_size()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._handle_incomplete_request()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error)

    def _check_incomplete_size(self) -> None:
        received_bytes = len(self._codec.trailing_data[0])
        if received_bytes > self._server.limits().max_header_bytes:
            raise h11.RemoteProtocolError("headers too large", error_status_hint=431)

    def _handle_incomplete_request(self) -> None:
        if self._is_closing:
            self.transport.loseConnection()
        else:
            self._send_continue()

    def _send_continue(self) -> None:
        if self._head is not None and self._codec.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _handle_head(self, event: h11.Request) -> None:
        headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
        self._head = RequestHead(bytes(event.method), bytes(event.target), headers)
        self._is_reading_head = False
        self._arrived_at = self._server.clock()
        self._body, self._body_bytes = [], 0
        self._timeout.start(self._read_idle_timeout_s)
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise h11.RemoteProtocolError(
                "both Transfer-Encoding and Content-Length present"
            )

    def _handle_body_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits().max_body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        if not self._share.grow(len(data)):
            raise h11.RemoteProtocolError(
                "too much of other requests is kept", error_status_hint=BUSY_STATUS
            )
        self._body.append(data)

    def _dispatch(self) -> None:
        self._timeout.clear()
        body = b"".join(self._body)
        self._body = []
        self._exchange = Exchange(self, self._head, body, self._arrived_at)
        self._server.handle(self._exchange)

    def _reject(self, error: h11.RemoteProtocolError) -> None:
        """Respond to a malformed request with an error and close the connection."""
        self._timeout.clear()
        self._body = []
        self._share.close()
        self._is_rejected = True
        limits = self._server.limits()
        status = error.error_status_hint or DEFAULT_ERROR_STATUS
        if status in EXCEEDED_LIMIT_STATUSES and not limits.are_known:
            status = BUSY_STATUS
        _log.info(
            "request_malformed",
            reason=str(error),
            status=status,
            **limits._asdict(),
        )
        if self._codec.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f'{{"error":"{status}"}}'.encode()
            headers = [
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ]
            if status == BUSY_STATUS:
                headers.append((b"retry-after", str(BUSY_RETRY_AFTER_S).encode()))
            self.write_head(status, tuple(headers))
            self.write_data(body)
            self._write(h11.EndOfMessage())
        self._server.reactor.callLater(REJECT_CLOSE_DELAY_S, self._close_rejected)

    def _close_rejected(self) -> None:
        self.transport.loseConnection()
        self._server.reactor.callLater(
            REJECT_ABORT_DELAY_S, self.transport.abortConnection
        )

    def _close_on_timeout(self) -> None:
        self.transport.loseConnection()

    def _read_idle_timeout_s(self) -> float:
        return self._server.limits().idle_timeout_s

    def _read_header_timeout_s(self) -> float:
        return self._server.limits().header_timeout_s


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerServer(Factory):
    """Accepts connections from callers.

    Parameters
    ----------
    reactor : IReactorTime
    handle : callable
        Called with the `Exchange` of each complete request.
    limits : callable
        Returns the current `RequestLimits`.
    is_closing : callable
        Returns whether connections are closed after the current response.
    clock : callable
        Returns seconds.

    Attributes
    ----------
    connections : set of CallerConnection
    request_bytes : ByteBudget
        For the bodies of requests, until their responses have ended.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        handle: Callable[[Exchange], None],
        limits: Callable[[], RequestLimits] = RequestLimits,
        is_closing: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.is_closing = is_closing
        self.connections: set[CallerConnection] = set()
        self.request_bytes = ByteBudget(MAX_REQUEST_BYTES)

    def buildProtocol(self, address: object) -> CallerConnection:  # noqa: N802 Twisted API
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def close_all(self) -> None:
        """Close all connections, each once what it carries is answered and sent."""
        for connection in list(self.connections):
            connection.close()

    def abort_all(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
