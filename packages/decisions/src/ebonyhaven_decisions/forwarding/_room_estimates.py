"""Learned number of requests that a server has room for.

Designed for a server whose room shrinks without notice while callers fill it: what it
names as its slots is then an upper bound only. The estimate halves at a refusal, and
rises again by one while all of it is in use and nothing is refused, like the window of
a transport protocol (additive increase, multiplicative decrease). A rise that is
refused is taken back, and tried again after twice the time.

A server may also run requests that nobody counts, since their callers have gone. After
a refusal it is left alone for a pause that doubles with each further one, so that even
then it refuses no more than it survives.
"""

from __future__ import annotations

import math

COUNTING_S = 1.1  # longer than the second in which servers count their refusals
RISE_INTERVAL_S = COUNTING_S
CAREFUL_RISE_INTERVAL_S = 30.0  # for a server that survives no refusal
MAX_RISE_INTERVAL_S = 60.0
MAX_DOUBLINGS = 6
SETTLE_S = 0.2  # after a fall, in which requests sent before may be refused as well


class RoomEstimate:
    """Estimates how many requests of all instances a server takes at a time.

    Parameters
    ----------
    slots : int
        Requests that the server names as its room; at least 1.
    tolerated : int
        Refusals per second that the server survives.

    Attributes
    ----------
    room : int
        Current estimate, at most the slots.
    closed_until : float
        Time before which the server is left alone, seconds.
    """

    __slots__ = (
        "_changed_at",
        "_confirmed",
        "_failed_rises",
        "_fell_at",
        "_burst",
        "_first_pause_s",
        "_pause_s",
        "_refused_at",
        "_rise_interval_s",
        "_slots",
        "_was_filled",
        "closed_until",
        "room",
    )

    def __init__(self, slots: int = 1, tolerated: int = 1):
        self._slots = max(1, slots)
        self._rise_interval_s = (
            RISE_INTERVAL_S if tolerated else CAREFUL_RISE_INTERVAL_S
        )
        self._burst = max(1, tolerated // 2)
        # All of the first burst may be refused; pauses that double allow the rest of
        # the tolerated refusals in the time. A server that survives none has ended
        # after the first.
        doublings = min(tolerated - self._burst + 1 or 2, MAX_DOUBLINGS)
        self._first_pause_s = COUNTING_S / (2**doublings - 1)
        self._pause_s = self._first_pause_s
        self.closed_until = -math.inf
        self.room = self._slots
        self._confirmed = self._slots  # what was in use without a refusal
        self._failed_rises = 0
        self._was_filled = False
        self._changed_at = -math.inf
        self._fell_at = -math.inf
        self._refused_at = -math.inf

    def limit_burst(self, now: float) -> int:
        """Return how many requests may be sent until a refusal of the first arrives.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return 1 if now - self._refused_at < COUNTING_S else self._burst

    def record_used(self, used: int, now: float) -> None:
        """Record that requests are at the server, none of them refused so far.

        Parameters
        ----------
        used : int
        now : float
            Seconds.
        """
        if used < self.room:
            return
        if not self._was_filled:
            self._was_filled = True
            return
        interval_s = self._rise_interval_s * 2 ** min(self._failed_rises, MAX_DOUBLINGS)
        if now - self._changed_at >= min(interval_s, MAX_RISE_INTERVAL_S):
            self._rise(now)

    def record_refused(self, now: float) -> None:
        """Record that the server refused a request for lack of room.

        The estimate does not fall for requests that were sent before it fell last.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._pause(now)
        self._refused_at = now
        if now - self._fell_at < SETTLE_S:
            return
        self._fell_at = now
        if self.room > self._confirmed:
            self._failed_rises += 1
            self._change(self._confirmed, now)
        else:
            self._failed_rises = 0
            self._confirmed = max(1, self.room // 2)
            self._change(self._confirmed, now)

    def _pause(self, now: float) -> None:
        if now - self.closed_until > COUNTING_S:
            self._pause_s = self._first_pause_s
        self.closed_until = now + min(self._pause_s, COUNTING_S)
        self._pause_s *= 2

    def _rise(self, now: float) -> None:
        if self.room > self._confirmed:
            self._failed_rises = 0
        self._confirmed = self.room
        if self.room < self._slots:
            self._change(self.room + 1, now)

    def _change(self, room: int, now: float) -> None:
        self.room = room
        self._changed_at = now
        self._was_filled = False
