"""Which instances send heartbeats to which, from hash-ordered rings."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ebonyhaven_decisions._members import MemberRecord, MemberState

NEIGHBOURS = 4


def _hash_position(ring: int, name: str) -> bytes:
    return hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()


class Rings:
    """Heartbeat targets of each instance.

    Every instance has one target on each of ``neighbours`` rings, each ordered
    by another hash of the names, so the targets form a random graph of constant
    degree. On every second ring the target is in another data centre where one
    exists, so that the loss of a data centre leaves watchers.

    Parameters
    ----------
    records : iterable of MemberRecord
        Dead instances are left out.
    neighbours : int
        Count of targets of an instance.
    """

    __slots__ = ("_sources", "_targets")

    def __init__(
        self, records: Iterable[MemberRecord], *, neighbours: int = NEIGHBOURS
    ):
        members = [each for each in records if each.state != MemberState.DEAD]
        self._targets: dict[str, list[str]] = {each.name: [] for each in members}
        self._sources: dict[str, list[str]] = {each.name: [] for each in members}
        several = len({each.data_centre for each in members}) > 1
        for ring in range(neighbours):
            ordered = sorted(members, key=lambda m: _hash_position(ring, m.name))
            self._add_ring(ordered, apart=several and ring % 2 == 1)

    def targets(self, name: str) -> tuple[str, ...]:
        """Return the instances that an instance sends its heartbeats to.

        Parameters
        ----------
        name : str

        Returns
        -------
        tuple of str
        """
        return tuple(self._targets.get(name, ()))

    def sources(self, name: str) -> tuple[str, ...]:
        """Return the instances whose heartbeats an instance expects.

        Parameters
        ----------
        name : str

        Returns
        -------
        tuple of str
        """
        return tuple(self._sources.get(name, ()))

    def _add_ring(self, ordered: list[MemberRecord], *, apart: bool) -> None:
        for index, member in enumerate(ordered):
            target = self._find_target(ordered, index, apart=apart)
            if target is None and apart:
                target = self._find_target(ordered, index, apart=False)
            if target is not None:
                self._targets[member.name].append(target)
                self._sources[target].append(member.name)

    def _find_target(
        self, ordered: list[MemberRecord], index: int, *, apart: bool
    ) -> str | None:
        member = ordered[index]
        chosen = self._targets[member.name]
        for step in range(1, len(ordered)):
            other = ordered[(index + step) % len(ordered)]
            if other.name in chosen:
                continue
            if not apart or other.data_centre != member.data_centre:
                return other.name
        return None
