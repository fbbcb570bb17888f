"""Order in which the streams of one service wait at an instance.

Designed for callers that compete for the same engines: a burst of the least urgent
routes, which in order of arrival delays the most urgent ones, and one workspace that
sends many times its usual, which delays all others of its rank.
"""

from __future__ import annotations

import bisect
import heapq
from typing import NamedTuple

import attrs


class WaitingStream(NamedTuple):
    """A stream that waits for a server.

    Parameters
    ----------
    request_id : str
    rank : int
        0 is the most urgent.
    workspace : str
        Empty for none.
    tokens : int
        Engine memory that it requires.
    route_rank : int
        Rank of its route, which decides between streams of the same rank.
    has_begun : bool
        Whether its caller has received events.
    on_time_until : float
        Time from which it misses its target in any case, seconds; infinite for none.
    """

    request_id: str
    rank: int
    workspace: str = ""
    tokens: int = 0
    route_rank: int = 0
    has_begun: bool = False
    on_time_until: float = float("inf")


class _Position(NamedTuple):
    """Sort key; streams that have begun precede all others."""

    is_new: bool
    rank: int
    route_rank: int
    is_late: bool
    start_tag: float
    number: int


@attrs.define(slots=True)
class _Entry:
    stream: WaitingStream
    position: _Position


class WaitingLine:
    """Streams of one service in the order in which they are served.

    Streams that have begun come first, then those of a more urgent rank, among them
    those of a more urgent route, then those that can still meet their target. Streams
    that are equal so far alternate by workspace: each gets a start tag, the later of
    the tag served last in its rank and the end of its workspace's previous stream
    (start-time fair queueing). A workspace thus delays others of its rank by one
    stream, however many it has waiting. Then the order is that of arrival.

    Joining, leaving and looking up a position take a logarithmic number of comparisons.
    """

    __slots__ = (
        "_end_tags",
        "_entries",
        "_number",
        "_order",
        "_served_tags",
        "_turning",
    )

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._order: list[tuple[_Position, str]] = []
        self._turning: list[tuple[float, int, str]] = []  # by the time they turn late
        self._end_tags: dict[tuple[int, int, str], float] = {}
        self._served_tags: dict[tuple[int, int], float] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def join(self, stream: WaitingStream, now: float) -> None:
        """Add a stream; one that waits already keeps its place.

        Parameters
        ----------
        stream : WaitingStream
        now : float
            Seconds.
        """
        if stream.request_id in self._entries:
            return
        self._number += 1
        position = _Position(
            is_new=not stream.has_begun,
            rank=stream.rank,
            route_rank=stream.route_rank,
            is_late=now >= stream.on_time_until,
            start_tag=self._tag(stream),
            number=self._number,
        )
        self._entries[stream.request_id] = _Entry(stream, position)
        bisect.insort(self._order, (position, stream.request_id))
        if not position.is_late and stream.on_time_until != float("inf"):
            turn = (stream.on_time_until, self._number, stream.request_id)
            heapq.heappush(self._turning, turn)

    def leave(self, request_id: str, *, is_served: bool) -> None:
        """Remove a stream, if it waits.

        Parameters
        ----------
        request_id : str
        is_served : bool
            Whether it got a server, which lets its workspace's next one wait.
        """
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return
        self._remove(entry)
        ranks = (entry.stream.rank, entry.stream.route_rank)
        if is_served:
            served = self._served_tags.get(ranks, 0.0)
            self._served_tags[ranks] = max(served, entry.position.start_tag)
        if not self._entries:  # nobody competes, so that nothing is owed
            self._end_tags.clear()
            self._served_tags.clear()
            self._turning.clear()

    def is_among_first(self, request_id: str, count: int, now: float) -> bool:
        """Return whether a stream is among the first ones.

        Parameters
        ----------
        request_id : str
        count : int
        now : float
            Seconds.
        """
        return self.count_ahead(request_id, now) < count

    def count_ahead(self, request_id: str, now: float) -> int:
        """Return how many streams precede one; 0 if it does not wait.

        Parameters
        ----------
        request_id : str
        now : float
            Seconds.
        """
        self._move_late(now)
        entry = self._entries.get(request_id)
        if entry is None:
            return 0
        return bisect.bisect_left(self._order, (entry.position, request_id))

    def sum_tokens_ahead(self, request_id: str, now: float) -> int:
        """Return the engine memory that the streams before one require.

        Parameters
        ----------
        request_id : str
        now : float
            Seconds.
        """
        ahead = self._order[: self.count_ahead(request_id, now)]
        return sum(self._entries[name].stream.tokens for _, name in ahead)

    def count_by_rank(self, ranks: int) -> list[int]:
        """Return how many streams wait, by rank.

        Parameters
        ----------
        ranks : int
            Number of ranks.
        """
        counts = [0] * ranks
        for entry in self._entries.values():
            counts[min(entry.stream.rank, ranks - 1)] += 1
        return counts

    def _tag(self, stream: WaitingStream) -> float:
        key = (stream.rank, stream.route_rank, stream.workspace)
        served = self._served_tags.get(key[:2], 0.0)
        start = max(served, self._end_tags.get(key, 0.0))
        if not stream.workspace:
            return served
        self._end_tags[key] = start + max(1, stream.tokens)
        return start

    def _move_late(self, now: float) -> None:
        while self._turning and self._turning[0][0] <= now:
            _, number, request_id = heapq.heappop(self._turning)
            entry = self._entries.get(request_id)
            if entry is None or entry.position.number != number:
                continue
            self._remove(entry)
            entry.position = entry.position._replace(is_late=True)
            bisect.insort(self._order, (entry.position, request_id))

    def _remove(self, entry: _Entry) -> None:
        item = (entry.position, entry.stream.request_id)
        del self._order[bisect.bisect_left(self._order, item)]
