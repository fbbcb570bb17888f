"""Durable records of open streams, for the loss of all instances at once."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions.forwarding import StreamIndex, StreamRecord
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding.interfaces import (
    RecordStoreError,
    StoredRecord,
    StreamRecordStore,
)

WRITE_INTERVAL_S = 1.0  # a run whose instance dies sooner has its prompt read again
MAX_RECORDED_STREAMS = (
    256  # keeps the row of an instance below the row limit of the store
)
RECORDED_AGE_S = 15.0  # exceeds the duration of most generations
READ_INTERVAL_S = 2.0  # one read serves all callers that return together
RECORD_TTL_S = 30.0  # exceeds the duration of a generation

_log = structlog.get_logger()


class StreamRecorder:
    """Writes the entries of an index to the store in batches, and reads all records.

    Parameters
    ----------
    index : StreamIndex
        Its newest entries are written.
    store : StreamRecordStore
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        index: StreamIndex,
        store: StreamRecordStore,
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._index = index
        self._store = store
        self._reactor = reactor
        self._clock = clock
        self._timer: Any = None
        self._records: dict[str, StoredRecord] = {}
        self._read_at = -math.inf
        self._pending_read: Deferred | None = None
        self._readers: list[Deferred] = []
        self._has_earlier_records = False

    def schedule_write(self) -> None:
        """Schedule a write within `WRITE_INTERVAL_S`."""
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(WRITE_INTERVAL_S, self._start_write)

    def stop(self) -> None:
        """Cancel scheduled writes."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    async def find(self, key: str, copy_max_age_s: float) -> StreamRecord | None:
        """Return the record of a stream.

        The records are read at most every `READ_INTERVAL_S`.

        Parameters
        ----------
        key : str
        copy_max_age_s : float
            Age from which a record counts without its copy, seconds.

        Returns
        -------
        StreamRecord or None
        """
        now = self._clock()
        if now - self._read_at >= READ_INTERVAL_S:
            self._read_at = now
            self._start_read()
        if self._pending_read is not None:
            read: Deferred = Deferred()
            self._readers.append(read)
            await read
        stored = self._records.get(key)
        if stored is None:
            return None
        age_s = stored.age_s + self._clock() - self._read_at
        if age_s > RECORD_TTL_S:
            return None
        record = stored.record
        return record if age_s <= copy_max_age_s else record._replace(copy=None)

    def _start_write(self) -> None:
        writing = ensureDeferred(self._write())
        writing.addErrback(self._log_failure, "write")

    async def _write(self) -> None:
        if not self._has_earlier_records:
            await self._add_earlier_records()
        newest = self._index.list_newest(
            MAX_RECORDED_STREAMS, max_age_s=RECORDED_AGE_S, now=self._clock()
        )
        await self._store.write(newest)

    async def _add_earlier_records(self) -> None:
        """Add what was recorded before this instance started to its index.

        Callers of a machine that lost its power come back only after many seconds,
        and the first write replaces the records of this instance's predecessor.
        """
        stored = await self._store.read()
        self._has_earlier_records = True
        earlier = {
            key: (each.age_s, each.record)
            for key, each in stored.items()
            if each.age_s <= RECORD_TTL_S
        }
        self._index.add_older(earlier, self._clock())

    def _start_read(self) -> None:
        self._pending_read = ensureDeferred(self._store.read())
        self._pending_read.addCallbacks(self._replace_records, self._log_read_failure)
        self._pending_read.addBoth(self._release_readers)

    def _replace_records(self, records: dict[str, StoredRecord]) -> None:
        self._records = records
        _log.info("stream_records_read", streams=len(records))

    def _log_read_failure(self, failure) -> None:
        self._log_failure(failure, "read")

    def _release_readers(self, _) -> None:
        self._pending_read = None
        readers, self._readers = self._readers, []
        for each in readers:
            if not each.called:
                each.callback(None)

    def _log_failure(self, failure, step: str) -> None:
        """Log that the records are incomplete; some streams are then unknown."""
        if failure.check(RecordStoreError, CancelledError):
            reason = str(failure.value)
            _log.warning("stream_records_unavailable", step=step, reason=reason)
        else:
            _log.error("stream_records_crashed", error=failure.getTraceback())
