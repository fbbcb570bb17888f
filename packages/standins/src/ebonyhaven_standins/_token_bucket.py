"""Token bucket for the rate limits of the stand-in platform."""

from __future__ import annotations


class TokenBucket:
    """Limits the rate of operations and allows short bursts.

    Parameters
    ----------
    per_s : float
        Sustained rate in operations per second, above 0.
    burst : float
        Capacity of the bucket in operations.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_burst", "_rate_per_s", "_refilled_at", "_tokens")

    def __init__(self, *, per_s: float, burst: float, now: float):
        self._rate_per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def try_acquire(self, now: float) -> float:
        """Consume one token if available, or return the time until one is.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            0.0 if a token was consumed, else the wait in seconds until one is
            available.
        """
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate_per_s
