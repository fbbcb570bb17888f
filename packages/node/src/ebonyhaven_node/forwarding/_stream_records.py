"""Durable records of streams, for the loss of all instances at once."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import structlog
from ebonyhaven_decisions.forwarding import (
    RecordSegments,
    StreamIndex,
    StreamKey,
    StreamLookup,
    StreamRecord,
    StreamRetention,
)
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding.interfaces import (
    RecordStoreError,
    StoredSegment,
    StreamRecordStore,
)

WRITE_INTERVAL_S = 1.0  # a run whose instance dies sooner has its prompt read again
READ_INTERVAL_S = 2.0  # one read serves all callers that return together
SEARCH_INTERVAL_S = 0.1  # between reads for records that the last one did not have

_log = structlog.get_logger()


class _FoundRecord(NamedTuple):
    """Record of a stream, as read from the store.

    Parameters
    ----------
    record : StreamRecord
    age_s : float
        Time since the segment with the record was written last, seconds.
    """

    record: StreamRecord
    age_s: float


class StreamRecorder:
    """Writes records of streams to the store in batches, and reads all records.

    Parameters
    ----------
    index : StreamIndex
        Of the streams whose records this instance may have to write; gets what was
        recorded before it started.
    store : StreamRecordStore
    retention : StreamRetention
        Time for which a record is kept and used.
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        index: StreamIndex,
        store: StreamRecordStore,
        retention: StreamRetention,
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._index = index
        self._store = store
        self._retention = retention
        self._reactor = reactor
        self._clock = clock
        self._segments = RecordSegments(retention)
        self._has_earlier_records = False
        self._instances: frozenset[str] = frozenset()
        self._must_restart = False
        self._timer: Any = None
        self._is_writing = False
        self._records: dict[str, dict[str, _FoundRecord]] = {}
        self._read_at = -math.inf  # when the read began that returned `_records`
        self._tried_at = -math.inf
        self._read_timer: Any = None
        self._pending_read: Deferred | None = None
        self._readers: list[Deferred] = []
        store.observe_restore(self._handle_restore)

    def add(
        self, key: StreamKey, record: StreamRecord, instances: frozenset[str]
    ) -> None:
        """Write the record of a stream within `WRITE_INTERVAL_S`.

        Parameters
        ----------
        key : StreamKey
        record : StreamRecord
        instances : frozenset of str
            Names of all instances, which divide the streams among them.
        """
        if instances != self._instances:  # one may be gone whose records these were
            self._instances = instances
            self._must_restart = True
        if not self._must_restart:
            self._segments.add(key, record, self._clock())
        self._schedule_write()

    def stop(self) -> None:
        """Cancel scheduled writes and reads."""
        for timer in (self._timer, self._read_timer):
            if timer is not None and timer.active():
                timer.cancel()

    async def find(
        self, content: str, request_id: str | None, copy_max_age_s: float
    ) -> StreamLookup:
        """Return the records of the streams that a caller may mean.

        What was read in the last `READ_INTERVAL_S` is used if it has one. Otherwise
        the records are read anew, as one may have been written since.

        Parameters
        ----------
        content : str
            See `StreamKey`.
        request_id : str or None
            None if the caller does not name the stream.
        copy_max_age_s : float
            Age from which a record counts without its copy, seconds.
        """
        asked_at = self._clock()
        while True:
            found = self._find_read(content, request_id, copy_max_age_s)
            age_s = asked_at - self._read_at
            if age_s <= 0 or (found and age_s < READ_INTERVAL_S):
                return StreamLookup(found, is_complete=True)
            if not await self._read_anew():
                return StreamLookup(found, is_complete=False)

    def _find_read(
        self, content: str, request_id: str | None, copy_max_age_s: float
    ) -> tuple[StreamRecord, ...]:
        records = self._records.get(content, {})
        names = list(records) if request_id is None else [request_id]
        now = self._clock()
        found = []
        for each in (records[name] for name in names if name in records):
            age_s = each.age_s + now - self._read_at
            is_copy_kept = age_s <= copy_max_age_s
            if age_s <= self._retention.get_s(now):
                record = each.record
                found.append(record if is_copy_kept else record._replace(copy=None))
        return tuple(found)

    # -- writing -----------------------------------------------------------

    def _handle_restore(self) -> None:
        if self._has_earlier_records:
            self._has_earlier_records = False
            self._must_restart = True
            self._schedule_write()

    def _schedule_write(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(WRITE_INTERVAL_S, self._start_write)

    def _start_write(self) -> None:
        if self._is_writing:
            self._schedule_write()
            return
        self._is_writing = True
        writing = ensureDeferred(self._write())
        writing.addErrback(self._handle_write_failure)
        writing.addBoth(self._end_write)

    def _handle_write_failure(self, failure) -> None:
        self._log_failure(failure, "write")
        self._schedule_write()

    def _end_write(self, _: object) -> None:
        self._is_writing = False
        if not self._segments.is_written:
            self._schedule_write()

    async def _write(self) -> None:
        if not self._has_earlier_records:
            await self._add_earlier_records()
        if self._must_restart:
            self._must_restart = False
            now = self._clock()
            self._segments.restart(self._index.list_unstored(now), now)
        write = self._segments.plan_write(self._clock())
        if not write.written and not write.removed:
            return
        try:
            await self._store.write(write)
        except Exception:
            self._segments.reject(write, self._clock())
            raise
        self._segments.confirm(write, self._clock())

    async def _add_earlier_records(self) -> None:
        """Take over what was recorded before this instance started.

        Callers of a machine that lost its power come back only after many seconds.
        """
        stored = await self._store.read()
        now = self._clock()
        self._has_earlier_records = True
        for each in stored:
            if each.own_number is not None:
                self._segments.add_found(each.own_number, age_s=each.age_s, now=now)
        earlier = {
            key: (each.age_s, each.record)
            for key, each in _merge(stored).items()
            if each.age_s <= self._retention.get_s(now)
        }
        self._index.add_stored(earlier, now)

    # -- reading -----------------------------------------------------------

    async def _read_anew(self) -> bool:
        """Wait for the next read of all records; return whether it succeeded."""
        read: Deferred = Deferred()
        self._readers.append(read)
        if self._pending_read is None and not self._is_read_scheduled():
            wait_s = self._tried_at + SEARCH_INTERVAL_S - self._clock()
            if wait_s > 0:
                self._read_timer = self._reactor.callLater(wait_s, self._read)
            else:
                self._read()
        return await read

    def _is_read_scheduled(self) -> bool:
        return self._read_timer is not None and self._read_timer.active()

    def _read(self) -> None:
        self._tried_at = self._clock()
        self._pending_read = ensureDeferred(self._store.read())
        self._pending_read.addCallback(self._replace_records, self._tried_at)
        self._pending_read.addErrback(self._handle_read_failure)
        self._pending_read.addBoth(self._release_readers)

    def _replace_records(self, segments: list[StoredSegment], began_at: float) -> bool:
        self._read_at = began_at
        self._records = {}
        merged = _merge(segments)
        for key, found in merged.items():
            self._records.setdefault(key.content, {})[key.request_id] = found
        _log.info("stream_records_read", segments=len(segments), streams=len(merged))
        return True

    def _handle_read_failure(self, failure) -> bool:
        self._log_failure(failure, "read")
        return False

    def _release_readers(self, is_read: bool) -> None:
        self._pending_read = None
        readers, self._readers = self._readers, []
        for each in readers:
            if not each.called:
                each.callback(is_read)

    def _log_failure(self, failure, step: str) -> None:
        """Log that the records are incomplete; some streams are then unknown."""
        if failure.check(RecordStoreError, CancelledError):
            reason = str(failure.value)
            _log.warning("stream_records_unavailable", step=step, reason=reason)
        else:
            _log.error("stream_records_crashed", error=failure.getTraceback())


def _merge(segments: Iterable[StoredSegment]) -> dict[StreamKey, _FoundRecord]:
    """Return the records of segments; a later segment replaces those before it."""
    merged: dict[StreamKey, _FoundRecord] = {}
    for segment in segments:
        for key, record in segment.records.items():
            known = merged.pop(key, None)  # the newest is the last
            complete = record.complete(known.record if known else None)
            merged[key] = _FoundRecord(complete, segment.age_s)
    return merged
