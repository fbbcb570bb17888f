"""Interfaces of a deployment for a simulation that sets its state itself."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ebonyhaven_decisions.forwarding import LossReport, SegmentWrite, VersionSnapshot
from ebonyhaven_node.forwarding.interfaces import (
    INSPECTION_TIMEOUT_S,
    InspectedServer,
    LossRecordStore,
    ServerInspector,
    StateSource,
    StateVersion,
    StoredSegment,
    StreamRecordStore,
    VersionRecordStore,
)


class StaticSource(StateSource):
    """State source without updates; the experiment sets the state itself."""

    def start(self) -> None:
        """See `StateSource.start`."""

    def stop(self) -> None:
        """See `StateSource.stop`."""

    def read_version(self) -> StateVersion:
        """See `StateSource.read_version`."""
        return StateVersion(1, 0, 1)

    def is_unresponsive(self) -> bool:
        """See `StateSource.is_unresponsive`."""
        return False

    def measure_configuration_age_s(self) -> float:
        """See `StateSource.measure_configuration_age_s`."""
        return 0.0

    def measure_list_age_s(self) -> float:
        """See `StateSource.measure_list_age_s`."""
        return 0.0

    async def read_server_changes(self) -> bool:
        """See `StateSource.read_server_changes`."""
        return True

    def connect_group(self, group) -> None:
        """See `StateSource.connect_group`."""

    def apply_changes(self, payload: object) -> None:
        """See `StateSource.apply_changes`."""

    def refresh_configuration(self) -> None:
        """See `StateSource.refresh_configuration`."""

    def export(self, known=None) -> object:
        """See `StateSource.export`."""
        return None

    def merge_change(self, payload: object) -> int | None:
        """See `StateSource.merge_change`."""
        return None

    def merge(self, payload: object) -> None:
        """See `StateSource.merge`."""


class NullLossStore(LossRecordStore):
    """Keeps no records; the experiment loses no instance."""

    async def write(self, reports: Sequence[LossReport]) -> None:
        """See `LossRecordStore.write`."""

    async def read(self) -> list[LossReport]:
        """See `LossRecordStore.read`."""
        return []


class NullVersionStore(VersionRecordStore):
    """Keeps no versions; the experiment has one."""

    async def write(self, snapshot: VersionSnapshot) -> None:
        """See `VersionRecordStore.write`."""

    async def read(self) -> list[VersionSnapshot]:
        """See `VersionRecordStore.read`."""
        return []


class NullRecordStore(StreamRecordStore):
    """Keeps no records; the experiment loses no instance."""

    def observe_restore(self, observer: Callable[[], None]) -> None:
        """See `StreamRecordStore.observe_restore`."""

    async def write(self, write: SegmentWrite) -> None:
        """See `StreamRecordStore.write`."""

    async def read(self) -> list[StoredSegment]:
        """See `StreamRecordStore.read`."""
        return []


class SimulatedInspector(ServerInspector):
    """Inspector of engines that answer at once unless they are down.

    Parameters
    ----------
    is_down : callable
        Returns for an address whether its engine is down.
    """

    def __init__(self, is_down: Callable[[str], bool]):
        self._is_down = is_down

    async def inspect(
        self, address: str, *, timeout_s: float = INSPECTION_TIMEOUT_S
    ) -> InspectedServer | None:
        """See `ServerInspector.inspect`."""
        if self._is_down(address):
            return None
        return InspectedServer(is_engine=True, started_ms=0)

    async def check_health(
        self, address: str, *, path: str, timeout_s: float
    ) -> InspectedServer | None:
        """See `ServerInspector.check_health`."""
        return await self.inspect(address, timeout_s=timeout_s)
