"""How long the link of an instance needs for what it was given to send."""

from __future__ import annotations

import math


class LinkLoad:
    """Estimates what of the messages that were sent still waits for the link.

    Other traffic of the link is not known to it, so that the true wait is longer.

    Parameters
    ----------
    bytes_per_s : float
        What the link carries.
    """

    __slots__ = ("_bytes_per_s", "_free_at")

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_at = -math.inf

    def record(self, size: int, now: float) -> None:
        """Record a message.

        Parameters
        ----------
        size : int
            Bytes.
        now : float
            Seconds.
        """
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s

    def measure_wait_s(self, now: float) -> float:
        """Return the time until the link has carried all that was recorded, seconds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return max(0.0, self._free_at - now)
