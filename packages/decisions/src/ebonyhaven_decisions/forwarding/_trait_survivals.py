"""When servers last ran requests with a trait without a crash."""

from __future__ import annotations

import math
from collections.abc import Iterable

MAX_SURVIVALS = 1024


class TraitSurvivals:
    """Times at which servers last survived traits; the oldest record is evicted first.

    A trait that no server has survived, as far as is known, has survived at ``-inf``.
    """

    __slots__ = ("_survived_at",)

    def __init__(self) -> None:
        self._survived_at: dict[str, float] = {}

    def __contains__(self, trait: str) -> bool:
        return trait in self._survived_at

    def get(self, trait: str) -> float:
        """Return when a server last survived a trait, seconds.

        Parameters
        ----------
        trait : str
        """
        return self._survived_at.get(trait, -math.inf)

    def record(self, trait: str, survived_at: float) -> float:
        """Record that a server survived a trait, unless one has later.

        Parameters
        ----------
        trait : str
        survived_at : float
            Seconds.

        Returns
        -------
        float
            When a server last survived it, seconds.
        """
        latest = max(survived_at, self._survived_at.pop(trait, -math.inf))
        self._survived_at[trait] = latest
        if len(self._survived_at) > MAX_SURVIVALS:
            self._survived_at.pop(next(iter(self._survived_at)))
        return latest

    def list_ages(
        self, now: float, traits: Iterable[str] | None = None
    ) -> dict[str, float]:
        """Return the ages of the records in seconds, by trait.

        Parameters
        ----------
        now : float
            Seconds.
        traits : iterable of str or None
            Restricts the result to these.
        """
        if traits is None:
            traits = self._survived_at
        return {
            trait: now - self._survived_at[trait]
            for trait in traits
            if trait in self._survived_at
        }
