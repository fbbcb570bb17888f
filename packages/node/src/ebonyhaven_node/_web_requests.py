"""Requests of the own interface, with a bound on their bodies."""

from __future__ import annotations

import structlog
from twisted.web.server import Request

from ebonyhaven_node._requests import MAX_BODY_BYTES

# Shorter ones are rejected by their handlers, which state the reason.
MAX_RECEIVED_BYTES = 2 * MAX_BODY_BYTES
REJECT_ABORT_DELAY_S = 1.0  # for a caller that does not read the rejection
CONTENT_TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

_log = structlog.get_logger()


class BoundedRequest(Request):
    """Request whose body is kept and received up to a limit only.

    Handlers are called after the whole body, of which they get enough to see that it
    is too long. An endless body is rejected while it is received.
    """

    _received_bytes = 0
    _is_rejected = False

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 Twisted API
        """Keep a part of the body."""
        room_bytes = max(0, MAX_BODY_BYTES + 1 - self._received_bytes)
        self._received_bytes += len(data)
        super().handleContentChunk(data[:room_bytes])
        if self._received_bytes > MAX_RECEIVED_BYTES and not self._is_rejected:
            self._reject()

    def _reject(self) -> None:
        self._is_rejected = True
        self.content.truncate(0)
        _log.info("request_too_long", received_bytes=self._received_bytes)
        self.channel.transport.write(CONTENT_TOO_LARGE)
        self.channel.loseConnection()
        self.channel.callLater(REJECT_ABORT_DELAY_S, self.channel.forceAbortClient)
