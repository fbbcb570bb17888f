"""Versions that appear beside another one, whose order may not have been read yet."""

from __future__ import annotations

import math

import attrs

from ebonyhaven_decisions.forwarding._backends import Backend, BackendEntry


@attrs.define(slots=True)
class _Versions:
    """Software versions of a service that an instance has seen."""

    first_started_ms: dict[str, int] = attrs.Factory(dict)
    first_seen_at: dict[str, float] = attrs.Factory(dict)
    settled_at: float = -math.inf


class UnorderedVersions:
    """Holds back a newer version until its order would have been read.

    An order and the servers of its version come at the same moment, and may be read in
    any order. The version whose first server started first is never held back.

    Attributes
    ----------
    hold_s : float
        For how long a version is held back once it was seen, seconds; 0 for not at
        all.
    """

    __slots__ = ("_are_orders_read", "_versions", "hold_s")

    def __init__(self) -> None:
        self.hold_s = 0.0
        self._are_orders_read = False
        self._versions: dict[str, _Versions] = {}

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether no version of a service is held back.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        known = self._versions.get(service)
        if known is None or len(known.first_seen_at) < 2:
            return True
        return self._are_orders_read and now >= known.settled_at

    def record_orders_read(self) -> None:
        """Record that all orders given before were read."""
        self._are_orders_read = True

    def record_listed(self, entry: BackendEntry, now: float) -> None:
        """Record that a server is listed.

        Parameters
        ----------
        entry : BackendEntry
        now : float
            Seconds.
        """
        version = entry.software_version
        if not self.hold_s or version is None:
            return
        known = self._versions.setdefault(entry.service, _Versions())
        started_ms = known.first_started_ms.get(version, entry.started_ms)
        known.first_started_ms[version] = min(started_ms, entry.started_ms)
        if version not in known.first_seen_at:
            known.first_seen_at[version] = now
            known.settled_at = now + self.hold_s

    def select(
        self, candidates: list[Backend], now: float, ordered: str | None
    ) -> list[Backend]:
        """Return the servers without those held back, unless all are.

        Parameters
        ----------
        candidates : list of Backend
            Usable servers of one service.
        now : float
            Seconds.
        ordered : str or None
            The version of the service's order, which follows its stages.
        """
        kept = [
            each
            for each in candidates
            if each.software_version == ordered or not self._is_held_back(each, now)
        ]
        return kept or candidates

    def _is_held_back(self, backend: Backend, now: float) -> bool:
        version = backend.software_version
        known = self._versions.get(backend.entry.service)
        if known is None or version not in known.first_seen_at:
            return False
        seen_at = known.first_seen_at[version]
        if self._are_orders_read and now >= seen_at + self.hold_s:
            return False
        started_ms = known.first_started_ms
        return started_ms[version] > min(started_ms.values())
