"""Which instances read the platform's instance list, and how often."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection

READ_INTERVAL_S = 1.5
READ_JITTER_RATIO = 0.3
ALL_READ_MAX_INSTANCES = 9
READER_COUNT = 2
READER_INTERVAL_S = 3.0
ROTATION_PERIOD_S = 60.0
REPAIR_INTERVAL_PER_INSTANCE_S = 2.0
MAX_READ_AGE_S = 25.0
FALLBACK_READERS = 4  # expected number at each poll


def _hash_rank(name: str, rotation: int) -> bytes:
    return hashlib.blake2b(f"{rotation} {name}".encode(), digest_size=8).digest()


def all_instances_read(count: int) -> bool:
    """Return whether the cluster is so small that every instance reads the list.

    Parameters
    ----------
    count : int
        Number of live instances.

    Returns
    -------
    bool
    """
    return count <= ALL_READ_MAX_INSTANCES


def choose_readers(live: Collection[str], wall_s: float) -> frozenset[str]:
    """Return the instances that read the list in the current rotation period.

    Parameters
    ----------
    live : collection of str
        Names of the live instances.
    wall_s : float
        Unix time in seconds.

    Returns
    -------
    frozenset of str
        All instances of a small group; otherwise ``READER_COUNT`` of them, which
        change every ``ROTATION_PERIOD_S`` seconds.
    """
    if all_instances_read(len(live)):
        return frozenset(live)
    rotation = int(wall_s // ROTATION_PERIOD_S)
    return frozenset(
        sorted(live, key=lambda name: _hash_rank(name, rotation))[:READER_COUNT]
    )


class ListingReadSchedule:
    """Decides when this instance reads the platform's list.

    In a small cluster every instance reads at each poll. In a larger one a few
    readers, chosen in rotation, read every ``READER_INTERVAL_S`` seconds. The others
    read at an interval proportional to the number of instances, to repair missed
    updates. When the last known read is older than ``MAX_READ_AGE_S``, each of them
    reads at random; ``FALLBACK_READERS`` of them are expected to read at each poll.

    Parameters
    ----------
    name : str
        Name of this instance.
    rng : random.Random
    """

    __slots__ = ("_name", "_next_at", "_rng")

    def __init__(self, *, name: str, rng: random.Random):
        self._name = name
        self._rng = rng
        self._next_at = float("-inf")

    def is_due(
        self, live: Collection[str], *, now: float, wall_s: float, age_s: float
    ) -> bool:
        """Return whether to read now; call it every ``READ_INTERVAL_S`` seconds.

        Parameters
        ----------
        live : collection of str
            Names of the live instances, including this one.
        now : float
            Current time in seconds.
        wall_s : float
            Unix time in seconds.
        age_s : float
            Seconds since the last known read by any instance.

        Returns
        -------
        bool
        """
        if all_instances_read(len(live)):
            return True
        if self._name in choose_readers(live, wall_s):
            return self._try_start_interval(now, READER_INTERVAL_S)
        if age_s > MAX_READ_AGE_S and self._rng.random() < FALLBACK_READERS / len(live):
            return True
        return self._try_start_interval(now, REPAIR_INTERVAL_PER_INSTANCE_S * len(live))

    def _try_start_interval(self, now: float, interval_s: float) -> bool:
        # The interval became shorter, for example because of a rotation.
        if self._next_at > now + interval_s:
            self._next_at = now
        if now < self._next_at:
            return False
        self._next_at = now + interval_s * self._rng.uniform(1 - READ_JITTER_RATIO, 1)
        return True
