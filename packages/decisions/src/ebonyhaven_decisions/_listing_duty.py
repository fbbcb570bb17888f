"""Which instances read the platform's list, and how often."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection

READ_INTERVAL_S = 1.5
READ_JITTER = 0.3
EVERYBODY_READS_UP_TO = 9
READERS = 2
READER_INTERVAL_S = 3.0
TURN_S = 60.0
REPAIR_INTERVAL_S = 2.0  # times the count of instances
FRESHNESS_S = 25.0
STAND_IN_READERS = 4


def _rank(name: str, turn: int) -> bytes:
    return hashlib.blake2b(f"{turn} {name}".encode(), digest_size=8).digest()


def everybody_reads(count: int) -> bool:
    """Return whether so few instances are live that each reads the list.

    Parameters
    ----------
    count : int

    Returns
    -------
    bool
    """
    return count <= EVERYBODY_READS_UP_TO


def list_readers(live: Collection[str], wall_s: float) -> frozenset[str]:
    """Return the instances whose turn it is to read the list.

    Parameters
    ----------
    live : collection of str
        Names of the live instances.
    wall_s : float
        Wall clock in seconds.

    Returns
    -------
    frozenset of str
        All of a few instances; otherwise ``READERS`` that change every ``TURN_S``.
    """
    if everybody_reads(len(live)):
        return frozenset(live)
    turn = int(wall_s // TURN_S)
    return frozenset(sorted(live, key=lambda name: _rank(name, turn))[:READERS])


class ListingDuty:
    """Decides when this instance reads the platform's list.

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
        """Return whether to read now; to be asked every ``READ_INTERVAL_S``.

        Parameters
        ----------
        live : collection of str
            Names of the live instances, this one too.
        now : float
            Present time in seconds.
        wall_s : float
            Wall clock in seconds.
        age_s : float
            Seconds since the last known read by any instance.

        Returns
        -------
        bool
        """
        if everybody_reads(len(live)):
            return True
        if self._name in list_readers(live, wall_s):
            return self._claim(now, READER_INTERVAL_S)
        if age_s > FRESHNESS_S and self._rng.random() < STAND_IN_READERS / len(live):
            return True
        return self._claim(now, REPAIR_INTERVAL_S * len(live))

    def _claim(self, now: float, interval_s: float) -> bool:
        if self._next_at > now + interval_s:
            self._next_at = now
        if now < self._next_at:
            return False
        self._next_at = now + interval_s * self._rng.uniform(1 - READ_JITTER, 1)
        return True
