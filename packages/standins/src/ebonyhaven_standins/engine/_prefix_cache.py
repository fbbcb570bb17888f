"""LRU prefix cache and its event feed, which delays and drops events."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Sequence

import attrs

MAX_BUFFERED_EVENTS = 8192


@attrs.frozen(slots=True)
class CacheEvent:
    """One change of the cache.

    Parameters
    ----------
    sequence : int
        Sequence number of the event; gaps mark dropped events.
    kind : str
        ``stored`` or ``evicted``.
    prefix : str
        Hash of the prompt prefix.
    published_at : float
        Time at which the event is published, in seconds.
    """

    sequence: int
    kind: str
    prefix: str
    published_at: float


class CacheEventFeed:
    """Publishes cache events after a delay and drops a share of them.

    Parameters
    ----------
    delay_s : float
        Delay before an event is published.
    loss_share : float
        Share of events that are dropped, 0 to 1.
    rng : random.Random
        Random number generator that selects the dropped events.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = (
        "_clock",
        "_delay_s",
        "_events",
        "_loss_share",
        "_sequence",
        "_rng",
    )

    def __init__(
        self,
        *,
        delay_s: float,
        loss_share: float,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._delay_s = delay_s
        self._loss_share = loss_share
        self._rng = rng
        self._clock = clock
        self._sequence = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_BUFFERED_EVENTS
        )

    def add(self, kind: str, prefix: str) -> None:
        """Record a change of the cache.

        Parameters
        ----------
        kind : str
            ``stored`` or ``evicted``.
        prefix : str
            Hash of the prompt prefix.
        """
        self._sequence += 1
        if self._rng.random() < self._loss_share:
            return
        published_at = self._clock() + self._delay_s
        self._events.append(CacheEvent(self._sequence, kind, prefix, published_at))

    def list_since(self, since: int) -> tuple[list[CacheEvent], int]:
        """Return the published events, starting at a sequence number.

        Parameters
        ----------
        since : int
            Lowest sequence number to return.

        Returns
        -------
        tuple of list of CacheEvent and int
            The events and the value of ``since`` for the next call.
        """
        now = self._clock()
        published = [
            event
            for event in self._events
            if event.sequence >= since and event.published_at <= now
        ]
        next_sequence = published[-1].sequence + 1 if published else since
        return published, next_sequence


class PrefixCache:
    """LRU cache of prompt prefix blocks.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    feed : CacheEventFeed
        Publishes the changes.
    """

    __slots__ = ("_blocks", "_feed", "capacity")

    def __init__(self, capacity: int, feed: CacheEventFeed):
        self.capacity = capacity
        self._feed = feed
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached(self, prefix_hashes: Sequence[str]) -> int:
        """Return the number of leading blocks in the cache and mark them as used.

        Parameters
        ----------
        prefix_hashes : sequence of str
            Hashes from the shortest to the longest prefix.

        Returns
        -------
        int
        """
        cached = 0
        for prefix in prefix_hashes:
            if prefix not in self._blocks:
                break
            cached += 1
        # The shortest prefix becomes the most recently used one: eviction has to
        # remove the longest prefixes first, as a prefix is of no use without all
        # shorter ones.
        for prefix in reversed(prefix_hashes[:cached]):
            self._blocks.move_to_end(prefix)
        return cached

    def store(self, prefix_hashes: Sequence[str]) -> None:
        """Store the blocks of a prompt and evict the least recently used blocks.

        Parameters
        ----------
        prefix_hashes : sequence of str
            Hashes from the shortest to the longest prefix.
        """
        for prefix in reversed(prefix_hashes):
            if prefix not in self._blocks:
                self._feed.add("stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self.capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._feed.add("evicted", evicted)
