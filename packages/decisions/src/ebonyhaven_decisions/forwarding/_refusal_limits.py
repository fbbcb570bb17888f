"""Limit on the requests that a brittle server has to refuse for lack of room.

Designed for servers that end when they refuse many requests in a second. All instances
together send no more at a time than such a server can take or may refuse. A request
occupies its place until its answer is complete, or the server has given it up.
"""

from __future__ import annotations

import math

# After a refusal, an instance leaves the server alone for longer than the second in
# which the server counts.
REST_S = 1.1
REST_JITTER_S = 0.4
CAUTION_S = 5.0  # after a refusal, in which the slots are not relied upon


class RefusalLimiter:
    """Bounds the requests of one instance at one process of a server.

    Attributes
    ----------
    limit : int or None
        Refusals per second that the server survives; None if it is not brittle.
    refused_at : float
        Time of the last refusal that any instance is known to have got, seconds.
    """

    __slots__ = (
        "_instances",
        "_rank",
        "_resting_until",
        "_slots",
        "_at_server",
        "limit",
        "refused_at",
    )

    def __init__(self) -> None:
        self.limit: int | None = None
        self.refused_at = -math.inf
        self._instances = 1
        self._rank = 0
        self._resting_until = -math.inf
        self._slots = 0
        self._at_server = 0

    def set_limit(self, limit: int | None, *, slots: int) -> None:
        """Set what the server says.

        Parameters
        ----------
        limit : int or None
        slots : int
            Requests that it has room for in any case; 0 if that is unknown.
        """
        self.limit = limit
        self._slots = slots

    def set_share(self, *, rank: int, instances: int, owner: str = "") -> None:
        """Set this instance's part.

        Parameters
        ----------
        rank : int
            Its place in an order of the instances that differs with the server.
        instances : int
            Instances that could send requests, this one included.
        owner : str
            Name of the first instance in that order.
        """
        self._rank = rank
        self._instances = max(1, instances)

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.limit is None:
            return True
        return now >= self._resting_until and self._at_server < self._count_share(now)

    def find_next(self, now: float) -> float:
        """Return when a request may be sent; now if that depends on answers to others.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; infinite if the requests are left to other instances.
        """
        if self.limit is None:
            return now
        if not self._count_share(now):
            return math.inf
        return max(now, self._resting_until)

    def record_sent(self, now: float = 0.0) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._at_server += 1

    def record_ended(self) -> None:
        """Count the end of a request at the server."""
        self._at_server -= 1

    def record_refused(self, now: float, jitter: float) -> None:
        """Record a refusal of a request of this instance.

        Parameters
        ----------
        now : float
            Seconds.
        jitter : float
            Random number from 0 to 1, so that the instances return at different times.
        """
        self.refused_at = now
        if self.limit is not None:
            self._resting_until = now + REST_S + REST_JITTER_S * jitter

    def record_told_refused(self, refused_at: float) -> None:
        """Record a refusal that another instance got.

        Parameters
        ----------
        refused_at : float
            Seconds.
        """
        self.refused_at = max(self.refused_at, refused_at)

    def _count_share(self, now: float) -> int:
        """Return how many requests of this instance may be at the server."""
        room = self._slots or self.limit
        if now - self.refused_at < CAUTION_S:
            room = min(room, self.limit)
        room = max(1, room)
        if self._rank >= room:
            return 0
        return max(1, room // self._instances)
