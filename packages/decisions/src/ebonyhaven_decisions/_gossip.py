"""Table of versioned entries that instances pass on to each other."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

TRANSMISSIONS = 8
OVERHEAD_BYTES = 2


class GossipEntry(NamedTuple):
    """One entry; the higher version wins, then the greater JSON text.

    Parameters
    ----------
    key : str
    version : int
        Set by the one instance that owns the entry, or by the observer's clock.
    value : object
        JSON value.
    """

    key: str
    version: int
    value: Any


class _Held(NamedTuple):
    entry: GossipEntry
    text: str
    merged_at: float


class GossipTable:
    """Newest entry of each key, with a bounded share of it in each message.

    A new entry goes out ``transmissions`` times before all others; what room
    is left in a message repeats the known entries in turn.

    Parameters
    ----------
    lifetime_s : float
        Seconds after which an entry that was not renewed is dropped.
    transmissions : int
        How often a new entry is sent.
    repeat : bool
        Whether known entries are repeated in the room that is left.
    """

    __slots__ = ("_fresh", "_held", "_lifetime_s", "_repeat", "_transmissions")

    def __init__(
        self,
        *,
        lifetime_s: float,
        transmissions: int = TRANSMISSIONS,
        repeat: bool = True,
    ):
        self._lifetime_s = lifetime_s
        self._transmissions = transmissions
        self._repeat = repeat
        self._held: dict[str, _Held] = {}
        self._fresh: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: str) -> GossipEntry | None:
        """Return the entry of a key, if it is known.

        Parameters
        ----------
        key : str

        Returns
        -------
        GossipEntry or None
        """
        held = self._held.get(key)
        return held.entry if held else None

    def entries(self) -> list[GossipEntry]:
        """Return all entries."""
        return [held.entry for held in self._held.values()]

    def merge(self, entry: GossipEntry, now: float) -> bool:
        """Take in an entry.

        Parameters
        ----------
        entry : GossipEntry
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it is newer than the known one.
        """
        text = json.dumps(entry, separators=(",", ":"))
        known = self._held.pop(entry.key, None)
        if known is not None:
            order = (known.entry.version, known.text)
            if (entry.version, text) <= order:
                self._held[entry.key] = known
                return False
        self._held[entry.key] = _Held(entry, text, now)
        self._fresh[entry.key] = self._transmissions
        return True

    def remove(self, key: str) -> None:
        """Drop the entry of a key.

        Parameters
        ----------
        key : str
        """
        del self._held[key]
        self._fresh.pop(key, None)

    def collect(self, budget_bytes: int) -> list[GossipEntry]:
        """Return the entries for one message.

        Parameters
        ----------
        budget_bytes : int
            Room in the message for their JSON text.

        Returns
        -------
        list of GossipEntry
        """
        chosen: dict[str, GossipEntry] = {}
        keys = list(self._fresh)
        if self._repeat:
            keys += list(self._held)[: max(1, budget_bytes // 8)]
        for key in keys:
            held = self._held[key]
            cost_bytes = len(held.text) + OVERHEAD_BYTES
            if key in chosen or cost_bytes > budget_bytes:
                continue
            budget_bytes -= cost_bytes
            chosen[key] = held.entry
            self._mark_sent(key)
        return list(chosen.values())

    def expire(self, now: float) -> list[str]:
        """Drop the entries that were not renewed for their lifetime.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of str
            Their keys.
        """
        oldest = now - self._lifetime_s
        expired = [key for key, held in self._held.items() if held.merged_at < oldest]
        for key in expired:
            self.remove(key)
        return expired

    def _mark_sent(self, key: str) -> None:
        held = self._held.pop(key)
        self._held[key] = held
        left = self._fresh.pop(key, 0) - 1
        if left > 0:
            self._fresh[key] = left
