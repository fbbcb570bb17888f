"""Durable records of what servers ran when they were lost."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog
from ebonyhaven_decisions.forwarding import CrashHistory, LossReport, Traits
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._shared_records import SharedRecorder
from ebonyhaven_node.forwarding.interfaces import LossRecordStore

WRITE_DELAY_S = 0.3  # batches the losses of one moment
MIN_RECORDED_CRASHES = 2  # a single loss says little and is not worth a write

_log = structlog.get_logger()


class LossRecorder(SharedRecorder):
    """Keeps the history of crashes in case all instances are lost at once.

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
        super().__init__(
            name="crash_history", write_delay_s=WRITE_DELAY_S, reactor=reactor
        )
        self._history = history
        self._store = store
        self._clock = clock
        self._on_read = on_read
        self._written: dict[str, tuple[Traits, ...]] = {}

    def is_due(self) -> bool:
        """See `SharedRecorder.is_due`."""
        return _index_requests(self._list_reports()) != self._written

    async def read(self) -> None:
        """See `SharedRecorder.read`."""
        reports = await self._store.read()
        now = self._clock()
        for report in reports:
            self._history.add(report, now)
        if reports:
            _log.info("crash_history_read", losses=len(reports))
            self._on_read()

    async def write(self) -> None:
        """See `SharedRecorder.write`."""
        reports = self._list_reports()
        await self._store.write(reports)
        self._written = _index_requests(reports)
        _log.info("crash_history_written", losses=len(reports))

    def _list_reports(self) -> list[LossReport]:
        return self._history.export_repeated(self._clock(), MIN_RECORDED_CRASHES)


def _index_requests(reports: Sequence[LossReport]) -> dict[str, tuple[Traits, ...]]:
    return {report.process: report.requests for report in reports}
