"""Durable record of the software versions in use, for the loss of all instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions.forwarding import BackendDirectory
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding.interfaces import RecordStoreError, VersionRecordStore

WRITE_DELAY_S = 0.1  # batches the first changes of a release
RETRY_INTERVAL_S = 1.0

_log = structlog.get_logger()


class VersionRecorder:
    """Tells a new instance which versions were in use before it started.

    Each instance reads the record when it starts; one of them writes it whenever a
    version of a service appears or is gone.

    Parameters
    ----------
    backends : BackendDirectory
    store : VersionRecordStore
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        backends: BackendDirectory,
        store: VersionRecordStore,
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._backends = backends
        self._store = store
        self._reactor = reactor
        self._clock = clock
        self._is_recorder: Callable[[], bool] = lambda: False
        self._has_read = False
        self._written: frozenset[tuple[str, str | None]] = frozenset()
        self._read_timer: Any = None
        self._write_timer: Any = None

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

    def handle_change(self) -> None:
        """Write the versions soon if they have changed since the last write."""
        if self._is_due():
            self._schedule_write(WRITE_DELAY_S)

    def _is_due(self) -> bool:
        listed = self._backends.list_versions()
        return self._has_read and bool(listed) and listed != self._written

    def _schedule_write(self, delay_s: float) -> None:
        if self._write_timer is None or not self._write_timer.active():
            self._write_timer = self._reactor.callLater(delay_s, self._start_write)

    def _start_write(self) -> None:
        if not self._is_due() or not self._is_recorder():
            return
        listed = self._backends.list_versions()
        snapshot = self._backends.export_versions(self._clock())
        writing = ensureDeferred(self._store.write(snapshot))
        writing.addCallback(lambda _: self._record_written(listed))
        writing.addErrback(self._handle_write_failure)

    def _record_written(self, listed: frozenset[tuple[str, str | None]]) -> None:
        self._written = listed
        _log.info("software_versions_written", versions=len(listed))
        self.handle_change()

    def _handle_write_failure(self, failure: Any) -> None:
        self._log_failure(failure, "write")
        self._schedule_write(RETRY_INTERVAL_S)

    def _start_read(self) -> None:
        reading = ensureDeferred(self._read())
        reading.addErrback(self._handle_read_failure)

    async def _read(self) -> None:
        snapshots = await self._store.read()
        self._has_read = True
        self._backends.add_earlier_versions(snapshots, self._clock())
        _log.info(
            "software_versions_read",
            snapshots=len(snapshots),
            is_past_known=self._backends.is_past_known(self._clock()),
        )
        self.handle_change()

    def _handle_read_failure(self, failure: Any) -> None:
        self._log_failure(failure, "read")
        self._read_timer = self._reactor.callLater(RETRY_INTERVAL_S, self._start_read)

    def _log_failure(self, failure: Any, step: str) -> None:
        if failure.check(RecordStoreError, CancelledError):
            reason = str(failure.value)
            _log.warning("software_versions_unavailable", step=step, reason=reason)
        else:
            _log.error("software_versions_crashed", error=failure.getTraceback())
