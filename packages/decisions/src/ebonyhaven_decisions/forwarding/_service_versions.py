"""Software versions of the backend servers of each service, now and before."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ebonyhaven_decisions.forwarding._backends import (
    Backend,
    BackendEntry,
    BackendState,
)
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention
from ebonyhaven_decisions.forwarding._version_history import (
    VersionHistory,
    VersionSnapshot,
)
from ebonyhaven_decisions.forwarding.rollouts._gate import RolloutGate


class ServiceVersions:
    """Software versions of the listed servers, and of those of the time before.

    Parameters
    ----------
    listed : mapping of str to Backend
        The listed servers, by id; followed as it changes.
    rollouts : RolloutGate
    retention : StreamRetention
        For how long versions without servers are remembered.
    """

    __slots__ = ("_history", "_listed", "_rollouts")

    def __init__(
        self,
        listed: Mapping[str, Backend],
        rollouts: RolloutGate,
        retention: StreamRetention,
    ):
        self._listed = listed
        self._rollouts = rollouts
        self._history = VersionHistory(retention)

    def list_current(self) -> frozenset[tuple[str, str | None]]:
        """Return the services and software versions of the listed servers."""
        return frozenset(
            (each.entry.service, each.software_version)
            for each in self._listed.values()
        )

    def infer(self, service: str, now: float) -> str | None:
        """Return the software version of a service if there is only one.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        str or None
            None if servers of several versions, or of an unknown one, are listed or
            may have been since an open stream began.
        """
        return self.infer_among((service,), now)

    def infer_among(self, services: Iterable[str], now: float) -> str | None:
        """Return the software version of several services if there is only one.

        Parameters
        ----------
        services : iterable of str
        now : float
            Seconds.

        Returns
        -------
        str or None
            See `infer`.
        """
        if not self.is_past_known(now):
            return None
        names = set(services)
        versions = {version for name, version in self.list_current() if name in names}
        for name in names:
            versions |= self._history.list_recent(name, now)
        return versions.pop() if len(versions) == 1 else None

    def may_serve(self, service: str, version: str, now: float) -> bool:
        """Return whether servers of a software version take requests, or may again.

        Parameters
        ----------
        service, version : str
        now : float
            Seconds.
        """
        if self._rollouts.is_withdrawn(service, version):
            return False
        is_listed = any(
            each.entry.service == service
            and each.software_version == version
            and each.entry.state is BackendState.READY
            for each in self._listed.values()
        )
        return is_listed or self._history.may_return(service, version, now)

    def record_removed(self, entry: BackendEntry, now: float) -> None:
        """Record that an entry was removed from the list.

        Parameters
        ----------
        entry : BackendEntry
            The entry before its removal.
        now : float
            Seconds.
        """
        self._history.record(entry, now)

    def record_list_read(self, now: float) -> None:
        """Record that the whole list was read, and is followed from now on.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._history.begin(now)

    def record_gap(self, now: float) -> None:
        """Record that servers may have been listed and removed again unnoticed.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._history.restart(now)

    def is_past_known(self, now: float) -> bool:
        """Return whether all recent software versions are known.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self._history.is_complete(now)

    def export(self, now: float) -> VersionSnapshot:
        """Return what is known, of listed and of removed servers.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return self._history.export(self.list_current(), now)

    def add_earlier(self, snapshots: Sequence[VersionSnapshot], now: float) -> None:
        """Add what instances knew before this one started.

        Parameters
        ----------
        snapshots : sequence of VersionSnapshot
        now : float
            Seconds.
        """
        self._history.add_earlier(snapshots, self.list_current(), now)
