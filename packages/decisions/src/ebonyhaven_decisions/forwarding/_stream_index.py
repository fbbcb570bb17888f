"""Index of the open streams, replicated to several instances.

Designed for the loss of an instance: all callers of its streams retry at other
instances within a tenth of a second. Prefilling their prompts again would delay each
of these streams, and the new ones, beyond the allowed gap; and at a server of another
software version, a stream would get events that do not fit to those that it has.

Also designed for the loss of all instances at once: one replica of each entry, its
recorder, writes its entries to the platform's store in batches.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from ebonyhaven_decisions._rendezvous import choose_instances, compute_weight
from ebonyhaven_decisions.forwarding._stream_records import StreamRecord

INDEX_REPLICAS = 3  # instances per entry; each costs one message per run
INSTANCES_PER_RECORDER = 16  # bounds the writes to the store in a large deployment
MAX_INDEX_ENTRIES = 4096  # a few hundred bytes each


class StreamIndex:
    """Streams known to this instance; the oldest entry is evicted first.

    Parameters
    ----------
    ttl_s : float
        Time to live of an entry, seconds.
    """

    __slots__ = ("_entries", "_ttl_s")

    def __init__(self, ttl_s: float):
        self._ttl_s = ttl_s
        self._entries: OrderedDict[str, tuple[float, StreamRecord]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: str, record: StreamRecord | None, now: float) -> None:
        """Replace the entry of a stream.

        Parameters
        ----------
        key : str
            Identifies the stream, see `choose_index_instances`.
        record : StreamRecord or None
            None if the stream will not go on.
        now : float
            Seconds.
        """
        self._entries.pop(key, None)
        if record is not None:
            self._entries[key] = (now, record)
        self._evict(now)

    def add_older(
        self, records: Mapping[str, tuple[float, StreamRecord]], now: float
    ) -> None:
        """Add records of other origin, unless the index has the stream already.

        Parameters
        ----------
        records : mapping of str to tuple of (float, StreamRecord)
            Ages, seconds, and records, by key of the stream.
        now : float
            Seconds.
        """
        added = {
            key: (now - age_s, record)
            for key, (age_s, record) in records.items()
            if key not in self._entries
        }
        entries = [*added.items(), *self._entries.items()]
        self._entries = OrderedDict(sorted(entries, key=lambda entry: entry[1][0]))
        self._evict(now)

    def find(self, key: str, now: float) -> StreamRecord | None:
        """Return the record of a stream.

        Parameters
        ----------
        key : str
        now : float
            Seconds.

        Returns
        -------
        StreamRecord or None
        """
        set_at, record = self._entries.get(key, (now, None))
        return record if now - set_at <= self._ttl_s else None

    def list_newest(
        self, count: int, *, max_age_s: float, now: float
    ) -> dict[str, StreamRecord]:
        """Return the newest entries.

        Parameters
        ----------
        count : int
            Maximum number of entries.
        max_age_s : float
            Maximum age of an entry, seconds.
        now : float
            Seconds.

        Returns
        -------
        dict of str to StreamRecord
            By key of the stream.
        """
        newest: dict[str, StreamRecord] = {}
        for key, (set_at, record) in reversed(self._entries.items()):
            if len(newest) == count or now - set_at > max_age_s:
                break
            newest[key] = record
        return newest

    def _evict(self, now: float) -> None:
        while self._entries:
            set_at, _ = next(iter(self._entries.values()))
            if len(self._entries) <= MAX_INDEX_ENTRIES and now - set_at <= self._ttl_s:
                return
            self._entries.popitem(last=False)


def choose_recorder(key: str, instances: Iterable[str]) -> str | None:
    """Return the instance that writes the entry of a stream to the store.

    Few instances write, each for many streams, because the store limits its callers in
    writes per second rather than in bytes.

    Parameters
    ----------
    key : str
        Identifies the stream, see `choose_index_instances`.
    instances : iterable of str
        Names of all instances.

    Returns
    -------
    str or None
        The same on every instance; None without instances.
    """
    names = list(instances)
    recorders = math.ceil(len(names) / INSTANCES_PER_RECORDER)
    if not recorders:
        return None
    shard = zlib.crc32(key.encode()) % recorders
    return choose_instances(f"recorder-{shard}", names, 1)[0]


def choose_index_instances(key: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that store the entry of a stream, the same on all instances.

    Parameters
    ----------
    key : str
        Identifies the stream, so that the caller's retry has the same key.
    instances : iterable of str
        Names of all instances.

    Returns
    -------
    list of str
        At most `INDEX_REPLICAS`: the recorder, then others by rendezvous hashing.
    """
    names = list(instances)
    recorder = choose_recorder(key, names)
    ordered = sorted(
        names,
        key=lambda name: (name == recorder, compute_weight(key, name)),
        reverse=True,
    )
    return ordered[:INDEX_REPLICAS]
