"""State of controllers that is gossiped in heartbeats."""

from __future__ import annotations

import abc
import json
from collections.abc import Callable, Iterable
from typing import Any

from ebonyhaven_decisions import GossipEntry, GossipTable, check_integer

HEARTBEAT_DIGEST_BYTES = 64
EXPIRY_INTERVAL_COLLECTIONS = 100
_KEY_OVERHEAD_BYTES = 5  # quoted code, colon and comma


class Digest(abc.ABC):
    """One kind of state that instances gossip to each other.

    Attributes
    ----------
    code : str
        One letter that identifies the digest in messages.
    has_priority : bool
        Whether it is collected first for each heartbeat. The other digests share
        the remaining bytes, in an order that rotates with each heartbeat.
    dedicated_budget_bytes : int
        Separate budget for state that changes rarely; 0 to use the shared budget.
    """

    code: str
    has_priority: bool = False
    dedicated_budget_bytes: int = 0

    @abc.abstractmethod
    def collect(self, budget_bytes: int) -> Any:
        """Return the payload for one heartbeat.

        Parameters
        ----------
        budget_bytes : int
            Maximum size of the JSON text; a longer payload is dropped.

        Returns
        -------
        object
            JSON value; None or an empty value if there is nothing to send.
        """

    @abc.abstractmethod
    def merge(self, sender: str, payload: Any) -> None:
        """Merge the payload of another instance.

        Parameters
        ----------
        sender : str
            Name of the sending instance.
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError
            If the payload is malformed.
        """


def fit_entries(entries: Iterable[Any], budget_bytes: int) -> list[Any]:
    """Return the first entries whose JSON list fits a byte budget.

    Parameters
    ----------
    entries : iterable of object
        JSON values in order of priority.
    budget_bytes : int

    Returns
    -------
    list
    """
    chosen = []
    budget_bytes -= 2  # brackets of the list
    for entry in entries:
        budget_bytes -= len(json.dumps(entry, separators=(",", ":"))) + 1
        if budget_bytes < 0:
            break
        chosen.append(entry)
    return chosen


class TableDigest(Digest):
    """Digest that gossips the entries of a `GossipTable`.

    Parameters
    ----------
    code : str
        One letter that identifies the digest in messages.
    table : GossipTable
    clock : callable
        Returns the current time in seconds.
    on_merge : callable or None
        Called with each received `GossipEntry` that was new.
    merge : callable or None
        Replaces the merge into the table: called with each received
        `GossipEntry`, returns whether it was new.
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
        if self._collections % EXPIRY_INTERVAL_COLLECTIONS == 0:
            self.table.expire(self._clock())
        return self.table.collect(budget_bytes)

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        for key, version, value in payload:
            entry = GossipEntry(str(key), check_integer(version), value)
            if self._merge(entry) and self._on_merge is not None:
                self._on_merge(entry)

    def _merge_into_table(self, entry: GossipEntry) -> bool:
        return self.table.merge(entry, self._clock())


class DigestSet:
    """Divides the byte budget of a heartbeat between the digests.

    Parameters
    ----------
    budget_bytes : int
        Shared budget of one heartbeat.
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
        self._priority_digests: list[Digest] = []
        self._rotating_digests: list[Digest] = []

    def add(self, digest: Digest) -> None:
        """Add a digest, which must have a unique code.

        Parameters
        ----------
        digest : Digest
        """
        group = (
            self._priority_digests if digest.has_priority else self._rotating_digests
        )
        group.append(digest)

    def collect(self) -> dict[str, Any]:
        """Return the payloads for one heartbeat by digest code."""
        payloads: dict[str, Any] = {}
        budget_bytes = self._budget_bytes
        for digest in self._priority_digests + self._rotating_digests:
            dedicated_bytes = digest.dedicated_budget_bytes
            used_bytes = self._collect_one(
                digest, dedicated_bytes or budget_bytes, payloads
            )
            if not dedicated_bytes:
                budget_bytes -= used_bytes
        self._rotating_digests = self._rotating_digests[1:] + self._rotating_digests[:1]
        return payloads

    def _collect_one(
        self, digest: Digest, budget_bytes: int, payloads: dict[str, Any]
    ) -> int:
        payload = digest.collect(budget_bytes - _KEY_OVERHEAD_BYTES)
        if not payload:
            return 0
        size = len(json.dumps(payload, separators=(",", ":"))) + _KEY_OVERHEAD_BYTES
        if size > budget_bytes:
            self._on_fault("digest_too_long")
            return 0
        payloads[digest.code] = payload
        return size

    def merge(self, sender: str, payloads: dict[str, Any]) -> None:
        """Merge received payloads; those with an unknown code are ignored.

        Parameters
        ----------
        sender : str
            Name of the sending instance.
        payloads : dict of str to object
            Payloads by digest code.
        """
        for digest in self._priority_digests + self._rotating_digests:
            payload = payloads.get(digest.code)
            if payload is None:
                continue
            try:
                digest.merge(sender, payload)
            except (TypeError, ValueError):
                self._on_fault("digest_malformed")
