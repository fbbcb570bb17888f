"""Records of streams in segments, each of which is written to the store as a whole.

Only the newest segment takes records. What was written before stays in the store
without being written again until no stream of it may be taken up any more.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._stream_records import (
    StreamKey,
    StreamRecord,
    encode_stream_record,
)
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention

SEGMENT_SPAN_S = 5.0  # in which a segment takes records, and is written again
MAX_SEGMENT_BYTES = 32 * 1024  # of JSON; encoded, it fits into a row of the store
MAX_WRITTEN_SEGMENTS = 16  # in one write; the store limits its size
MAX_REMOVED_SEGMENTS = 64

_ENTRY_OVERHEAD_BYTES = 4  # quotes, colon and comma


class SegmentWrite(NamedTuple):
    """Changes of the segments that the store keeps.

    Parameters
    ----------
    written : mapping of int to mapping of StreamKey to StreamRecord
        New contents by number of the segment.
    removed : tuple of int
        Numbers of segments that are not needed any more.
    """

    written: Mapping[int, Mapping[StreamKey, StreamRecord]]
    removed: tuple[int, ...]


class _Segment:
    """Records of the streams that began in some seconds."""

    __slots__ = ("began_at", "is_written", "number", "records", "size_bytes")

    def __init__(self, number: int, began_at: float):
        self.number = number
        self.began_at = began_at
        self.records: dict[StreamKey, StreamRecord] = {}
        self.size_bytes = 0
        self.is_written = True

    def can_take(self, size_bytes: int, now: float) -> bool:
        if now - self.began_at > SEGMENT_SPAN_S:
            return False
        return self.size_bytes + size_bytes <= MAX_SEGMENT_BYTES

    def add(self, key: StreamKey, record: StreamRecord, size_bytes: int) -> None:
        self.records.pop(key, None)  # the newest is the last
        self.records[key] = record
        self.size_bytes += size_bytes
        self.is_written = False


class RecordSegments:
    """Segments of the records that this instance keeps in the store.

    Parameters
    ----------
    retention : StreamRetention
        Time for which a record is kept.
    """

    __slots__ = ("_ends", "_next_number", "_retention", "_segments", "_sent")

    def __init__(self, retention: StreamRetention):
        self._retention = retention
        self._next_number = 0
        self._segments: list[_Segment] = []
        self._sent: set[int] = set()  # numbers that the store may have
        self._ends: dict[int, float] = {}  # when to remove a segment, by its number

    @property
    def is_written(self) -> bool:
        """Whether the store has all records."""
        return all(each.is_written for each in self._segments)

    def add(self, key: StreamKey, record: StreamRecord, now: float) -> None:
        """Add the record of a stream, or a newer one.

        A record that fits into no row of the store is left out.

        Parameters
        ----------
        key : StreamKey
        record : StreamRecord
        now : float
            Seconds.
        """
        size_bytes = _measure(key, record)
        if size_bytes > MAX_SEGMENT_BYTES:
            return
        latest = self._segments[-1] if self._segments else None
        if latest is None or not latest.can_take(size_bytes, now):
            latest = self._open_segment(now)
        latest.add(key, record, size_bytes)

    def add_found(self, number: int, *, age_s: float, now: float) -> None:
        """Record that the store has a segment of this instance or its predecessor.

        It is removed when no stream of it may be taken up any more.

        Parameters
        ----------
        number : int
        age_s : float
            Time since it was written last, seconds.
        now : float
            Seconds.
        """
        self._next_number = max(self._next_number, number + 1)
        self._expire(number, now - age_s + self._retention.get_s(now))

    def plan_write(self, now: float) -> SegmentWrite:
        """Return what is to be written now, to be confirmed or rejected afterwards.

        Parameters
        ----------
        now : float
            Seconds.
        """
        unwritten = [each for each in self._segments if not each.is_written]
        written = {
            each.number: dict(each.records) for each in unwritten[:MAX_WRITTEN_SEGMENTS]
        }
        removed = [number for number, end in self._ends.items() if end <= now]
        if len(unwritten) > MAX_WRITTEN_SEGMENTS:
            removed = []  # what replaces them comes first
        self._sent.update(written)
        return SegmentWrite(written, tuple(removed[:MAX_REMOVED_SEGMENTS]))

    def confirm(self, write: SegmentWrite, now: float) -> None:
        """Record that the store has applied a write.

        Parameters
        ----------
        write : SegmentWrite
        now : float
            Seconds.
        """
        for segment in self._segments:
            content = write.written.get(segment.number)
            if content is not None and content == segment.records:
                segment.is_written = True
        self._close_written(now)
        for number in write.removed:
            self._ends.pop(number, None)
            self._sent.discard(number)

    def reject(self, write: SegmentWrite, now: float) -> None:
        """Record that the store may not have applied a write, or may do so later.

        What it held is written under other numbers, as a late write would replace what
        is written under the same ones meanwhile.

        Parameters
        ----------
        write : SegmentWrite
        now : float
            Seconds.
        """
        kept_s = SEGMENT_SPAN_S + self._retention.get_s(now)
        is_after_rejected = False
        for segment in self._segments:
            is_after_rejected |= segment.number in write.written
            if is_after_rejected:  # newer segments keep the higher numbers
                self._expire(segment.number, now + kept_s)
                segment.number = self._take_number()
        self._segments = [
            each for each in self._segments if now - each.began_at <= kept_s
        ]

    def restart(self, records: Mapping[StreamKey, StreamRecord], now: float) -> None:
        """Replace all segments of this process by ones with the given records.

        Parameters
        ----------
        records : mapping of StreamKey to StreamRecord
            The oldest first.
        now : float
            Seconds.
        """
        for number in self._sent:
            self._expire(number, now)
        self._segments = []
        for key, record in records.items():
            self.add(key, record, now)

    def _open_segment(self, now: float) -> _Segment:
        segment = _Segment(self._take_number(), now)
        self._segments.append(segment)
        return segment

    def _take_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number

    def _expire(self, number: int, at: float) -> None:
        self._ends[number] = min(at, self._ends.get(number, at))

    def _close_written(self, now: float) -> None:
        """Forget the contents of written segments that take no more records."""
        older, latest = self._segments[:-1], self._segments[-1:]
        kept_s = SEGMENT_SPAN_S + self._retention.get_s(now)
        for segment in older:
            if segment.is_written:
                self._expire(segment.number, segment.began_at + kept_s)
        self._segments = [each for each in older if not each.is_written] + latest


def _measure(key: StreamKey, record: StreamRecord) -> int:
    """Return the size of a record in JSON, bytes."""
    values = json.dumps([key.content, encode_stream_record(record), record.service])
    return _ENTRY_OVERHEAD_BYTES + len(values)
