"""The platform's instance list, replicated between instances by gossip."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

from ebonyhaven_decisions._gossip import GossipEntry, GossipTable

# Key of the entry of the last read: its version is the time of the read in
# milliseconds, its value the digest of the list.
LAST_READ_KEY = ""
LAST_READ_PUBLISH_INTERVAL_S = 10.0
TOMBSTONE_TTL_S = 3600.0
TRANSMISSIONS = 8


class Listing:
    """Newest known entry of each listed process.

    A process that left the list keeps an entry with the value None as a tombstone,
    so that an older entry of another instance cannot restore it.

    Attributes
    ----------
    table : GossipTable
        All entries, tombstones included.
    """

    __slots__ = ("_digest", "_merged_at", "_was_read_locally", "table")

    def __init__(self) -> None:
        self.table = GossipTable(
            ttl_s=float("inf"), transmissions=TRANSMISSIONS, repeat=False
        )
        self._merged_at: dict[str, float] = {}
        self._digest = 0
        self._was_read_locally = False

    def __len__(self) -> int:
        return len(self._merged_at)

    def values(self) -> dict[str, Any]:
        """Return the value of each listed process by name."""
        return {
            entry.key: entry.value
            for entry in self.table.entries()
            if entry.value is not None and entry.key != LAST_READ_KEY
        }

    def entries(self) -> list[GossipEntry]:
        """Return all entries and tombstones, to send to an instance that has none."""
        return self.table.entries()

    def compute_age(self, wall_s: float) -> float:
        """Return the age of the last known read of the platform's list.

        Parameters
        ----------
        wall_s : float
            Unix time in seconds.

        Returns
        -------
        float
            Seconds since the last published read by any instance; infinite if there
            was none.
        """
        entry = self.table.get(LAST_READ_KEY)
        return wall_s - entry.version / 1000 if entry else float("inf")

    def is_consistent(self) -> bool:
        """Return whether the entries match the digest of the last known read."""
        entry = self.table.get(LAST_READ_KEY)
        return entry is None or entry.value == self._digest

    def is_complete(self) -> bool:
        """Return whether the entries of all listed processes are known.

        It is complete once this instance has read the list itself, and while the
        entries received from others match the digest of the last known read.
        """
        has_read = self.table.get(LAST_READ_KEY) is not None
        return self._was_read_locally or (has_read and self.is_consistent())

    def merge_entry(self, entry: GossipEntry, now: float) -> bool:
        """Merge an entry from another instance.

        Parameters
        ----------
        entry : GossipEntry
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the listed processes changed.
        """
        known = self.table.get(entry.key)
        is_unchanged = known is not None and known.value == entry.value
        if is_unchanged and entry.key != LAST_READ_KEY:
            return False  # observed by another reader too; no need to send it again
        if not self.table.merge(entry, now):
            return False
        if entry.key == LAST_READ_KEY:
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
        publish: bool,
    ) -> bool:
        """Merge the platform's list as read by this instance.

        Parameters
        ----------
        values : mapping of str to object
            JSON value of each listed process by name.
        started_at : float
            Time in seconds when the read began; entries merged since then are kept.
        now : float
            Current time in seconds.
        wall_s : float
            Unix time in seconds.
        publish : bool
            Whether to gossip the time and digest of this read to other instances.

        Returns
        -------
        bool
            Whether the listed processes changed.
        """
        version = int(wall_s * 1000)
        self._was_read_locally = True
        changed = False
        for name in self._merged_at.keys() | values.keys():
            if self._merged_at.get(name, float("-inf")) > started_at:
                continue
            changed |= self._set_value(name, values.get(name), version, now)
        self._drop_old_tombstones(now)
        stale = self.compute_age(wall_s) >= LAST_READ_PUBLISH_INTERVAL_S
        if publish and (changed or stale):
            self.table.merge(GossipEntry(LAST_READ_KEY, version, self._digest), now)
        return changed

    def _drop_old_tombstones(self, now: float) -> None:
        for name, merged_at in list(self._merged_at.items()):
            if (
                now - merged_at >= TOMBSTONE_TTL_S
                and self.table.get(name).value is None
            ):
                self.table.remove(name)
                del self._merged_at[name]

    def _set_value(self, name: str, value: Any, version: int, now: float) -> bool:
        known = self.table.get(name)
        if known is not None and known.value == value:
            return False
        if known is not None:
            # The known version may come from an instance whose clock is ahead.
            version = max(version, known.version + 1)
        return self.merge_entry(GossipEntry(name, version, value), now)


def _compute_digest(entry: GossipEntry | None) -> int:
    if entry is None or entry.value is None:
        return 0
    return zlib.crc32(json.dumps([entry.key, entry.value]).encode())
