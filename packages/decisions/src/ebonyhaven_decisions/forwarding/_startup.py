"""Limits on requests that wait for the first state of a new instance.

Designed for a restart of all instances at once: callers connect as soon as the new
processes listen, some hundred milliseconds before these have read the configuration
and the server list. Callers retry few times, so that a rejection at this moment is
often final.
"""

from __future__ import annotations

import attrs

WAIT_SHARE = 0.25  # of the caller's timeout; leaves time to retry elsewhere
MAX_WAIT_S = 2.0  # a store that takes longer is down, and peers are asked for the state
MAX_WAITING_REQUESTS = 512
MAX_WAITING_BYTES = 8 * 1024 * 1024


@attrs.define(slots=True)
class StateWaitLimits:
    """Limits on how many requests wait for the first state, and for how long.

    Attributes
    ----------
    requests, body_bytes : int
        Requests that wait now, and the size of their bodies.
    """

    requests: int = 0
    body_bytes: int = 0

    def compute_wait_s(self, *, timeout_s: float | None, body_bytes: int) -> float:
        """Return how long a new request may wait for the state.

        Parameters
        ----------
        timeout_s : float or None
            Timeout of the caller, seconds.
        body_bytes : int
            Size of the body of the request.

        Returns
        -------
        float
            Seconds; 0 if too many requests wait already.
        """
        if self.requests >= MAX_WAITING_REQUESTS:
            return 0.0
        if self.body_bytes + body_bytes > MAX_WAITING_BYTES:
            return 0.0
        return (
            MAX_WAIT_S if timeout_s is None else min(MAX_WAIT_S, WAIT_SHARE * timeout_s)
        )

    def add(self, body_bytes: int) -> None:
        """Count a request that starts to wait."""
        self.requests += 1
        self.body_bytes += body_bytes

    def remove(self, body_bytes: int) -> None:
        """Count a request that no longer waits."""
        self.requests -= 1
        self.body_bytes -= body_bytes
