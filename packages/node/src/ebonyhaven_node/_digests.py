"""State that rides on heartbeats."""

from __future__ import annotations

import abc
import json
from collections.abc import Callable, Iterable
from typing import Any

from ebonyhaven_decisions import GossipEntry, GossipTable

HEARTBEAT_DIGEST_BYTES = 64
COLLECTIONS_A_EXPIRY = 100
_KEY_BYTES = 5


class Digest(abc.ABC):
    """One kind of state that instances pass on to each other.

    Attributes
    ----------
    code : str
        One letter that names it in messages.
    has_priority : bool
        Whether it has a place in each heartbeat before the others, which take
        turns in the room that is left.
    dedicated_budget_bytes : int
        Room beside the shared one, for news that are rare; 0 for none.
    """

    code: str
    has_priority: bool = False
    dedicated_budget_bytes: int = 0

    @abc.abstractmethod
    def collect(self, budget_bytes: int) -> Any:
        """Return what to tell in one heartbeat.

        Parameters
        ----------
        budget_bytes : int
            Room for its JSON text; a longer payload is dropped.

        Returns
        -------
        object
            JSON value; None, or anything empty, for nothing.
        """

    @abc.abstractmethod
    def merge(self, sender: str, payload: Any) -> None:
        """Take in what another instance told.

        Parameters
        ----------
        sender : str
            Name of that instance.
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError
            If the payload is malformed.
        """


def fit_entries(entries: Iterable[Any], budget_bytes: int) -> list[Any]:
    """Return the first entries whose JSON list fits a budget.

    Parameters
    ----------
    entries : iterable of object
        JSON values, the most urgent first.
    budget_bytes : int

    Returns
    -------
    list
    """
    chosen = []
    budget_bytes -= 2
    for entry in entries:
        budget_bytes -= len(json.dumps(entry, separators=(",", ":"))) + 1
        if budget_bytes < 0:
            break
        chosen.append(entry)
    return chosen


class TableDigest(Digest):
    """Passes on a `GossipTable`.

    Parameters
    ----------
    code : str
        One letter that names it in messages.
    table : GossipTable
    clock : callable
        Returns the present time in seconds.
    on_merge : callable or None
        Called with each `GossipEntry` that was new.
    merge : callable or None
        Takes in a `GossipEntry` in place of the table and returns whether it
        was new.
    """

    def __init__(
        self,
        *,
        code: str,
        table: GossipTable,
        clock: Callable[[], float],
        on_merge: Callable[[GossipEntry], None] | None = None,
        merge: Callable[[GossipEntry], bool] | None = None,
    ):
        self.code = code
        self.table = table
        self._clock = clock
        self._on_merge = on_merge
        self._merge = merge or self._merge_into_table
        self._collections = 0

    def collect(self, budget_bytes: int) -> list[GossipEntry]:
        """See `Digest.collect`."""
        self._collections += 1
        if self._collections % COLLECTIONS_A_EXPIRY == 0:
            self.table.expire(self._clock())
        return self.table.collect(budget_bytes)

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        for key, version, value in payload:
            entry = GossipEntry(str(key), int(version), value)
            if self._merge(entry) and self._on_merge is not None:
                self._on_merge(entry)

    def _merge_into_table(self, entry: GossipEntry) -> bool:
        return self.table.merge(entry, self._clock())


class DigestSet:
    """Shares the room of a heartbeat between the digests.

    Parameters
    ----------
    budget_bytes : int
        Room of one heartbeat.
    on_fault : callable
        Called with ``"digest_too_long"`` or ``"digest_malformed"``.
    """

    def __init__(
        self,
        *,
        on_fault: Callable[[str], None],
        budget_bytes: int = HEARTBEAT_DIGEST_BYTES,
    ):
        self._budget_bytes = budget_bytes
        self._on_fault = on_fault
        self._first: list[Digest] = []
        self._in_turn: list[Digest] = []

    def add(self, digest: Digest) -> None:
        """Add a digest; its code must differ from those of the others.

        Parameters
        ----------
        digest : Digest
        """
        group = self._first if digest.has_priority else self._in_turn
        group.append(digest)

    def collect(self) -> dict[str, Any]:
        """Return the payloads for one heartbeat by code."""
        payloads: dict[str, Any] = {}
        budget_bytes = self._budget_bytes
        for digest in self._first + self._in_turn:
            own_bytes = digest.dedicated_budget_bytes
            used_bytes = self._collect_one(digest, own_bytes or budget_bytes, payloads)
            if not own_bytes:
                budget_bytes -= used_bytes
        self._in_turn = self._in_turn[1:] + self._in_turn[:1]
        return payloads

    def _collect_one(
        self, digest: Digest, budget_bytes: int, payloads: dict[str, Any]
    ) -> int:
        payload = digest.collect(budget_bytes - _KEY_BYTES)
        if not payload:
            return 0
        size = len(json.dumps(payload, separators=(",", ":"))) + _KEY_BYTES
        if size > budget_bytes:
            self._on_fault("digest_too_long")
            return 0
        payloads[digest.code] = payload
        return size

    def merge(self, sender: str, payloads: dict[str, Any]) -> None:
        """Hand payloads to their digests; unknown codes are ignored.

        Parameters
        ----------
        sender : str
        payloads : dict of str to object
        """
        for digest in self._first + self._in_turn:
            payload = payloads.get(digest.code)
            if payload is None:
                continue
            try:
                digest.merge(sender, payload)
            except (TypeError, ValueError):
                self._on_fault("digest_malformed")
