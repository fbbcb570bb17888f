"""Heartbeat topology: targets of each instance on hash-ordered rings."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

from ebonyhaven_decisions._members import MemberRecord, MemberState

NEIGHBOUR_COUNT = 4
MAX_KEPT_POSITIONS = 4096  # of all instances on all rings


@functools.lru_cache(maxsize=MAX_KEPT_POSITIONS)
def _hash_position(ring: int, name: str) -> bytes:
    return hashlib.blake2b(f"{ring} {name}".encode(), digest_size=8).digest()


class Rings:
    """Heartbeat targets and sources of each instance.

    Every instance has one target on each of ``neighbour_count`` rings. Each ring is
    ordered by a different hash of the names, so the targets form a random graph of
    constant out-degree. On every second ring the target is in another data centre
    if there is one, so that the loss of a whole data centre is detected.

    Parameters
    ----------
    records : iterable of MemberRecord
        Records of all instances; dead ones are ignored.
    neighbour_count : int
        Number of targets of an instance.
    """

    __slots__ = ("_sources", "_targets")

    def __init__(
        self, records: Iterable[MemberRecord], *, neighbour_count: int = NEIGHBOUR_COUNT
    ):
        members = [each for each in records if each.state != MemberState.DEAD]
        self._targets: dict[str, list[str]] = {each.name: [] for each in members}
        self._sources: dict[str, list[str]] = {each.name: [] for each in members}
        spans_data_centres = len({each.data_centre for each in members}) > 1
        for ring in range(neighbour_count):
            ordered = sorted(members, key=lambda m: _hash_position(ring, m.name))
            self._add_ring(
                ordered, in_other_data_centre=spans_data_centres and ring % 2 == 1
            )

    def targets(self, name: str) -> tuple[str, ...]:
        """Return the instances that receive heartbeats from an instance.

        Parameters
        ----------
        name : str

        Returns
        -------
        tuple of str
        """
        return tuple(self._targets.get(name, ()))

    def sources(self, name: str) -> tuple[str, ...]:
        """Return the instances that send heartbeats to an instance.

        Parameters
        ----------
        name : str

        Returns
        -------
        tuple of str
        """
        return tuple(self._sources.get(name, ()))

    def _add_ring(
        self, ordered: list[MemberRecord], *, in_other_data_centre: bool
    ) -> None:
        for index, member in enumerate(ordered):
            target = self._find_target(
                ordered, index, in_other_data_centre=in_other_data_centre
            )
            if target is None and in_other_data_centre:
                target = self._find_target(ordered, index, in_other_data_centre=False)
            if target is not None:
                self._targets[member.name].append(target)
                self._sources[target].append(member.name)

    def _find_target(
        self, ordered: list[MemberRecord], index: int, *, in_other_data_centre: bool
    ) -> str | None:
        member = ordered[index]
        chosen = self._targets[member.name]
        for step in range(1, len(ordered)):
            other = ordered[(index + step) % len(ordered)]
            if other.name in chosen:
                continue
            if not in_other_data_centre or other.data_centre != member.data_centre:
                return other.name
        return None
