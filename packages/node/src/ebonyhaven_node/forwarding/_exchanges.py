"""A caller's request and the response to it."""

from __future__ import annotations

import abc
import contextlib
import enum
from collections.abc import Callable, Iterator

from ebonyhaven_node.forwarding._requests import Headers, RequestHead

CRASHED = "crashed"  # reason of an abort after an error of this instance


class ResponseWriter(abc.ABC):
    """Writes the response to one request at a time."""

    @abc.abstractmethod
    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response and prepare for the next request."""

    @abc.abstractmethod
    def write_stream_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is streamed."""

    @abc.abstractmethod
    def write_data(self, data: bytes) -> None:
        """Send a chunk of the body."""

    def count_unacknowledged(self) -> int:
        """Return the bytes written that the caller has not acknowledged, if known."""
        return 0

    @abc.abstractmethod
    def finish(self) -> None:
        """Complete the response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection without completing the response."""


class ExchangeEnd(enum.Enum):
    """How an exchange ended.

    ``ANSWERED``
        The response is complete.
    ``ABORTED``
        The connection was closed without a complete response.
    ``DISCONNECTED``
        The caller closed the connection.
    """

    ANSWERED = "answered"
    ABORTED = "aborted"
    DISCONNECTED = "disconnected"


class Exchange:
    """A caller's request and the response to it.

    Methods have no effect once the exchange is done. If one raises, the connection is
    closed, as what was sent of the response cannot be completed.

    Parameters
    ----------
    connection : ResponseWriter
    head : RequestHead
    body : bytes
    arrived_at : float
        Time at which the head was complete, seconds.

    Attributes
    ----------
    is_started : bool
        Whether the head of the response has been sent.
    status : int or None
        Status of the response; None until its head has been sent.
    end : ExchangeEnd or None
        None until the exchange is done.
    abort_reason : str or None
        Why the response was aborted; one of few values, for metrics.
    on_disconnect : callable or None
        Called if the caller disconnects before the response is complete.
    """

    __slots__ = (
        "_connection",
        "abort_reason",
        "arrived_at",
        "body",
        "end",
        "head",
        "is_started",
        "on_disconnect",
        "status",
    )

    def __init__(
        self,
        connection: ResponseWriter,
        head: RequestHead,
        body: bytes,
        arrived_at: float,
    ):
        self._connection = connection
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.is_started = False
        self.status: int | None = None
        self.end: ExchangeEnd | None = None
        self.abort_reason: str | None = None
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def is_done(self) -> bool:
        """Whether the response is complete or aborted, or the caller disconnected."""
        return self.end is not None

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        Parameters
        ----------
        status : int
        headers : tuple of (bytes, bytes)
            Without Content-Length and Transfer-Encoding.
        body : bytes
        """
        if self.is_done:
            return
        self.is_started = True
        self.status = status
        self.end = ExchangeEnd.ANSWERED
        length = (b"content-length", str(len(body)).encode())
        with self._abort_on_error():
            self._connection.write_response(status, (*headers, length), body)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body is streamed.

        Parameters
        ----------
        status : int
        headers : tuple of (bytes, bytes)
            Without Content-Length and Transfer-Encoding.
        """
        if self.is_done:
            return
        self.is_started = True
        self.status = status
        framing = (b"transfer-encoding", b"chunked")
        with self._abort_on_error():
            self._connection.write_stream_head(status, (*headers, framing))

    def write(self, data: bytes) -> None:
        """Send a chunk of the body.

        Parameters
        ----------
        data : bytes
        """
        if self.is_done:
            return
        with self._abort_on_error():
            self._connection.write_data(data)

    def count_unacknowledged(self) -> int:
        """Return the bytes written that the caller has not acknowledged, if known."""
        return 0 if self.is_done else self._connection.count_unacknowledged()

    def finish(self) -> None:
        """Complete a streamed response."""
        if self.is_done:
            return
        self.end = ExchangeEnd.ANSWERED
        with self._abort_on_error():
            self._connection.finish()

    def abort(self, reason: str) -> None:
        """Close the connection so that the response is recognizably incomplete.

        Parameters
        ----------
        reason : str
            See `abort_reason`.
        """
        if self.is_done:
            return
        self._abort(reason)

    def handle_disconnect(self) -> None:
        """Handle that the caller closed the connection."""
        if self.is_done:
            return
        self.end = ExchangeEnd.DISCONNECTED
        if self.on_disconnect is not None:
            self.on_disconnect()

    @contextlib.contextmanager
    def _abort_on_error(self) -> Iterator[None]:
        try:
            yield
        except BaseException:
            self._abort(CRASHED)
            raise

    def _abort(self, reason: str) -> None:
        self.end = ExchangeEnd.ABORTED
        self.abort_reason = reason
        self._connection.abort()
