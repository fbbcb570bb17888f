"""Which instances could follow the list of servers and reach them, and when."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._fault_log import (
    Disturbance,
    DisturbanceKind,
    FaultLog,
)

RESTARTS = frozenset({DisturbanceKind.KILL, DisturbanceKind.STOP})
RESTARTS_AND_FREEZES = RESTARTS | {DisturbanceKind.FREEZE}


class ContactHistory:
    """Who was in touch when, by the faults of a soak.

    Parameters
    ----------
    results : iterable of Result
    faults : FaultLog
    addresses : mapping of str to str
        Addresses of servers by process.
    """

    def __init__(
        self,
        results: Iterable[Result],
        faults: FaultLog,
        addresses: Mapping[str, str],
    ):
        self._results = {each.request_id: each for each in results}
        self.faults = faults
        self._addresses = addresses

    def find_result(self, request_id: str) -> Result | None:
        return self._results.get(request_id)

    def is_in_touch(self, instance: str, since: float, until: float) -> bool:
        """Return whether an instance was in touch all the while."""
        return not self.list_disturbances(
            instance, since - CONTACT_S, until
        ) and self.is_store_stable(since, until)

    def is_store_stable(self, since: float, until: float) -> bool:
        return not self._has_stalled(since, until) and not any(
            begin < until and end > since - CONTACT_S
            for begin, end in self.faults.store_times
        )

    def list_disturbances(
        self, instance: str, since: float, until: float
    ) -> list[Disturbance]:
        """Return what disturbed an instance or its own links in a time."""
        times = (*self.faults.processes, *self.faults.links)
        return [
            each
            for each in times
            if each.name == instance and each.overlaps(since, until)
        ]

    def count_disturbances(
        self, instance: str, kinds: frozenset[DisturbanceKind], *, until: float
    ) -> int:
        """Return how often an instance was disturbed in some way before a time."""
        return sum(
            each.kind in kinds
            for each in self.list_disturbances(instance, -math.inf, until)
        )

    def was_restarted_or_frozen(
        self, instance: str, since: float, until: float
    ) -> bool:
        return any(
            each.kind in RESTARTS_AND_FREEZES
            for each in self.list_disturbances(instance, since, until)
        )

    def is_held_up(self, process: str, since: float, until: float) -> bool:
        """Return whether the link to a server was harmed in a time."""
        address = self._addresses.get(process)
        return self._has_stalled(since, until) or any(
            each.name == address and each.overlaps(since, until)
            for each in self.faults.server_links
        )

    def is_any_link_harmed(self, since: float, until: float) -> bool:
        return self._has_stalled(since, until) or any(
            each.overlaps(since, until) for each in self.faults.server_links
        )

    def _has_stalled(self, since: float, until: float) -> bool:
        return any(begin < until and end > since for begin, end in self.faults.stalls)

    def is_paused(self, process: str, at: float) -> bool:
        return any(
            each.name == process and each.overlaps(at, at)
            for each in self.faults.pauses
        )
