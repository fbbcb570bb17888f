"""The platform's list as instances pass it on to each other."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

from ebonyhaven_decisions._gossip import GossipEntry, GossipTable

FRESHNESS_KEY = ""
FRESHNESS_INTERVAL_S = 10.0
GONE_S = 3600.0
TRANSMISSIONS = 8


class Listing:
    """Newest known entry of each listed process.

    An entry that was seen to leave the list stays with the value None, so that
    an older view cannot bring it back.
    """

    __slots__ = ("_digest", "_merged_at", "_was_read", "table")

    def __init__(self) -> None:
        self.table = GossipTable(
            lifetime_s=float("inf"), transmissions=TRANSMISSIONS, repeat=False
        )
        self._merged_at: dict[str, float] = {}
        self._digest = 0
        self._was_read = False

    def __len__(self) -> int:
        return len(self._merged_at)

    def values(self) -> dict[str, Any]:
        """Return the value of each process that is listed, by name."""
        return {
            entry.key: entry.value
            for entry in self.table.entries()
            if entry.value is not None and entry.key != FRESHNESS_KEY
        }

    def entries(self) -> list[GossipEntry]:
        """Return all entries, for an instance that knows none."""
        return self.table.entries()

    def compute_age(self, wall_s: float) -> float:
        """Return the seconds since the last known read by any instance.

        Parameters
        ----------
        wall_s : float
            Wall clock in seconds.

        Returns
        -------
        float
        """
        entry = self.table.get(FRESHNESS_KEY)
        return wall_s - entry.version / 1000 if entry else float("inf")

    def is_consistent(self) -> bool:
        """Return whether the entries equal those of the last known read."""
        entry = self.table.get(FRESHNESS_KEY)
        return entry is None or entry.value == self._digest

    def is_whole(self) -> bool:
        """Return whether this is a whole list and not just the entries that changed.

        That is so after an own read, and when the entries passed on by others
        equal those of the last known read.
        """
        has_read = self.table.get(FRESHNESS_KEY) is not None
        return self._was_read or (has_read and self.is_consistent())

    def merge_entry(self, entry: GossipEntry, now: float) -> bool:
        """Take in an entry of another instance.

        Parameters
        ----------
        entry : GossipEntry
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the listed processes changed.
        """
        known = self.table.get(entry.key)
        repeated = known is not None and known.value == entry.value
        if repeated and entry.key != FRESHNESS_KEY:
            return False  # several readers saw it; telling it again is of no use
        if not self.table.merge(entry, now):
            return False
        if entry.key == FRESHNESS_KEY:
            return False
        self._digest ^= _compute_digest(known) ^ _compute_digest(entry)
        self._merged_at[entry.key] = now
        return True

    def merge_read(
        self,
        values: Mapping[str, Any],
        *,
        started_at: float,
        now: float,
        wall_s: float,
        shared: bool,
    ) -> bool:
        """Take in a list that this instance read.

        Parameters
        ----------
        values : mapping of str to object
            JSON value of each listed process by name.
        started_at : float
            When the read began, seconds; what was learned since is kept.
        now : float
            Present time in seconds.
        wall_s : float
            Wall clock in seconds.
        shared : bool
            Whether other instances rely on this read and so are told of it.

        Returns
        -------
        bool
            Whether the listed processes changed.
        """
        version = int(wall_s * 1000)
        self._was_read = True
        changed = False
        for name in self._merged_at.keys() | values.keys():
            if self._merged_at.get(name, float("-inf")) > started_at:
                continue
            changed |= self._set(name, values.get(name), version, now)
        self._forget_gone(now)
        stale = self.compute_age(wall_s) >= FRESHNESS_INTERVAL_S
        if shared and (changed or stale):
            self.table.merge(GossipEntry(FRESHNESS_KEY, version, self._digest), now)
        return changed

    def _forget_gone(self, now: float) -> None:
        for name, merged_at in list(self._merged_at.items()):
            if now - merged_at >= GONE_S and self.table.get(name).value is None:
                self.table.remove(name)
                del self._merged_at[name]

    def _set(self, name: str, value: Any, version: int, now: float) -> bool:
        known = self.table.get(name)
        if known is not None and known.value == value:
            return False
        if known is not None:
            version = max(version, known.version + 1)
        return self.merge_entry(GossipEntry(name, version, value), now)


def _compute_digest(entry: GossipEntry | None) -> int:
    if entry is None or entry.value is None:
        return 0
    return zlib.crc32(json.dumps([entry.key, entry.value]).encode())
