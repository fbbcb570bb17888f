"""Index of the copies of runs, replicated to several instances.

Designed for the loss of an instance: all callers of its streams retry at other
instances within a tenth of a second. Prefilling their prompts again would delay each
of these streams, and the new ones, beyond the allowed gap.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

INDEX_REPLICAS = 3  # instances per entry; each costs one message per run
MAX_INDEX_ENTRIES = 4096  # a few hundred bytes each


class RunCopyLocation(NamedTuple):
    """Location of the copy of a run.

    Parameters
    ----------
    holder_id : str
        Id of the server with the copy.
    address : str
        Address of that server, or of the run's engine for a copy made on request.
    handle : str
        Name of the copy on that server.
    """

    holder_id: str
    address: str
    handle: str


class RunCopyIndex:
    """Copies of runs known to this instance; the oldest entry is evicted first.

    Parameters
    ----------
    ttl_s : float
        Time to live of an entry, seconds.
    """

    __slots__ = ("_entries", "_ttl_s")

    def __init__(self, ttl_s: float):
        self._ttl_s = ttl_s
        self._entries: OrderedDict[str, tuple[float, RunCopyLocation]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: str, location: RunCopyLocation | None, now: float) -> None:
        """Replace the entry of a run.

        Parameters
        ----------
        key : str
            Identifies the run, see `choose_index_instances`.
        location : RunCopyLocation or None
            None if the run has no copy any more.
        now : float
            Seconds.
        """
        self._entries.pop(key, None)
        if location is not None:
            self._entries[key] = (now, location)
        self._evict(now)

    def find(self, key: str, now: float) -> RunCopyLocation | None:
        """Return the location of the copy of a run.

        Parameters
        ----------
        key : str
        now : float
            Seconds.

        Returns
        -------
        RunCopyLocation or None
        """
        set_at, location = self._entries.get(key, (now, None))
        return location if now - set_at <= self._ttl_s else None

    def _evict(self, now: float) -> None:
        while self._entries:
            set_at, _ = next(iter(self._entries.values()))
            if len(self._entries) <= MAX_INDEX_ENTRIES and now - set_at <= self._ttl_s:
                return
            self._entries.popitem(last=False)


def choose_index_instances(key: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that store the entry of a run, the same on every instance.

    Parameters
    ----------
    key : str
        Identifies the run by its content, so that the caller's retry has the same
        key.
    instances : iterable of str
        Names of all instances.

    Returns
    -------
    list of str
        At most `INDEX_REPLICAS`, by rendezvous hashing.
    """

    def compute_weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()

    return sorted(instances, key=compute_weight, reverse=True)[:INDEX_REPLICAS]
