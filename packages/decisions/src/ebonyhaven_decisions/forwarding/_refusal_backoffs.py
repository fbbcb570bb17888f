"""Backoff of one instance from a server that refuses requests because it is full.

Designed for many instances that share a server with few slots: if each sent its
rejected requests again at once, most arrivals would be rejected ones.
"""

from __future__ import annotations

import math

import attrs

# A full server is left alone for a time that doubles with each refusal.
BACKOFF_MIN_S = 0.03  # about the time of a short request
BACKOFF_MAX_S = 0.5


@attrs.define(slots=True, eq=False)
class RefusalBackoff:
    """Backoff from one process of a server that names no time of its own.

    Attributes
    ----------
    refusals : int
        Requests that the server refused because it was full, since it last ran one.
    until : float
        Time before which the server is left alone, seconds.
    in_flight_at_refusal : int
        Other requests of this instance at the server when it last refused one.
    """

    refusals: int = 0
    until: float = -math.inf
    in_flight_at_refusal: int = 0

    def allows(self, in_flight: int, now: float) -> bool:
        """Return whether the server is expected to have room for a request.

        Up to what it was serving for this instance, a server that has refused a
        request goes on to get others.

        Parameters
        ----------
        in_flight : int
            Requests of this instance at the server.
        now : float
            Seconds.
        """
        if self.refusals == 0:
            return True
        return now >= self.until and in_flight < max(1, self.in_flight_at_refusal)

    def record_refused(self, in_flight: int, now: float, jitter: float) -> None:
        """Record that the server refused a request because it was full.

        Parameters
        ----------
        in_flight : int
            Other requests of this instance at the server.
        now : float
            Seconds.
        jitter : float
            Random number from 0 to 1, so that the instances return at different times.
        """
        delay_s = BACKOFF_MIN_S * 2 ** min(self.refusals, 8)
        self.refusals += 1
        self.in_flight_at_refusal = in_flight
        until = now + min(delay_s, BACKOFF_MAX_S) * (0.5 + jitter)
        self.until = max(self.until, until)

    def record_run(self) -> None:
        """Record that the server ran a request."""
        self.refusals = 0
