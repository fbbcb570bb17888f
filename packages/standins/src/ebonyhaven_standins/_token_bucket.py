"""Rate limits that the platform stand-in enforces."""

from __future__ import annotations


class TokenBucket:
    """Token bucket.

    Parameters
    ----------
    per_s : float
        Operations allowed a second, above 0.
    burst : float
        Operations that may come at once.
    now : float
        Present time in seconds.
    """

    __slots__ = ("_available", "_burst", "_per_s", "_updated")

    def __init__(self, *, per_s: float, burst: float, now: float):
        self._per_s = per_s
        self._burst = burst
        self._available = burst
        self._updated = now

    def take(self, now: float) -> float:
        """Take one operation, or return how many seconds to wait.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            0.0 if the operation may go on, else the seconds until one may.
        """
        elapsed = now - self._updated
        self._updated = now
        self._available = min(self._burst, self._available + elapsed * self._per_s)
        if self._available >= 1.0:
            self._available -= 1.0
            return 0.0
        return (1.0 - self._available) / self._per_s
