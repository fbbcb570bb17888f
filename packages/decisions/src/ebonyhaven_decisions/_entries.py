"""Which instances a caller is told to use, and for how long."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import Any, NamedTuple

from ebonyhaven_decisions._loads import OVERLOAD_TENTHS

MAX_ENTRIES = 4
KEEP_S = 5.0
UNSETTLED_KEEP_S = 2.0
KEEP_SPREAD = 0.2
LOWEST_WEIGHT = 0.05


class EntryCandidate(NamedTuple):
    """An instance that may be offered to callers.

    Parameters
    ----------
    name : str
    address : str
        ``IP:PORT`` for callers.
    data_centre, region : str
    load : float
        Share of its capacity in use, 0 to 1.
    """

    name: str
    address: str
    data_centre: str
    region: str
    load: float

    @property
    def overloaded(self) -> bool:
        """Whether it is to be offered only after all others."""
        return self.load * 10 >= OVERLOAD_TENTHS

    def describe(self) -> dict[str, Any]:
        """Return the entry as JSON values."""
        return {
            "instance": self.name,
            "address": self.address,
            "data_centre": self.data_centre,
            "load": round(self.load, 2),
        }


class EntryList(NamedTuple):
    """Answer to a caller.

    Parameters
    ----------
    entries : tuple of EntryCandidate
        In the order to try.
    keep_s : float
        Seconds that the caller may keep the answer.
    """

    entries: tuple[EntryCandidate, ...]
    keep_s: float

    def describe(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        entries = [entry.describe() for entry in self.entries]
        return {"entries": entries, "keep_s": self.keep_s}


def _rank_distance(candidate: EntryCandidate, data_centre: str, region: str) -> int:
    if candidate.data_centre == data_centre:
        return 0
    return 1 if candidate.region == region else 2


def _draw_key(candidate: EntryCandidate, rng: random.Random) -> float:
    weight = max(LOWEST_WEIGHT, 1.0 - candidate.load)
    return -math.log(1.0 - rng.random()) / weight


def _reserve_elsewhere(
    ordered: list[EntryCandidate], limit: int
) -> list[EntryCandidate]:
    """Return the first entries, the last of them in another data centre."""
    chosen = ordered[:limit]
    if limit < 2 or len({each.data_centre for each in chosen}) != 1:
        return chosen
    first = chosen[0].data_centre
    for candidate in ordered[limit:]:
        if candidate.data_centre != first and not candidate.overloaded:
            return [*chosen[:-1], candidate]
    return chosen


def choose_entries(
    candidates: Iterable[EntryCandidate],
    *,
    data_centre: str,
    region: str,
    rng: random.Random,
    settled: bool = True,
    limit: int = MAX_ENTRIES,
) -> EntryList:
    """Choose the instances that a caller is told to use.

    Those that are not overloaded come first, then the near ones. Among equals
    the order is random with weights by free capacity: callers that keep their
    answers spread over all instances, although loads are known late.

    Parameters
    ----------
    candidates : iterable of EntryCandidate
        Live instances.
    data_centre, region : str
        Where the caller is presumed to be.
    rng : random.Random
    settled : bool
        Whether the view on the instances did not change lately.
    limit : int
        Highest count of entries.

    Returns
    -------
    EntryList
        The keep time varies, so that callers do not ask at the same time.
    """
    ordered = sorted(
        candidates,
        key=lambda each: (
            each.overloaded,
            _rank_distance(each, data_centre, region),
            _draw_key(each, rng),
        ),
    )
    keep_s = KEEP_S if settled else UNSETTLED_KEEP_S
    keep_s *= rng.uniform(1 - KEEP_SPREAD, 1 + KEEP_SPREAD)
    entries = _reserve_elsewhere(ordered, limit) if ordered else []
    return EntryList(tuple(entries), round(keep_s, 2))
