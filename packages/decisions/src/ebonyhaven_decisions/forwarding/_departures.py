"""Processes of backend servers that left, so that no older list brings them back.

Designed for lists that arrive by several ways, some of them late: a table that the
store restored from an older copy, the state of a peer, a read that was overtaken. A
process that left is listed again only by an entry that was written after it had left.
"""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions.forwarding._backends import (
    BackendEntry,
    BackendState,
    ServerListVersion,
)

DEPARTED_TTL_S = 60.0  # exceeds the age of a copy that the store is restored from


class Departure(NamedTuple):
    """Evidence that a process left.

    Parameters
    ----------
    version : ServerListVersion
        Of the list or the entry that told it.
    at : float
        Time at which it was learned, seconds.
    """

    version: ServerListVersion
    at: float


class DepartedServers:
    """Processes that left within the last `DEPARTED_TTL_S`, and when they did."""

    def __init__(self) -> None:
        self._departures: dict[tuple[str, int], Departure] = {}
        self._copy_versions: dict[int, int] = {}  # by era: newest that may be restored

    def record(
        self, entry: BackendEntry, version: ServerListVersion, now: float
    ) -> None:
        """Record that a process leaves, or is no longer listed.

        What told it first counts until it returns: a later list may still lack the
        process for the sake of that, and is no evidence of its own.

        Parameters
        ----------
        entry : BackendEntry
        version : ServerListVersion
            Of the list or the entry that tells it.
        now : float
            Seconds.
        """
        self._forget_older(now)
        process = (entry.server_id, entry.started_ms)
        known = self._departures.get(process)
        first = known.version if known is not None else version
        self._departures[process] = Departure(first, now)

    def record_return(self, entry: BackendEntry) -> None:
        """Record that an entry of a process counts that was written after it left.

        Parameters
        ----------
        entry : BackendEntry
        """
        self._departures.pop((entry.server_id, entry.started_ms), None)

    def begin_era(self, version: ServerListVersion) -> None:
        """Record the first list of an era.

        Parameters
        ----------
        version : ServerListVersion
            Entries of the era up to this version may be those of the copy.
        """
        self._copy_versions[version.era] = version.version

    def is_outdated(
        self, entry: BackendEntry, version: ServerListVersion, now: float
    ) -> bool:
        """Return whether an entry is older than the departure of its process.

        Parameters
        ----------
        entry : BackendEntry
        version : ServerListVersion
            That the entry was written with.
        now : float
            Seconds.
        """
        return self._is_outdated(entry, version, now, version.version)

    def is_outdated_in_list(
        self, entry: BackendEntry, version: ServerListVersion, now: float
    ) -> bool:
        """Return whether the list of a peer may be older than a departure.

        Its entries name no versions: one of a later era may be that of the copy.

        Parameters
        ----------
        entry : BackendEntry
        version : ServerListVersion
            Of the list.
        now : float
            Seconds.
        """
        return self._is_outdated(entry, version, now, 0)

    def list_processes(self, now: float) -> set[tuple[str, int]]:
        """Return the ids and start times of the processes that left.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        set of tuple of (str, int)
        """
        self._forget_older(now)
        return set(self._departures)

    def _is_outdated(
        self,
        entry: BackendEntry,
        version: ServerListVersion,
        now: float,
        written: int,
    ) -> bool:
        departure = self._departures.get((entry.server_id, entry.started_ms))
        if departure is None or entry.state is BackendState.LEAVING:
            return False
        if now - departure.at > DEPARTED_TTL_S:
            return False
        if version.era <= departure.version.era:
            return version <= departure.version
        return written <= self._copy_versions.get(version.era, version.version)

    def _forget_older(self, now: float) -> None:
        self._departures = {
            process: departure
            for process, departure in self._departures.items()
            if now - departure.at <= DEPARTED_TTL_S
        }
