"""Prefix cache with limited memory and its late, gappy event feed."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Sequence

import attrs

KEPT_EVENTS = 8192


@attrs.frozen(slots=True)
class CacheEvent:
    """One change of the cache.

    Parameters
    ----------
    sequence : int
        Number of the event; a missing number is a lost event.
    kind : str
        ``stored`` or ``evicted``.
    prefix : str
        Hash of the prompt prefix.
    visible_at : float
        Time in seconds from which the event is published.
    """

    sequence: int
    kind: str
    prefix: str
    visible_at: float


class CacheEventFeed:
    """Publishes cache events after a delay and loses some.

    Parameters
    ----------
    delay_s : float
        Time until an event is published.
    loss : float
        Share of events that are lost, 0 to 1.
    source : random.Random
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = ("_clock", "_delay_s", "_events", "_loss", "_sequence", "_source")

    def __init__(
        self,
        *,
        delay_s: float,
        loss: float,
        source: random.Random,
        clock: Callable[[], float],
    ):
        self._delay_s = delay_s
        self._loss = loss
        self._source = source
        self._clock = clock
        self._sequence = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )

    def add(self, kind: str, prefix: str) -> None:
        """Record a change of the cache.

        Parameters
        ----------
        kind : str
        prefix : str
        """
        self._sequence += 1
        if self._source.random() < self._loss:
            return
        visible_at = self._clock() + self._delay_s
        self._events.append(CacheEvent(self._sequence, kind, prefix, visible_at))

    def list_since(self, since: int) -> tuple[list[CacheEvent], int]:
        """Return the published events from a sequence number on.

        Parameters
        ----------
        since : int
            First sequence number wanted.

        Returns
        -------
        tuple of list of CacheEvent and int
            The events and the sequence number to ask for next.
        """
        now = self._clock()
        visible = [
            event
            for event in self._events
            if event.sequence >= since and event.visible_at <= now
        ]
        following = visible[-1].sequence + 1 if visible else since
        return visible, following


class PrefixCache:
    """Least recently used store of prompt prefix blocks.

    Parameters
    ----------
    capacity : int
        Number of blocks that fit.
    feed : CacheEventFeed
        Where changes are published.
    """

    __slots__ = ("_blocks", "_feed", "capacity")

    def __init__(self, capacity: int, feed: CacheEventFeed):
        self.capacity = capacity
        self._feed = feed
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached(self, prefixes: Sequence[str]) -> int:
        """Return how many leading blocks are cached and mark them as used.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes from the shortest to the longest prefix.

        Returns
        -------
        int
        """
        cached = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            cached += 1
        # The shortest prefix ends up the most recent: a chain is evicted from its end.
        for prefix in reversed(prefixes[:cached]):
            self._blocks.move_to_end(prefix)
        return cached

    def store(self, prefixes: Sequence[str]) -> None:
        """Store the blocks of a prompt and evict the least recently used.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes from the shortest to the longest prefix.
        """
        for prefix in reversed(prefixes):
            if prefix not in self._blocks:
                self._feed.add("stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self.capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._feed.add("evicted", evicted)
