"""Entry points of callers, chosen from the membership view."""

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

STABLE_AFTER_S = 10.0  # without a change of the membership view


class EntryLists:
    """Chooses the entry points that callers receive.

    Parameters
    ----------
    membership : Membership
    rng : random.Random
    clock : callable
        Returns the current time in seconds.
    """

    __slots__ = (
        "_changed_at",
        "_clock",
        "_excluded",
        "_membership",
        "_preferably_excluded",
        "_rng",
    )

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
        self._excluded: dict[str, frozenset[str]] = {}  # by reason
        self._preferably_excluded: dict[str, frozenset[str]] = {}
        self._changed_at = clock()

    def set_excluded(
        self, names: Iterable[str], *, reason: str, may_exclude_all: bool = True
    ) -> None:
        """Set the instances that callers do not receive as entry points.

        Parameters
        ----------
        names : iterable of str
            Replace those that were excluded for the same reason.
        reason : str
        may_exclude_all : bool
            Whether they stay excluded if there are no others.
        """
        groups = self._excluded if may_exclude_all else self._preferably_excluded
        groups[reason] = frozenset(names)

    def record_change(self) -> None:
        """Shorten the time to live of entry lists after a membership change.

        The effect lasts ``STABLE_AFTER_S`` seconds.
        """
        self._changed_at = self._clock()

    def choose(self, *, load: float) -> EntryList:
        """Return the entry points for a caller.

        Parameters
        ----------
        load : float
            Used share of the capacity of this instance, 0 to 1.

        Returns
        -------
        EntryList
        """
        own = self._membership.own
        now = self._clock()
        is_unstable = (
            now - self._changed_at < STABLE_AFTER_S
            or self._membership.is_isolated(now)
            or self._membership.is_outdated(now)
        )
        candidates = self._list_candidates(now, load)
        avoided = frozenset().union(*self._preferably_excluded.values())
        return choose_entries(
            [each for each in candidates if each.name not in avoided] or candidates,
            data_centre=own.data_centre,
            region=own.region,
            rng=self._rng,
            is_stable=not is_unstable,
        )

    def _list_candidates(self, now: float, load: float) -> list[EntryCandidate]:
        own_name = self._membership.own.name
        excluded = self._membership.unresponsive.union(*self._excluded.values())
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
