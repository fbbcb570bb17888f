"""Permits for requests to a brittle server, handed out by one instance for all.

Designed for more instances than such a server has room for requests: with equal shares,
most instances could send nothing while the shares of others stand idle. One instance,
the owner, counts the requests of all at one process of the server. The others ask it
for a permit for each request, in order of arrival, and return it when the request has
ended at the server. As a stream may last for long, they repeat which ones they hold.
They also tell the owner of requests that were sent before permits were needed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._room_estimates import RoomEstimate

PERMIT_TTL_S = 5.0  # after which a permit that is not reported any more is taken back
UNPERMITTED_PREFIX = "~"  # of the ids of requests that were sent without a permit
WAIT_TTL_S = 5.0  # after which whoever asked is taken to have gone
REFUSAL_DELAY_S = 0.02  # within which a refusal of a request arrives
TAKEOVER_S = 0.5  # in which requests that a previous owner permitted are answered


class Permit(NamedTuple):
    """Permission for one request to one process of a server.

    Parameters
    ----------
    instance : str
        Name of the instance that may send it.
    request_id : str
        Request that it was asked for; another of the instance may use it.
    """

    instance: str
    request_id: str


class PermitLedger:
    """Permits that the owner of a process has handed out, and who waits for one.

    Parameters
    ----------
    room : RoomEstimate
    """

    __slots__ = (
        "_granted",
        "_is_taken_over",
        "_opens_at",
        "_sent_at",
        "_waiting",
        "room",
    )

    def __init__(self, room: RoomEstimate, *, is_taken_over: bool = False):
        self.room = room
        # With the time at which they were granted, or last reported.
        self._granted: dict[Permit, float] = {}
        self._waiting: dict[Permit, float] = {}  # with the time of the request
        self._sent_at: deque[float] = deque()  # of requests that may be refused yet
        self._is_taken_over = is_taken_over
        self._opens_at = -math.inf

    @property
    def has_waiting(self) -> bool:
        """Whether somebody waits for a permit."""
        return bool(self._waiting)

    def ask(self, permit: Permit, now: float) -> None:
        """Add a request to those that wait.

        Parameters
        ----------
        permit : Permit
        now : float
            Seconds.
        """
        if permit not in self._granted:
            self._waiting.setdefault(permit, now)

    def release(self, permit: Permit) -> None:
        """Take a permit back, or a request for one.

        Parameters
        ----------
        permit : Permit
        """
        self._waiting.pop(permit, None)
        self._granted.pop(permit, None)

    def record_held(self, instance: str, held: Collection[str], now: float) -> None:
        """Record which requests of an instance are at the server.

        Permits that are not among them may still be on their way to the instance.

        Parameters
        ----------
        instance : str
        held : collection of str
            Request ids of their permits.
        now : float
            Seconds.
        """
        for permit in [each for each in self._granted if each.instance == instance]:
            is_unpermitted = permit.request_id.startswith(UNPERMITTED_PREFIX)
            if permit.request_id in held or is_unpermitted:
                del self._granted[permit]
        self._granted |= {Permit(instance, each): now for each in held}

    def keep_instances(self, names: Collection[str]) -> None:
        """Drop the permits of all other instances.

        Parameters
        ----------
        names : collection of str
        """
        for permits in (self._waiting, self._granted):
            for permit in [each for each in permits if each.instance not in names]:
                del permits[permit]

    def has_room(self, own_count: int, now: float) -> bool:
        """Return whether another request may be sent.

        Parameters
        ----------
        own_count : int
            Requests at the server that the owner sent without a permit.
        now : float
            Seconds.
        """
        if self._is_taken_over:
            self._is_taken_over = False
            self._opens_at = now + TAKEOVER_S
        self._expire(now)
        if now < self.find_opening(now):
            return False
        return self.count(own_count) < self.room.room

    def record_sent(self, now: float) -> None:
        """Record that a request is sent, or permitted.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._sent_at.append(now)

    def find_opening(self, now: float) -> float:
        """Return when the next request may be sent if there is room.

        Designed for a server that has less room than is known when many wait: sent at
        once, more of them would be refused than it survives.

        Parameters
        ----------
        now : float
            Seconds.
        """
        while self._sent_at and now - self._sent_at[0] >= REFUSAL_DELAY_S:
            self._sent_at.popleft()
        opening = max(self._opens_at, self.room.closed_until)
        if len(self._sent_at) >= self.room.limit_burst(now):
            opening = max(opening, self._sent_at[0] + REFUSAL_DELAY_S)
        return opening

    def count(self, own_count: int) -> int:
        """Return the requests that are at the server, as far as is known.

        Parameters
        ----------
        own_count : int
            See `has_room`.
        """
        return own_count + len(self._granted)

    def grant(self, own_count: int, now: float) -> list[Permit]:
        """Grant permits to those who wait, as far as there is room.

        Parameters
        ----------
        own_count : int
            See `has_room`.
        now : float
            Seconds.

        Returns
        -------
        list of Permit
        """
        granted = []
        while self._waiting and self.has_room(own_count, now):
            if not self._waiting:  # the rest has expired
                break
            permit = next(iter(self._waiting))
            del self._waiting[permit]
            self._granted[permit] = now
            self.record_sent(now)
            granted.append(permit)
        if granted:
            self.room.record_used(self.count(own_count), now)
        return granted

    def _expire(self, now: float) -> None:
        for permits, ttl_s in (
            (self._waiting, WAIT_TTL_S),
            (self._granted, PERMIT_TTL_S),
        ):
            while permits and now - next(iter(permits.values())) > ttl_s:
                del permits[next(iter(permits))]
