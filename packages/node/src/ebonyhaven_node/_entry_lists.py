"""Entry lists from the membership."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ebonyhaven_decisions import (
    EntryCandidate,
    EntryList,
    Membership,
    MemberState,
    choose_entries,
)

SETTLED_S = 10.0


class EntryLists:
    """Chooses the instances that callers are told to use.

    Parameters
    ----------
    membership : Membership
    rng : random.Random
    clock : callable
        Returns seconds.
    """

    __slots__ = ("_changed_at", "_clock", "_leaving", "_membership", "_rng")

    def __init__(
        self,
        *,
        membership: Membership,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._membership = membership
        self._rng = rng
        self._clock = clock
        self._leaving: frozenset[str] = frozenset()
        self._changed_at = clock()

    def set_leaving(self, names: Iterable[str]) -> None:
        """Set the instances that the platform lists as leaving.

        Parameters
        ----------
        names : iterable of str
        """
        self._leaving = frozenset(names)

    def note_change(self) -> None:
        """Keep answers for a shorter time, as the view changes."""
        self._changed_at = self._clock()

    def choose(self, *, load: float) -> EntryList:
        """Return the instances that a caller should use.

        Parameters
        ----------
        load : float
            Load of this instance, 0 to 1.

        Returns
        -------
        EntryList
        """
        own = self._membership.own
        now = self._clock()
        unsettled = (
            now - self._changed_at < SETTLED_S
            or self._membership.is_isolated(now)
            or self._membership.is_outdated(now)
        )
        return choose_entries(
            self._list_candidates(now, load),
            data_centre=own.data_centre,
            region=own.region,
            rng=self._rng,
            is_stable=not unsettled,
        )

    def _list_candidates(self, now: float, load: float) -> list[EntryCandidate]:
        own_name = self._membership.own.name
        excluded = self._membership.unresponsive | self._leaving
        outdated = self._membership.is_outdated(now)
        return [
            EntryCandidate(
                name=record.name,
                address=record.caller_address,
                data_centre=record.data_centre,
                region=record.region,
                load=load if record.name == own_name else self._find_load(record.name),
            )
            for record in self._membership.table
            if record.state == MemberState.LIVE
            and record.name not in excluded
            and (record.name == own_name or not outdated)
        ]

    def _find_load(self, name: str) -> float:
        report = self._membership.loads.get(name)
        return report.load_tenths / 10 if report else 0.0
