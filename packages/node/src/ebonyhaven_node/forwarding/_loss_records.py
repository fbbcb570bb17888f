"""Durable records of what servers ran when they were lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions.forwarding import CrashHistory, Traits
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding.interfaces import LossRecordStore, RecordStoreError

WRITE_DELAY_S = 0.3  # batches the losses of one moment
RETRY_INTERVAL_S = 1.0
MIN_RECORDED_CRASHES = 2  # a single loss says little and is not worth a write

_log = structlog.get_logger()


class LossRecorder:
    """Keeps the history of crashes in case all instances are lost at once.

    Each instance reads the records when it starts; one of them writes.

    Parameters
    ----------
    history : CrashHistory
    store : LossRecordStore
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_read : callable
        Called after records were added to the history.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        store: LossRecordStore,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_read: Callable[[], None],
    ):
        self._history = history
        self._store = store
        self._reactor = reactor
        self._clock = clock
        self._on_read = on_read
        self._is_recorder: Callable[[], bool] = lambda: False
        self._write_timer: Any = None
        self._read_timer: Any = None
        self._written: dict[str, tuple[Traits, ...]] = {}

    def start(self, is_recorder: Callable[[], bool]) -> None:
        """Read what is recorded, until that has succeeded once.

        Parameters
        ----------
        is_recorder : callable
            Returns whether this instance is the one that writes.
        """
        self._is_recorder = is_recorder
        self._start_read()

    def stop(self) -> None:
        """Cancel scheduled reads and writes."""
        for timer in (self._write_timer, self._read_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def schedule_write(self) -> None:
        """Write what is new soon, if this instance is the one that writes."""
        self._schedule_write(WRITE_DELAY_S)

    def _schedule_write(self, delay_s: float) -> None:
        if self._write_timer is None or not self._write_timer.active():
            self._write_timer = self._reactor.callLater(delay_s, self._start_write)

    def _start_write(self) -> None:
        reports = self._history.export_repeated(self._clock(), MIN_RECORDED_CRASHES)
        recorded = {report.process: report.requests for report in reports}
        if recorded == self._written or not self._is_recorder():
            return
        writing = ensureDeferred(self._store.write(reports))
        writing.addCallback(lambda _: self._record_written(recorded))
        writing.addErrback(self._handle_write_failure)

    def _record_written(self, recorded: dict[str, tuple[Traits, ...]]) -> None:
        self._written = recorded
        _log.info("crash_history_written", losses=len(recorded))

    def _handle_write_failure(self, failure: Any) -> None:
        self._log_failure(failure, "write")
        self._schedule_write(RETRY_INTERVAL_S)

    def _start_read(self) -> None:
        reading = ensureDeferred(self._read())
        reading.addErrback(self._handle_read_failure)

    async def _read(self) -> None:
        reports = await self._store.read()
        now = self._clock()
        for report in reports:
            self._history.add(report, now)
        if reports:
            _log.info("crash_history_read", losses=len(reports))
            self._on_read()

    def _handle_read_failure(self, failure: Any) -> None:
        self._log_failure(failure, "read")
        self._read_timer = self._reactor.callLater(RETRY_INTERVAL_S, self._start_read)

    def _log_failure(self, failure: Any, step: str) -> None:
        if failure.check(RecordStoreError, CancelledError):
            reason = str(failure.value)
            _log.warning("crash_history_unavailable", step=step, reason=reason)
        else:
            _log.error("crash_history_crashed", error=failure.getTraceback())
