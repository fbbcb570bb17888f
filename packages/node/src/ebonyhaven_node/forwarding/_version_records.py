"""Durable record of the software versions in use, for the loss of all instances."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import ServiceVersions
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._shared_records import SharedRecorder
from ebonyhaven_node.forwarding.interfaces import VersionRecordStore

WRITE_DELAY_S = 0.1  # batches the first changes of a release

_log = structlog.get_logger()


class VersionRecorder(SharedRecorder):
    """Tells a new instance which versions were in use before it started.

    One instance writes whenever a version of a service appears or is gone.

    Parameters
    ----------
    versions : ServiceVersions
    store : VersionRecordStore
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        versions: ServiceVersions,
        store: VersionRecordStore,
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        super().__init__(
            name="software_versions", write_delay_s=WRITE_DELAY_S, reactor=reactor
        )
        self._versions = versions
        self._store = store
        self._clock = clock
        self._written: frozenset[tuple[str, str | None]] = frozenset()

    def handle_change(self) -> None:
        """Write the versions soon if they have changed since the last write."""
        if self.has_read:
            self.schedule_write()

    def is_due(self) -> bool:
        """See `SharedRecorder.is_due`."""
        if not self.has_read:
            return False
        current = self._versions.list_current()
        return bool(current) and current != self._written

    async def read(self) -> None:
        """See `SharedRecorder.read`."""
        snapshots = await self._store.read()
        now = self._clock()
        self._versions.add_earlier(snapshots, now)
        _log.info(
            "software_versions_read",
            snapshots=len(snapshots),
            is_past_known=self._versions.is_past_known(now),
        )

    async def write(self) -> None:
        """See `SharedRecorder.write`."""
        current = self._versions.list_current()
        await self._store.write(self._versions.export(self._clock()))
        self._written = current
        _log.info("software_versions_written", versions=len(current))
        self.handle_change()
