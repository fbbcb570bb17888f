"""Directory of the backend servers known to an instance."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from ebonyhaven_decisions.forwarding._backend_limits import BackendLimits
from ebonyhaven_decisions.forwarding._backends import (
    MAX_READ_GAP_S,
    REMOVED_USABLE_S,
    Backend,
    BackendEntry,
)
from ebonyhaven_decisions.forwarding._process_notices import ProcessNotices
from ebonyhaven_decisions.forwarding._send_obstacles import SendObstacle
from ebonyhaven_decisions.forwarding._service_versions import ServiceVersions
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention
from ebonyhaven_decisions.forwarding._suspect_data_centres import SuspectDataCentres
from ebonyhaven_decisions.forwarding.rollouts._gate import RolloutGate


class BackendDirectory:
    """Backend servers, listed or recently removed, by server id.

    Attributes
    ----------
    data_centres : SuspectDataCentres
        Data centres of servers that were lost.
    limits : BackendLimits
        Limits of the listed servers.
    notices : ProcessNotices
        What their processes said of themselves in answers.
    retention : StreamRetention
        For how long what is known of streams is kept.
    rollouts : RolloutGate
        Versions that may be sent requests.
    versions : ServiceVersions
        Software versions of the servers, listed and earlier ones.
    """

    __slots__ = (
        "_by_id",
        "_current_at",
        "_removed",
        "data_centres",
        "limits",
        "notices",
        "retention",
        "rollouts",
        "versions",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Backend] = {}
        self._removed: dict[str, Backend] = {}
        self._current_at = -math.inf
        self.data_centres = SuspectDataCentres()
        self.limits = BackendLimits(self._by_id)
        self.notices = ProcessNotices(self._is_listed)
        self.rollouts = RolloutGate()
        self.retention = StreamRetention()
        self.versions = ServiceVersions(self._by_id, self.rollouts, self.retention)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._by_id.values())

    def find(self, server_id: str) -> Backend | None:
        """Return the listed process of a server.

        Parameters
        ----------
        server_id : str

        Returns
        -------
        Backend or None
        """
        return self._by_id.get(server_id)

    def put(
        self, entry: BackendEntry, now: float, *, was_inferred: bool = False
    ) -> Backend:
        """Add or update an entry.

        Parameters
        ----------
        entry : BackendEntry
        now : float
            Seconds.
        was_inferred : bool
            Whether the software version of the known entry was only inferred, so that
            another one corrects it.

        Returns
        -------
        Backend
            The existing object, or a new one if the process restarted or its
            address changed.
        """
        known = self._by_id.get(entry.server_id) or self._removed.get(entry.server_id)
        self._removed.pop(entry.server_id, None)
        if known is None or not _is_same_process(known.entry, entry, was_inferred):
            if known is not None:
                self.versions.record_removed(known.entry, now)
            known = Backend(entry)
            self.notices.apply(known)
            self.limits.apply_known(known, now)
        known.entry = entry
        known.removed_at = None
        self._by_id[entry.server_id] = known
        self._suspect_predecessors(entry, now)
        self.rollouts.unordered.record_listed(entry, now)
        return known

    def remove(self, server_id: str, now: float) -> None:
        """Remove an entry; its server stays usable for `REMOVED_USABLE_S`.

        The time counts from when the list was last known to hold the entry, because
        the platform counts from the removal, which this instance hears of later. If
        that is over `MAX_READ_GAP_S` ago, the store was not available in between.

        Parameters
        ----------
        server_id : str
        now : float
            Seconds.
        """
        backend = self._by_id.pop(server_id, None)
        if backend is None:
            return
        self.versions.record_removed(backend.entry, now)
        backend.removed_at = now
        was_available = now - self._current_at <= MAX_READ_GAP_S
        listed_at = self._current_at if was_available else now
        backend.kept_until = listed_at + REMOVED_USABLE_S
        self._removed[server_id] = backend
        for name, each in list(self._removed.items()):
            if now >= each.kept_until:
                del self._removed[name]

    def _is_listed(self, key: tuple[str, int]) -> bool:
        backend = self._by_id.get(key[0])
        return backend is not None and backend.key == key

    def has_only_leaving(self, service: str) -> bool:
        """Return whether all listed servers of a service said that they leave.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
            False if none is listed.
        """
        is_listed = False
        for each in self._by_id.values():
            if each.entry.service != service:
                continue
            if not each.is_leaving:
                return False
            is_listed = True
        return is_listed

    @property
    def current_at(self) -> float:
        """Time up to which all changes of the list are known, seconds."""
        return self._current_at

    def record_current(self, at: float) -> None:
        """Record that all changes of the list up to a time are known.

        Parameters
        ----------
        at : float
            Seconds.
        """
        self._current_at = at

    def _suspect_predecessors(self, entry: BackendEntry, now: float) -> None:
        """Suspect the other entries with the address of a new entry."""
        for each in self._by_id.values():
            has_same_address = each.entry.address == entry.address
            if has_same_address and each.server_id != entry.server_id:
                each.record_replaced(now)

    def record_unreachable(self, backend: Backend, now: float) -> None:
        """Suspect an unreachable server and its data centre.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        """
        backend.record_unreachable(now)
        self.data_centres.record_loss(backend.entry.data_centre, now)

    def count_suspects(self, data_centre: str, now: float) -> int:
        """Return the number of suspect servers in a data centre.

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

    def list_usable(
        self,
        service: str,
        now: float,
        excluded: Iterable[tuple[str, int]] = (),
        version: str | None = None,
    ) -> list[Backend]:
        """Return the servers of a service that may be sent new requests.

        If the service has no entries at all, recently removed servers are returned.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        excluded : iterable of (str, int)
            Keys of processes to leave out.
        version : str or None
            Software version of the servers; None for any.

        Returns
        -------
        list of Backend
        """
        excluded_keys = frozenset(excluded)

        def is_candidate(backend: Backend) -> bool:
            if backend.entry.service != service or backend.key in excluded_keys:
                return False
            return version is None or backend.software_version == version

        usable = [
            each
            for each in self._by_id.values()
            if is_candidate(each) and each.is_usable(now)
        ]
        if not usable and not self._has_entries(service):
            usable = [
                each
                for each in self._removed.values()
                if is_candidate(each) and each.is_usable_after_removal(now)
            ]
        return self.rollouts.select(usable, now, is_bound=version is not None)

    def find_obstacle(
        self, backend: Backend, now: float, *, is_bound: bool = False
    ) -> SendObstacle | None:
        """Return what keeps a server that was chosen before from a request now.

        Unlike `list_usable`, this leaves out how loaded or suspect the server is, and
        the limits, of which a request takes its part when its server is chosen.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        is_bound : bool
            See `RolloutGate.allows`.

        Returns
        -------
        SendObstacle or None
        """
        if not self.rollouts.is_open(backend, is_bound=is_bound):
            return SendObstacle.ROLLOUT
        if not self._is_there(backend, now) or now < backend.replaced_until:
            return SendObstacle.LEFT
        if backend.limiter.rest.is_resting(now):
            return SendObstacle.RESTING
        if backend.silence.is_unresponsive(now):
            return SendObstacle.SILENT
        return None

    def _is_there(self, backend: Backend, now: float) -> bool:
        if self._by_id.get(backend.server_id) is backend:
            return not backend.is_leaving
        if self._removed.get(backend.server_id) is not backend:
            return False  # another process has taken its id
        is_only_hope = not self._has_entries(backend.entry.service)
        return is_only_hope and backend.is_kept_after_removal(now)

    def find_rest_end(self, service: str, now: float) -> float:
        """Return when the next full or resting server may be tried again.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; infinite if no server is resting.
        """
        ends = [
            max(each.backoff.until, each.limiter.rest.next_at)
            for each in self._by_id.values()
            if each.entry.service == service
        ]
        return min((each for each in ends if each > now), default=math.inf)

    def list_ready(
        self, service: str, now: float, excluded: Iterable[tuple[str, int]] = ()
    ) -> list[Backend]:
        """Return the listed, ready servers of a service, including suspect ones.

        A short request tries a suspect server rather than being rejected, because a
        failed connection attempt proves that the request was not run. Servers that
        are full, unresponsive or replaced by another process are left out.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        excluded : iterable of (str, int)
            Keys of processes to leave out.

        Returns
        -------
        list of Backend
        """
        excluded_keys = frozenset(excluded)
        ready = [
            each
            for each in self._by_id.values()
            if each.entry.service == service
            and each.key not in excluded_keys
            and not each.is_leaving
            and now >= each.replaced_until
            and each.accepts(now)
            and not each.silence.is_unresponsive(now)
        ]
        return self.rollouts.select(ready, now)

    def list_unresponsive(self, now: float) -> list[Backend]:
        """Return the listed servers that answer nothing and do not say that they leave.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        list of Backend
        """
        return [
            each
            for each in self._by_id.values()
            if each.silence.since is not None  # of few, and asked often
            and each.silence.is_unresponsive(now)
            and not each.is_leaving
        ]

    def has_only_silent(self, service: str, now: float) -> bool:
        """Return whether no ready server of a service answers this instance.

        All are unresponsive, or suspect beside an unresponsive one.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        ready = [
            each
            for each in self._by_id.values()
            if each.entry.service == service and not each.is_leaving
        ]
        unresponsive = [each for each in ready if each.silence.is_unresponsive(now)]
        suspect = [each for each in ready if now < each.suspect_until]
        return bool(unresponsive) and {*unresponsive, *suspect} == set(ready)

    def _has_entries(self, service: str) -> bool:
        return any(each.entry.service == service for each in self._by_id.values())


def _is_same_process(
    known: BackendEntry, entry: BackendEntry, was_inferred: bool
) -> bool:
    if (known.started_ms, known.address) != (entry.started_ms, entry.address):
        return False
    # Entries may lack the time of the start.
    return was_inferred or known.software_version in (None, entry.software_version)
