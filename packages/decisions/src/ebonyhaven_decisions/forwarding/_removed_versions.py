"""Software versions of backend servers that are no longer listed."""

from __future__ import annotations

import math

from ebonyhaven_decisions.forwarding._backends import BackendEntry, BackendState

VERSION_MEMORY_S = 30.0  # exceeds the duration of a stream
# Entries that expired although their server lives are back within two seconds.
ENTRY_RETURN_S = 2.5


class RemovedVersions:
    """When servers of each software version of a service were last removed."""

    __slots__ = ("_expired_at", "_removed_at")

    def __init__(self) -> None:
        self._removed_at: dict[tuple[str, str | None], float] = {}
        # Of servers that did not announce that they leave.
        self._expired_at: dict[tuple[str, str | None], float] = {}

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

    def list_recent(self, service: str, now: float) -> set[str | None]:
        """Return the versions of servers removed within `VERSION_MEMORY_S`.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        return {
            version
            for (name, version), removed_at in self._removed_at.items()
            if name == service and now - removed_at <= VERSION_MEMORY_S
        }

    def _forget_older(self, now: float) -> None:
        for key, removed_at in list(self._removed_at.items()):
            if now - removed_at > VERSION_MEMORY_S:
                del self._removed_at[key]
                self._expired_at.pop(key, None)

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
