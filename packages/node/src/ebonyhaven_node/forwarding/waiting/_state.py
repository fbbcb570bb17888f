"""What an instance knows of the streams that wait, by service."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
from ebonyhaven_decisions.forwarding.waiting import (
    RANKS,
    PeerRanks,
    RankActivity,
    ScarceRoom,
    WaitingLine,
)

ROOM_TTL_S = 0.25  # of what all waiting streams of a service have read of its engines


@attrs.frozen(slots=True)
class EngineRoom:
    """Use of the engines of a service.

    Parameters
    ----------
    run_tokens : int
        Memory of all runs.
    is_plenty : bool
        Whether less than half of the memory is in use.
    read_at : float
        Seconds.
    """

    run_tokens: int
    is_plenty: bool
    read_at: float


@attrs.define(slots=True)
class ServiceWaiting:
    """State of one service.

    Attributes
    ----------
    line : WaitingLine
        Streams that wait here.
    own_ranks, ranks : RankActivity
        Requests here, and here and at peers.
    peers : PeerRanks
        Streams that wait at peers.
    scarce_room : ScarceRoom
    """

    line: WaitingLine = attrs.field(factory=WaitingLine)
    own_ranks: RankActivity = attrs.field(factory=RankActivity)
    ranks: RankActivity = attrs.field(factory=RankActivity)
    peers: PeerRanks = attrs.field(factory=PeerRanks)
    scarce_room: ScarceRoom = attrs.field(factory=ScarceRoom)
    _room: EngineRoom = EngineRoom(0, True, -math.inf)

    def record_request(self, rank: int, target_s: float, now: float) -> None:
        """Record a request of a caller of this instance.

        Parameters
        ----------
        rank : int
        target_s : float
            Target for its first event; infinite for none.
        now : float
            Seconds.
        """
        self.own_ranks.record(rank, target_s, now)
        self.ranks.record(rank, target_s, now)

    def read_room(self, now: float, read: Callable[[], EngineRoom]) -> EngineRoom:
        """Return the use of the engines, not older than `ROOM_TTL_S`.

        Parameters
        ----------
        now : float
            Seconds.
        read : callable
            Looks at all engines.
        """
        if not 0.0 <= now - self._room.read_at < ROOM_TTL_S:
            self._room = read()
        return self._room


class WaitingState:
    """State of all services of an instance; bounded by their number."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceWaiting] = {}

    def get(self, service: str) -> ServiceWaiting:
        """Return the state of a service.

        Parameters
        ----------
        service : str
        """
        return self._by_service.setdefault(service, ServiceWaiting())

    def items(self) -> list[tuple[str, ServiceWaiting]]:
        """Return all services with their state."""
        return list(self._by_service.items())

    def count_by_rank(self) -> list[int]:
        """Return how many streams wait here, by rank."""
        counts = [each.line.count_by_rank(RANKS) for each in self._by_service.values()]
        return [sum(each) for each in zip(*counts, strict=True)] or [0] * RANKS
