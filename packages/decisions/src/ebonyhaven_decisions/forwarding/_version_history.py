"""Software versions that the backend servers of each service have had."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._backends import BackendEntry, BackendState
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention

# Entries that expired although their server lives are back within two seconds.
ENTRY_RETURN_S = 2.5


class VersionRecord(NamedTuple):
    """A software version of a service.

    Parameters
    ----------
    service : str
    version : str or None
        None if it is unknown.
    gone_s : float or None
        Time since its last server was removed, seconds; None while one is listed.
    """

    service: str
    version: str | None
    gone_s: float | None


class VersionSnapshot(NamedTuple):
    """What an instance knew of the versions in use.

    Parameters
    ----------
    records : tuple of VersionRecord
    is_complete : bool
        Whether it knew all versions that open streams may have begun at.
    age_s : float
        Time since it was taken, seconds.
    """

    records: tuple[VersionRecord, ...]
    is_complete: bool
    age_s: float = 0.0


class VersionHistory:
    """When servers of each software version of a service were last removed.

    Parameters
    ----------
    retention : StreamRetention
        For how long versions are remembered.
    """

    __slots__ = (
        "_expired_at",
        "_followed_since",
        "_is_past_known",
        "_removed_at",
        "_retention",
    )

    def __init__(self, retention: StreamRetention) -> None:
        self._retention = retention
        self._removed_at: dict[tuple[str, str | None], float] = {}
        # Of servers that did not announce that they leave.
        self._expired_at: dict[tuple[str, str | None], float] = {}
        self._followed_since = math.inf
        self._is_past_known = False

    def begin(self, now: float) -> None:
        """Record that the whole list of servers was read, and is followed from now on.

        What came and went between two whole lists is not known.

        Parameters
        ----------
        now : float
            Seconds.
        """
        if math.isfinite(self._followed_since):
            self.restart(now)
        self._followed_since = now

    def restart(self, now: float) -> None:
        """Record that servers may have been listed and removed again unnoticed.

        Parameters
        ----------
        now : float
            Seconds.
        """
        self._is_past_known = False
        self._followed_since = now

    def is_complete(self, now: float) -> bool:
        """Return whether all versions that open streams may have begun at are known.

        Parameters
        ----------
        now : float
            Seconds.
        """
        followed_s = now - self._followed_since
        return self._is_past_known or followed_s >= self._retention.get_s(now)

    def record(self, entry: BackendEntry, now: float) -> None:
        """Record that an entry was removed.

        Parameters
        ----------
        entry : BackendEntry
            The entry before its removal.
        now : float
            Seconds.
        """
        self._forget_older(now)
        key = (entry.service, entry.software_version)
        self._removed_at[key] = now
        if entry.state is BackendState.READY:
            self._expired_at[key] = now

    def export(
        self, listed: Iterable[tuple[str, str | None]], now: float
    ) -> VersionSnapshot:
        """Return what is known.

        Parameters
        ----------
        listed : iterable of (str, str or None)
            Services and versions of the servers that are listed.
        now : float
            Seconds.
        """
        self._forget_older(now)
        gone_s: dict[tuple[str, str | None], float | None] = {
            key: now - removed_at for key, removed_at in self._removed_at.items()
        }
        gone_s |= dict.fromkeys(listed)
        records = tuple(VersionRecord(*key, gone) for key, gone in gone_s.items())
        return VersionSnapshot(records, self.is_complete(now))

    def add_earlier(
        self,
        snapshots: Sequence[VersionSnapshot],
        listed: Iterable[tuple[str, str | None]],
        now: float,
    ) -> None:
        """Add what instances knew before this one started.

        Older snapshots are not complete any more, but for the newest: whoever could
        have changed it is gone.

        Parameters
        ----------
        snapshots : sequence of VersionSnapshot
            All that were kept; none if no instance has ever run.
        listed : iterable of (str, str or None)
            Services and versions of the servers that are listed now.
        now : float
            Seconds.
        """
        complete = [each for each in snapshots if each.is_complete]
        newest = min(complete, key=lambda each: each.age_s, default=None)
        listed_now = frozenset(listed)
        for snapshot in snapshots:
            if snapshot is newest or snapshot.age_s <= self._retention.get_s(now):
                self._add_snapshot(snapshot, listed_now, now)
        self._is_past_known |= newest is not None or not snapshots

    def _add_snapshot(
        self,
        snapshot: VersionSnapshot,
        listed: frozenset[tuple[str, str | None]],
        now: float,
    ) -> None:
        for service, version, gone_s in snapshot.records:
            key = (service, version)
            if gone_s is not None:
                removed_at = now - snapshot.age_s - gone_s
            elif key not in listed:
                removed_at = now  # at some time since the snapshot
            else:
                continue
            known_at = self._removed_at.get(key, -math.inf)
            self._removed_at[key] = max(known_at, removed_at)

    def list_recent(self, service: str, now: float) -> set[str | None]:
        """Return the versions of servers removed while a stream may have been open.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        retention_s = self._retention.get_s(now)
        return {
            version
            for (name, version), removed_at in self._removed_at.items()
            if name == service and now - removed_at <= retention_s
        }

    def may_return(self, service: str, version: str, now: float) -> bool:
        """Return whether a removed server of a version may still be alive.

        Parameters
        ----------
        service, version : str
        now : float
            Seconds.
        """
        expired_at = self._expired_at.get((service, version), -math.inf)
        return now - expired_at <= ENTRY_RETURN_S

    def _forget_older(self, now: float) -> None:
        retention_s = self._retention.get_s(now)
        for key, removed_at in list(self._removed_at.items()):
            if now - removed_at > retention_s:
                del self._removed_at[key]
                self._expired_at.pop(key, None)
