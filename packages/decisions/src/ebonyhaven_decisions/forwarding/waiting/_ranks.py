"""Which ranks of requests have been there recently, here and at other instances.

Designed for bursts of the least urgent routes: room that is kept free for urgent
requests is lost while there are none, so that it is kept only for those that came
within the last seconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

RANKS = 3  # as far as engines tell them apart
RANK_MEMORY_S = 5.0  # in which a rank counts as present after its last request
NEWS_TTL_S = 3.0  # three intervals between two reports


def limit_rank(priority: int) -> int:
    """Return the rank of a priority; 0 is the most urgent.

    Parameters
    ----------
    priority : int
        Of a route or a workspace.
    """
    return max(0, min(RANKS - 1, priority))


class RankNews(NamedTuple):
    """What an instance tells others of one rank of a service.

    Parameters
    ----------
    waiting : int
        Streams that wait for a server.
    target_s : float
        Shortest target for the first event; infinite for none.
    idle_s : float
        Time since the last request.
    """

    waiting: int = 0
    target_s: float = math.inf
    idle_s: float = math.inf


class RankActivity:
    """Last requests of each rank of one service, and their targets."""

    __slots__ = ("_seen_at", "_targets")

    def __init__(self) -> None:
        self._seen_at = [-math.inf] * RANKS
        self._targets = [math.inf] * RANKS

    def record(self, rank: int, target_s: float, now: float) -> None:
        """Record a request.

        Parameters
        ----------
        rank : int
        target_s : float
            Target for its first event; infinite for none.
        now : float
            Seconds.
        """
        if self.is_present(rank, now):
            target_s = min(target_s, self._targets[rank])
        self._targets[rank] = target_s
        self._seen_at[rank] = max(now, self._seen_at[rank])

    def is_present(self, rank: int, now: float) -> bool:
        """Return whether requests of a rank came within `RANK_MEMORY_S`.

        Parameters
        ----------
        rank : int
        now : float
            Seconds.
        """
        return now - self._seen_at[rank] <= RANK_MEMORY_S

    def list_more_urgent_targets(self, rank: int, now: float) -> list[float]:
        """Return the targets of the more urgent ranks that are present.

        Parameters
        ----------
        rank : int
        now : float
            Seconds.

        Returns
        -------
        list of float
            Seconds, one for each rank.
        """
        return [
            self._targets[each] for each in range(rank) if self.is_present(each, now)
        ]

    def tell(self, waiting: Sequence[int], now: float) -> list[RankNews] | None:
        """Return the news of all ranks, or None if no rank is present.

        Parameters
        ----------
        waiting : sequence of int
            Streams that wait, by rank.
        now : float
            Seconds.
        """
        news = [
            RankNews(waiting[rank], self._targets[rank], now - self._seen_at[rank])
            if waiting[rank] or self.is_present(rank, now)
            else RankNews()
            for rank in range(RANKS)
        ]
        return news if any(each != RankNews() for each in news) else None


class PeerRanks:
    """What other instances last told of the ranks of one service."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Sequence[RankNews]]] = {}

    def record(self, peer: str, news: Sequence[RankNews], now: float) -> None:
        """Replace the news of a peer.

        Parameters
        ----------
        peer : str
        news : sequence of RankNews
            By rank.
        now : float
            Seconds.
        """
        self._reports[peer] = (now, news)

    def count_waiting(self, rank: int, now: float) -> int:
        """Return how many streams of a rank, or a more urgent one, wait at peers.

        Parameters
        ----------
        rank : int
        now : float
            Seconds.
        """
        return sum(
            each.waiting for news in self._list_recent(now) for each in news[: rank + 1]
        )

    def estimate_waiting(self, instances: int, now: float) -> float:
        """Return how many streams wait at all other instances, told of or not.

        Parameters
        ----------
        instances : int
            Number of instances, with this one.
        now : float
            Seconds.
        """
        recent = self._list_recent(now)
        if not recent:
            return 0.0
        told = sum(each.waiting for news in recent for each in news)
        return told * max(1.0, (instances - 1) / len(recent))

    def _list_recent(self, now: float) -> list[Sequence[RankNews]]:
        for peer, (told_at, _) in list(self._reports.items()):
            if now - told_at > NEWS_TTL_S:
                del self._reports[peer]
        return [news for _, news in self._reports.values()]
