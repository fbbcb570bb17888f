"""Entry points: the instances to which a caller should send its requests."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import Any, NamedTuple

from ebonyhaven_decisions._loads import OVERLOAD_TENTHS

MAX_ENTRIES = 4
TTL_S = 5.0
UNSTABLE_TTL_S = 2.0
TTL_JITTER_RATIO = 0.2
MIN_WEIGHT = 0.05


class EntryCandidate(NamedTuple):
    """An instance that may be returned to callers as an entry point.

    Parameters
    ----------
    name : str
    address : str
        ``IP:PORT`` for callers.
    data_centre, region : str
    load : float
        Used share of its capacity, 0 to 1.
    """

    name: str
    address: str
    data_centre: str
    region: str
    load: float

    @property
    def overloaded(self) -> bool:
        """Whether the load is at least `OVERLOAD_TENTHS` tenths of the capacity."""
        return self.load * 10 >= OVERLOAD_TENTHS

    def describe(self) -> dict[str, Any]:
        """Return the entry as a JSON object."""
        return {
            "instance": self.name,
            "address": self.address,
            "data_centre": self.data_centre,
            "load": round(self.load, 2),
        }


class EntryList(NamedTuple):
    """Entry points returned to a caller.

    Parameters
    ----------
    entries : tuple of EntryCandidate
        In the order in which to try them.
    keep_s : float
        Seconds for which the caller may cache the list.
    """

    entries: tuple[EntryCandidate, ...]
    keep_s: float

    def describe(self) -> dict[str, Any]:
        """Return the list as a JSON object."""
        entries = [entry.describe() for entry in self.entries]
        return {"entries": entries, "keep_s": self.keep_s}


def _rank_distance(candidate: EntryCandidate, data_centre: str, region: str) -> int:
    if candidate.data_centre == data_centre:
        return 0
    return 1 if candidate.region == region else 2


def _draw_sort_key(candidate: EntryCandidate, rng: random.Random) -> float:
    weight = max(MIN_WEIGHT, 1.0 - candidate.load)
    return -math.log(1.0 - rng.random()) / weight


def _include_other_data_centre(
    ordered: list[EntryCandidate], limit: int
) -> list[EntryCandidate]:
    """Return the first entries, the last one replaced by one in another data centre."""
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
    is_stable: bool = True,
    limit: int = MAX_ENTRIES,
) -> EntryList:
    """Choose the entry points of a caller.

    Overloaded instances come last. Otherwise the order is by distance: same data
    centre, same region, other regions. At equal distance it is random, weighted by
    free capacity, so that callers spread over all instances although load reports are
    delayed and callers cache their lists.

    Parameters
    ----------
    candidates : iterable of EntryCandidate
        Live instances.
    data_centre, region : str
        Presumed location of the caller.
    rng : random.Random
    is_stable : bool
        Whether the membership view has not changed recently.
    limit : int
        Maximum number of entries.

    Returns
    -------
    EntryList
        ``keep_s`` has jitter, so that callers do not refresh at the same time.
    """
    ordered = sorted(
        candidates,
        key=lambda each: (
            each.overloaded,
            _rank_distance(each, data_centre, region),
            _draw_sort_key(each, rng),
        ),
    )
    keep_s = TTL_S if is_stable else UNSTABLE_TTL_S
    keep_s *= rng.uniform(1 - TTL_JITTER_RATIO, 1 + TTL_JITTER_RATIO)
    entries = _include_other_data_centre(ordered, limit) if ordered else []
    return EntryList(tuple(entries), round(keep_s, 2))
