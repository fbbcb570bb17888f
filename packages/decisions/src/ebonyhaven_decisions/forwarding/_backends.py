"""What an instance knows of the backend servers that it forwards to."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import attrs

SUSPECT_MIN_S = 0.4  # a third of the time a restart takes on a fast machine
SUSPECT_MAX_S = 3.0  # a server that is back gets work again within this time
REPLACED_S = 10.0  # longer than an entry outlives its process
REMOVED_USABLE_S = 1.5  # below the time that a leaving server goes on serving
REPORT_LIFE_S = 1.0  # a load that is older says nothing about the present
DOUBT_S = 0.8  # in which the other servers of a lost data centre are noticed as well
SMOOTHING = 0.2
DEFAULT_LATENCY_S = 0.05


class BackendState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "leaving"


class BackendEntry(NamedTuple):
    """One backend server as the list of the platform has it.

    Parameters
    ----------
    server_id : str
    started_ms : int
        Start of the process, Unix milliseconds; tells restarts under one id apart.
    service : str
    address : str
        ``IP:PORT``.
    data_centre : str
    slots : int
        Requests that it works on at once.
    state : BackendState
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    state: BackendState


@attrs.define(slots=True, eq=False)
class Backend:
    """One process of a backend server: its entry, own work on it and evidence.

    Parameters
    ----------
    entry : BackendEntry

    Attributes
    ----------
    in_flight : int
        Requests of this instance that it has.
    run_tokens, copy_tokens, prefill_tokens : int
        Memory that runs and copies of this instance occupy, and the prompts that
        it still has to read.
    suspect_until : float
        Seconds; no new work before.
    heard_at : float
        When the last byte came from it, seconds.
    """

    entry: BackendEntry
    in_flight: int = 0
    runs: int = 0
    run_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0
    suspect_until: float = -math.inf
    failures: int = 0
    heard_at: float = -math.inf
    failure_share: float = 0.0
    latency_s: float = DEFAULT_LATENCY_S
    reported_load: int = 0
    reported_at: float = -math.inf
    removed_at: float | None = None

    @property
    def server_id(self) -> str:
        """Identity that requests are addressed to."""
        return self.entry.server_id

    @property
    def name(self) -> str:
        """Name in evidence that instances share."""
        return self.entry.server_id

    @property
    def identity(self) -> str:
        """What tells the process from an earlier one of the name."""
        return str(self.entry.started_ms)

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the process."""
        return (self.entry.server_id, self.entry.started_ms)

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may be sent to it.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.removed_at is not None or self.entry.state is not BackendState.READY:
            return False
        if now < self.suspect_until:
            return False
        return self.failures == 0 or self.in_flight == 0

    def is_usable_for_copy(self, now: float) -> bool:
        """Tell whether a run may go on from a copy that it holds.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self.removed_at is None and now >= self.suspect_until

    def is_last_resort(self, now: float) -> bool:
        """Tell whether it may serve although its entry is gone.

        Entries can lapse while the store is away; the process then still serves.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if self.removed_at is None or self.entry.state is not BackendState.READY:
            return False
        return now - self.removed_at < REMOVED_USABLE_S and now >= self.suspect_until

    def record_unreachable(self, now: float) -> None:
        """Keep new work away for a time that doubles with each failure.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if now >= self.suspect_until:
            self.failures += 1
        delay_s = SUSPECT_MIN_S * 2 ** min(self.failures - 1, 8)
        until = now + min(delay_s, SUSPECT_MAX_S)
        self.suspect_until = max(self.suspect_until, until)

    def record_replaced(self, now: float) -> None:
        """Take note that another process answers at the address.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.suspect_until = max(self.suspect_until, now + REPLACED_S)

    def record_heard(self, now: float) -> None:
        """Take note that bytes of an answer came.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self.heard_at = now
        self.failures = 0
        self.suspect_until = -math.inf

    def record_result(self, *, succeeded: bool, latency_s: float | None) -> None:
        """Take the end of a request into the averages.

        Parameters
        ----------
        succeeded : bool
        latency_s : float or None
            Seconds from sending to the whole answer, when it says something.
        """
        failed = 0.0 if succeeded else 1.0
        self.failure_share += SMOOTHING * (failed - self.failure_share)
        if succeeded and latency_s is not None:  # failures may be fast
            self.latency_s += SMOOTHING * (latency_s - self.latency_s)

    def record_load(self, load: int, now: float) -> None:
        """Take note of the requests that the server says it has.

        Parameters
        ----------
        load : int
            Running and waiting, of all instances.
        now : float
            Seconds.
        """
        self.reported_load = max(0, load - self.in_flight)
        self.reported_at = now

    def estimate_load(self, now: float) -> float:
        """Return the requests that it is thought to have.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
        """
        age_s = now - self.reported_at
        weight = max(0.0, 1.0 - age_s / REPORT_LIFE_S)
        return self.in_flight + weight * self.reported_load


class BackendDirectory:
    """All backend servers by service."""

    __slots__ = ("_by_id", "_doubted", "_leftover")

    def __init__(self) -> None:
        self._doubted: dict[str, float] = {}
        self._by_id: dict[str, Backend] = {}
        self._leftover: dict[str, Backend] = {}

    def __iter__(self):
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

    def replace_all(self, entries: Mapping[str, BackendEntry], now: float) -> None:
        """Take over a whole list.

        Parameters
        ----------
        entries : mapping of str to BackendEntry
            By server id.
        now : float
            Seconds.
        """
        for server_id in list(self._by_id):
            if server_id not in entries:
                self.remove(server_id, now)
        for entry in entries.values():
            self.put(entry, now)

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

    def is_doubted(self, data_centre: str, now: float) -> bool:
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

    def prefer_undoubted(self, candidates: list[Backend], now: float) -> list[Backend]:
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
            if not self.is_doubted(each.entry.data_centre, now)
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
            and each.is_last_resort(now)
        ]

    def list_doubtful(
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
