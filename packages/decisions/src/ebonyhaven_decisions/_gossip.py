"""Table of versioned entries that instances gossip to each other."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

TRANSMISSIONS = 8
ENTRY_OVERHEAD_BYTES = 2


class GossipEntry(NamedTuple):
    """One entry; the higher version wins, then the greater JSON text.

    Parameters
    ----------
    key : str
    version : int
        Assigned by the only instance that writes the entry, or taken from the clock
        of the instance that observed the value.
    value : object
        JSON value.
    """

    key: str
    version: int
    value: Any


class _StoredEntry(NamedTuple):
    entry: GossipEntry
    text: str
    stored_at: float


class GossipTable:
    """Newest entry of each key, sent in messages with a limited number of bytes.

    A new entry is sent ``transmissions`` times, with priority over older entries.
    The remaining space of a message repeats the older entries in rotation.

    Parameters
    ----------
    ttl_s : float
        Time to live of an entry in seconds; a newer version restarts it.
    transmissions : int
        Number of messages in which a new entry is sent.
    repeat : bool
        Whether older entries are repeated in the remaining space.
    """

    __slots__ = ("_remaining_sends", "_repeat", "_stored", "_transmissions", "_ttl_s")

    def __init__(
        self,
        *,
        ttl_s: float,
        transmissions: int = TRANSMISSIONS,
        repeat: bool = True,
    ):
        self._ttl_s = ttl_s
        self._transmissions = transmissions
        self._repeat = repeat
        self._stored: dict[str, _StoredEntry] = {}
        self._remaining_sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._stored)

    def get(self, key: str) -> GossipEntry | None:
        """Return the entry of a key, or None if there is none.

        Parameters
        ----------
        key : str

        Returns
        -------
        GossipEntry or None
        """
        stored = self._stored.get(key)
        return stored.entry if stored else None

    def entries(self) -> list[GossipEntry]:
        """Return all entries."""
        return [stored.entry for stored in self._stored.values()]

    def merge(self, entry: GossipEntry, now: float) -> bool:
        """Store an entry if it is newer than the stored one.

        Parameters
        ----------
        entry : GossipEntry
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it was stored.
        """
        text = json.dumps(entry, separators=(",", ":"))
        known = self._stored.pop(entry.key, None)
        if known is not None:
            order = (known.entry.version, known.text)
            if (entry.version, text) <= order:
                self._stored[entry.key] = known
                return False
        self._stored[entry.key] = _StoredEntry(entry, text, now)
        self._remaining_sends[entry.key] = self._transmissions
        return True

    def remove(self, key: str) -> None:
        """Remove the entry of a key.

        Parameters
        ----------
        key : str
        """
        del self._stored[key]
        self._remaining_sends.pop(key, None)

    def collect(self, budget_bytes: int) -> list[GossipEntry]:
        """Return the entries for one message.

        Parameters
        ----------
        budget_bytes : int
            Space in the message for their JSON text.

        Returns
        -------
        list of GossipEntry
        """
        chosen: dict[str, GossipEntry] = {}
        keys = list(self._remaining_sends)
        if self._repeat:
            # The shortest entry takes 8 bytes, so more entries cannot fit.
            keys += list(self._stored)[: max(1, budget_bytes // 8)]
        for key in keys:
            stored = self._stored[key]
            cost_bytes = len(stored.text) + ENTRY_OVERHEAD_BYTES
            if key in chosen or cost_bytes > budget_bytes:
                continue
            budget_bytes -= cost_bytes
            chosen[key] = stored.entry
            self._mark_sent(key)
        return list(chosen.values())

    def expire(self, now: float) -> list[str]:
        """Remove the entries whose time to live has expired.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of str
            Keys of the removed entries.
        """
        oldest = now - self._ttl_s
        expired = [
            key for key, stored in self._stored.items() if stored.stored_at < oldest
        ]
        for key in expired:
            self.remove(key)
        return expired

    def _mark_sent(self, key: str) -> None:
        stored = self._stored.pop(key)
        self._stored[key] = stored
        remaining = self._remaining_sends.pop(key, 0) - 1
        if remaining > 0:
            self._remaining_sends[key] = remaining
