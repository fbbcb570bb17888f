"""What one request is to the servers that may crash of it."""

from __future__ import annotations

import hashlib

from ebonyhaven_decisions.forwarding import Backend

from ebonyhaven_node.forwarding._crash_monitor import CrashMonitor
from ebonyhaven_node.forwarding._requests import (
    DIGEST_HEX_DIGITS,
    ForwardRequest,
)


class CrashGuard:
    """Watches the content of one request for all of its attempts.

    Parameters
    ----------
    request : ForwardRequest
    workspace : str or None
        Name of the caller's workspace.
    monitor : CrashMonitor

    Attributes
    ----------
    content : str
        Digest of what servers see of the request, equal for all retries of the caller.
    """

    __slots__ = ("_monitor", "content")

    def __init__(
        self, request: ForwardRequest, workspace: str | None, monitor: CrashMonitor
    ):
        self._monitor = monitor
        seen = f"{request.content_digest} {request.host} {workspace}"
        self.content = hashlib.sha256(seen.encode()).hexdigest()[:DIGEST_HEX_DIGITS]

    def is_blocked(self) -> bool:
        """Return whether the request may not be sent to servers any more."""
        return self._monitor.is_blocked(self.content)

    def is_undecided(self) -> bool:
        """Return whether the request may be blocked soon, and should wait for that."""
        return self._monitor.is_undecided(self.content)

    def check_loss(self, backend: Backend, *, has_begun: bool) -> None:
        """Check whether a server that closed its connection has crashed.

        Parameters
        ----------
        backend : Backend
        has_begun : bool
            Whether the server had begun to answer.
        """
        self._monitor.check_loss(self.content, backend, has_begun=has_begun)

    def record_survival(self) -> None:
        """Record that a server ran the request to an end, or far into its stream."""
        self._monitor.record_survival(self.content)
