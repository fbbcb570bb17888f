"""Where the copies of runs are, known to some instances besides the runs' own.

Answers the load pattern of a lost instance: all callers whose streams it carried
come back at other instances within a tenth of a second, and reading their prompts
again would delay each of them, and the new ones, beyond the allowed pause.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

INDEX_REPLICAS = 3  # instances that know of a copy; each costs a message for each run
MAX_INDEX_ENTRIES = 4096  # some hundred bytes each


class RunCopyLocation(NamedTuple):
    """Copy of a run's memory.

    Parameters
    ----------
    holder_id : str
        Server that holds the copy.
    address : str
        Of the holder, or of the run's engine for a copy that was asked for.
    handle : str
        Name of the copy at the holder.
    """

    holder_id: str
    address: str
    handle: str


class RunCopyIndex:
    """Copies that this instance was told of, the oldest dropped first.

    Parameters
    ----------
    ttl_s : float
        Age at which a statement is dropped, seconds.
    """

    __slots__ = ("_life_s", "_places")

    def __init__(self, ttl_s: float):
        self._life_s = ttl_s
        self._places: OrderedDict[str, tuple[float, RunCopyLocation]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._places)

    def record(self, key: str, place: RunCopyLocation | None, now: float) -> None:
        """Replace what is known of a run's copy.

        Parameters
        ----------
        key : str
            Identifies the run, see `choose_index_instances`.
        place : RunCopyLocation or None
            None when there is no copy any more.
        now : float
            Seconds.
        """
        self._places.pop(key, None)
        if place is not None:
            self._places[key] = (now, place)
        self._drop_oldest(now)

    def find(self, key: str, now: float) -> RunCopyLocation | None:
        """Return where the copy of a run is.

        Parameters
        ----------
        key : str
        now : float
            Seconds.

        Returns
        -------
        RunCopyLocation or None
        """
        told_at, place = self._places.get(key, (now, None))
        return place if now - told_at <= self._life_s else None

    def _drop_oldest(self, now: float) -> None:
        while self._places:
            told_at, _ = next(iter(self._places.values()))
            if len(self._places) <= MAX_INDEX_ENTRIES and now - told_at <= self._life_s:
                return
            self._places.popitem(last=False)


def choose_index_instances(key: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that know of a run's copy, wherever this is asked.

    Parameters
    ----------
    key : str
        Identifies the run by its content, so that its caller's next request has
        the same.
    instances : iterable of str
        Names of all instances.

    Returns
    -------
    list of str
        At most `INDEX_REPLICAS`, by rendezvous hashing.
    """

    def weigh(name: str) -> bytes:
        return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()

    return sorted(instances, key=weigh, reverse=True)[:INDEX_REPLICAS]
