"""Streams of tokens from model engines."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Protocol

from twisted.internet import error
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss

from ebonyhaven_node._events import EventParser, Token
from ebonyhaven_node._servers import BackendServer


class StreamReceiver(Protocol):
    """Receives the tokens of an engine stream."""

    def receive_tokens(self, stream: EngineStream, tokens: Sequence[Token]) -> None:
        """Handle consecutive tokens that arrived together."""

    def receive_loss(self, stream: EngineStream, reason: str) -> None:
        """Handle a stream that ended before its last token."""


class EngineStream(TwistedProtocol):
    """Event stream of a run from an engine.

    Parameters
    ----------
    server : BackendServer
        Backend server that sends the stream.
    offset : int
        Offset of the first expected token.
    receiver : StreamReceiver

    Attributes
    ----------
    next_offset : int
        Offset of the next expected token.
    last_received_at : float
        Monotonic time of the last received data, seconds.
    tokens_received : int
    """

    def __init__(self, *, server: BackendServer, offset: int, receiver: StreamReceiver):
        self.server = server
        self.next_offset = offset
        self.last_received_at = time.monotonic()
        self.tokens_received = 0
        self._receiver: StreamReceiver | None = receiver
        self._parser = EventParser()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 name given by Twisted
        """Parse received bytes and pass the tokens to the receiver."""
        if self._receiver is None:
            return
        self.last_received_at = time.monotonic()
        try:
            tokens = self._parser.feed(data)
            self._check_order(tokens)
        except (ValueError, LookupError) as exc:
            self._report_loss(f"malformed stream: {exc}")
            return
        if tokens:
            self.tokens_received += len(tokens)
            self._receiver.receive_tokens(self, tokens)

    def connectionLost(self, reason: Failure = None) -> None:  # noqa: N802
        """Report the loss of an incomplete stream.

        A stream is complete once a token with a finish reason has arrived.
        """
        if reason is None or self._parser.done:
            return
        if reason.check(ResponseFailed, PotentialDataLoss, error.ConnectionLost):
            self._report_loss("connection lost")
        else:
            self._report_loss("stream ended early")

    def close(self) -> None:
        """Close the connection; the receiver gets no further calls."""
        self._receiver = None
        if self.transport is not None:
            self.transport.loseConnection()

    def _check_order(self, tokens: Sequence[Token]) -> None:
        for token in tokens:
            if token.offset != self.next_offset:
                raise ValueError(
                    f"got offset {token.offset} where {self.next_offset} was expected"
                )
            if token.finish_reason is None:
                self.next_offset += 1

    def _report_loss(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if self.transport is not None:
            self.transport.loseConnection()
        if receiver is not None:
            receiver.receive_loss(self, reason)
