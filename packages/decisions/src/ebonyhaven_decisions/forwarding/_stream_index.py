"""Index of streams that may be taken up again, replicated to several instances.

Designed for the loss of an instance: all callers of its streams retry at other
instances within a tenth of a second. Prefilling their prompts again would delay each
of these streams, and the new ones, beyond the allowed gap; and at a server of another
software version, a stream would get events that do not fit to those that it has.

Also designed for the loss of all instances at once: one replica of each entry, its
recorder, writes its entries to the platform's store in batches.

The entry of a stream that its servers have ended is kept as well: its caller may not
have received all of it.

Callers may ask for the same content more than once. Each such stream has an entry of
its own, at the same instances, for callers that do not name their stream.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ebonyhaven_decisions._rendezvous import choose_instances, compute_weight
from ebonyhaven_decisions.forwarding._stream_records import StreamKey, StreamRecord
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

    __slots__ = ("_entries", "_request_ids", "_retention")

    def __init__(self, retention: StreamRetention):
        self._retention = retention
        self._entries: OrderedDict[StreamKey, _Entry] = OrderedDict()
        self._request_ids: dict[str, dict[str, None]] = {}  # by content, in order

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, content: str, record: StreamRecord, now: float, *, age_s: float = 0.0
    ) -> StreamRecord:
        """Replace the entry of a stream, unless it is newer than the record.

        Parameters
        ----------
        content : str
            See `StreamKey`.
        record : StreamRecord
        now : float
            Seconds.
        age_s : float
            Time since the record was published, seconds.

        Returns
        -------
        StreamRecord
            What the index has now, with the service that was known before if the record
            has none.
        """
        key = record.make_key(content)
        known = self._entries.get(key)
        set_at = now - age_s
        if known is not None and known.set_at > set_at:
            return known.record
        self._remove(key)
        record = record.complete(known.record if known else None)
        self._add(key, _Entry(record, set_at))
        self._evict(now)
        return record

    def drop_copy(self, key: StreamKey) -> None:
        """Record that the copy of a stream's run is gone.

        Parameters
        ----------
        key : StreamKey
        """
        if key in self._entries:
            entry = self._entries[key]
            without_copy = entry.record._replace(copy=None)
            self._entries[key] = entry._replace(record=without_copy)

    def add_stored(
        self, records: Mapping[StreamKey, tuple[float, StreamRecord]], now: float
    ) -> None:
        """Add records of the store, unless the index has the stream already.

        Parameters
        ----------
        records : mapping of StreamKey to tuple of (float, StreamRecord)
            Ages, seconds, and records.
        now : float
            Seconds.
        """
        added = {
            key: _Entry(record, now - age_s, is_stored=True)
            for key, (age_s, record) in records.items()
            if key not in self._entries
        }
        entries = [*added.items(), *self._entries.items()]
        self._entries.clear()
        self._request_ids.clear()
        for key, entry in sorted(entries, key=lambda each: each[1].set_at):
            self._add(key, entry)
        self._evict(now)

    def find(
        self, content: str, request_id: str | None, now: float
    ) -> tuple[StreamRecord, ...]:
        """Return the records of the streams that a caller may mean, the newest last.

        Parameters
        ----------
        content : str
            See `StreamKey`.
        request_id : str or None
            None if the caller names no stream; all of the content may be meant.
        now : float
            Seconds.
        """
        return tuple(record for record, _ in self.find_aged(content, request_id, now))

    def find_aged(
        self, content: str, request_id: str | None, now: float
    ) -> list[tuple[StreamRecord, float]]:
        """Return the same records as `find` with their ages, seconds.

        Parameters
        ----------
        content : str
            See `StreamKey`.
        request_id : str or None
            None if the caller names no stream; all of the content may be meant.
        now : float
            Seconds.
        """
        names = [request_id]
        if request_id is None:
            names = list(self._request_ids.get(content, ()))
        retention_s = self._retention.get_s(now)
        entries = [self._entries.get(StreamKey(content, name)) for name in names]
        return [
            (entry.record, now - entry.set_at)
            for entry in entries
            if entry is not None and now - entry.set_at <= retention_s
        ]

    def list_unstored(self, now: float) -> dict[StreamKey, StreamRecord]:
        """Return the entries that are not from the store, the oldest first.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of StreamKey to StreamRecord
        """
        self._evict(now)
        return {
            key: entry.record
            for key, entry in self._entries.items()
            if not entry.is_stored
        }

    def _add(self, key: StreamKey, entry: _Entry) -> None:
        self._entries[key] = entry
        self._request_ids.setdefault(key.content, {})[key.request_id] = None

    def _remove(self, key: StreamKey) -> _Entry | None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            request_ids = self._request_ids[key.content]
            del request_ids[key.request_id]
            if not request_ids:
                del self._request_ids[key.content]
        return entry

    def _evict(self, now: float) -> None:
        retention_s = self._retention.get_s(now)
        while self._entries:
            key, oldest = next(iter(self._entries.items()))
            is_expired = now - oldest.set_at > retention_s
            if not is_expired and len(self._entries) <= MAX_INDEX_ENTRIES:
                return
            self._remove(key)


def choose_recorder(content: str, instances: Iterable[str]) -> str | None:
    """Return the instance that writes the entry of a stream to the store.

    Few instances write, each for many streams, because the store limits its callers in
    writes per second rather than in bytes.

    Parameters
    ----------
    content : str
        See `StreamKey`.
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
    shard = zlib.crc32(content.encode()) % recorders
    return choose_instances(f"recorder-{shard}", names, 1)[0]


def choose_index_instances(content: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that store the entry of a stream, the same on all instances.

    Parameters
    ----------
    content : str
        See `StreamKey`; the same for each try of the caller.
    instances : iterable of str
        Names of all instances.

    Returns
    -------
    list of str
        At most `INDEX_REPLICAS`: the recorder, then others by rendezvous hashing.
    """
    names = list(instances)
    recorder = choose_recorder(content, names)
    ordered = sorted(
        names,
        key=lambda name: (name == recorder, compute_weight(content, name)),
        reverse=True,
    )
    return ordered[:INDEX_REPLICAS]
