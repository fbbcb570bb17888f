"""The backend servers that an instance knows, by service."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from ebonyhaven_decisions.forwarding._backends import (
    REMOVED_USABLE_S,
    Backend,
    BackendEntry,
    BackendState,
)

DOUBT_S = 0.8  # in which the other servers of a lost data centre are noticed as well


class BackendDirectory:
    """All backend servers by service."""

    __slots__ = ("_by_id", "_doubted", "_leftover")

    def __init__(self) -> None:
        self._doubted: dict[str, float] = {}
        self._by_id: dict[str, Backend] = {}
        self._leftover: dict[str, Backend] = {}

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._by_id.values())

    def find(self, server_id: str) -> Backend | None:
        """Return the present process of a server.

        Parameters
        ----------
        server_id : str

        Returns
        -------
        Backend or None
        """
        return self._by_id.get(server_id)

    def put(self, entry: BackendEntry, now: float) -> Backend:
        """Take over a new or changed entry.

        Parameters
        ----------
        entry : BackendEntry
        now : float
            Seconds.

        Returns
        -------
        Backend
            The state that was known, unless the process started anew or moved.
        """
        known = self._by_id.get(entry.server_id) or self._leftover.get(entry.server_id)
        self._leftover.pop(entry.server_id, None)
        if known is None or not _is_same_process(known.entry, entry):
            known = Backend(entry)
        known.entry = entry
        known.removed_at = None
        self._by_id[entry.server_id] = known
        self._doubt_predecessors(entry, now)
        return known

    def remove(self, server_id: str, now: float) -> None:
        """Take note that an entry is gone.

        Parameters
        ----------
        server_id : str
        now : float
            Seconds.
        """
        backend = self._by_id.pop(server_id, None)
        if backend is None:
            return
        backend.removed_at = now
        self._leftover[server_id] = backend
        for name, each in list(self._leftover.items()):
            if now - (each.removed_at or now) >= REMOVED_USABLE_S:
                del self._leftover[name]

    def _doubt_predecessors(self, entry: BackendEntry, now: float) -> None:
        """Keep work away from older entries that name the same address."""
        for each in self._by_id.values():
            is_older = each.entry.address == entry.address
            if is_older and each.server_id != entry.server_id:
                each.record_replaced(now)

    def record_unreachable(self, backend: Backend, now: float) -> None:
        """Take note that a server could not be reached.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        """
        backend.record_unreachable(now)
        self._doubted[backend.entry.data_centre] = now

    def count_suspects(self, data_centre: str, now: float) -> int:
        """Return the servers of a data centre that get no new work.

        Parameters
        ----------
        data_centre : str
        now : float
            Seconds.

        Returns
        -------
        int
        """
        return sum(
            now < each.suspect_until and each.entry.data_centre == data_centre
            for each in self._by_id.values()
        )

    def is_suspect_data_centre(self, data_centre: str, now: float) -> bool:
        """Tell whether a server of a data centre was lost a moment ago.

        Servers of a data centre tend to fail together, and the loss of the next
        one is only noticed by trying it.

        Parameters
        ----------
        data_centre : str
        now : float
            Seconds.
        """
        return now - self._doubted.get(data_centre, -math.inf) < DOUBT_S

    def avoid_suspect_data_centres(
        self, candidates: list[Backend], now: float
    ) -> list[Backend]:
        """Return the servers of data centres without a fresh loss, if there are any.

        Parameters
        ----------
        candidates : list of Backend
        now : float
            Seconds.

        Returns
        -------
        list of Backend
        """
        calm = [
            each
            for each in candidates
            if not self.is_suspect_data_centre(each.entry.data_centre, now)
        ]
        return calm or candidates

    def list_usable(
        self, service: str, now: float, excluded: Iterable[tuple[str, int]] = ()
    ) -> list[Backend]:
        """Return the servers of a service that new work may be sent to.

        Where there are none, those whose entries are gone for a moment only.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        excluded : iterable of (str, int)
            Keys of processes that must not be chosen.

        Returns
        -------
        list of Backend
        """
        barred = frozenset(excluded)
        usable = [
            each
            for each in self._by_id.values()
            if each.entry.service == service
            and each.key not in barred
            and each.is_usable(now)
        ]
        if usable or self._has_entries(service):
            return usable
        return [
            each
            for each in self._leftover.values()
            if each.entry.service == service
            and each.key not in barred
            and each.is_usable_after_removal(now)
        ]

    def list_ready(
        self, service: str, excluded: Iterable[tuple[str, int]] = ()
    ) -> list[Backend]:
        """Return the listed servers of a service, also those under suspicion.

        A short request rather tries one of these than being refused, as a
        connection that is not made proves that nothing ran.

        Parameters
        ----------
        service : str
        excluded : iterable of (str, int)
            Keys of processes that must not be chosen.

        Returns
        -------
        list of Backend
        """
        barred = frozenset(excluded)
        return [
            each
            for each in self._by_id.values()
            if each.entry.service == service
            and each.key not in barred
            and each.entry.state is BackendState.READY
        ]

    def _has_entries(self, service: str) -> bool:
        return any(each.entry.service == service for each in self._by_id.values())


def _is_same_process(known: BackendEntry, entry: BackendEntry) -> bool:
    return (known.started_ms, known.address) == (entry.started_ms, entry.address)
