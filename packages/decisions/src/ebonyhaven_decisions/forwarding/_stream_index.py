"""Index of streams that may be taken up again, replicated to several instances.

Designed for the loss of an instance: all callers of its streams retry at other
instances within a tenth of a second. Prefilling their prompts again would delay each
of these streams, and the new ones, beyond the allowed gap; and at a server of another
software version, a stream would get events that do not fit to those that it has.

Also designed for the loss of all instances at once: one replica of each entry, its
recorder, writes its entries to the platform's store in batches.

The entry of a stream that its servers have ended is kept as well: its caller may not
have received all of it.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ebonyhaven_decisions._rendezvous import choose_instances, compute_weight
from ebonyhaven_decisions.forwarding._stream_records import StreamRecord
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention

INDEX_REPLICAS = 3  # instances per entry; each costs one message per run
INSTANCES_PER_RECORDER = 16  # bounds the writes to the store in a large deployment
MAX_INDEX_ENTRIES = 16_384  # a few hundred bytes each


class _Entry(NamedTuple):
    """Entry of a stream.

    Parameters
    ----------
    record : StreamRecord
    set_at : float
        Seconds.
    is_stored : bool
        Whether it was read from the store.
    """

    record: StreamRecord
    set_at: float
    is_stored: bool = False


class StreamIndex:
    """Streams known to this instance; the oldest entry is evicted first.

    Parameters
    ----------
    retention : StreamRetention
        Time to live of an entry.
    """

    __slots__ = ("_entries", "_retention")

    def __init__(self, retention: StreamRetention):
        self._retention = retention
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: str, record: StreamRecord, now: float) -> None:
        """Replace the entry of a stream.

        Parameters
        ----------
        key : str
            Identifies the stream, see `choose_index_instances`.
        record : StreamRecord
        now : float
            Seconds.
        """
        self._entries.pop(key, None)
        self._entries[key] = _Entry(record, now)
        self._evict(now)

    def drop_copy(self, key: str) -> None:
        """Record that the copy of a stream's run is gone.

        Parameters
        ----------
        key : str
        """
        if key in self._entries:
            entry = self._entries[key]
            without_copy = entry.record._replace(copy=None)
            self._entries[key] = entry._replace(record=without_copy)

    def add_stored(
        self, records: Mapping[str, tuple[float, StreamRecord]], now: float
    ) -> None:
        """Add records of the store, unless the index has the stream already.

        Parameters
        ----------
        records : mapping of str to tuple of (float, StreamRecord)
            Ages, seconds, and records, by key of the stream.
        now : float
            Seconds.
        """
        added = {
            key: _Entry(record, now - age_s, is_stored=True)
            for key, (age_s, record) in records.items()
            if key not in self._entries
        }
        entries = [*added.items(), *self._entries.items()]
        self._entries = OrderedDict(sorted(entries, key=lambda entry: entry[1].set_at))
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
        entry = self._entries.get(key)
        if entry is None or now - entry.set_at > self._retention.get_s(now):
            return None
        return entry.record

    def list_unstored(self, now: float) -> dict[str, StreamRecord]:
        """Return the entries that are not from the store, the oldest first.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of str to StreamRecord
            By key of the stream.
        """
        self._evict(now)
        return {
            key: entry.record
            for key, entry in self._entries.items()
            if not entry.is_stored
        }

    def _evict(self, now: float) -> None:
        retention_s = self._retention.get_s(now)
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_expired = now - oldest.set_at > retention_s
            if not is_expired and len(self._entries) <= MAX_INDEX_ENTRIES:
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
