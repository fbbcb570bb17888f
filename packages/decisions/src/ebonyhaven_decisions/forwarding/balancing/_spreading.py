"""Choice among servers by what a request would take there."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

# The wait at a server grows slowly while it has free slots and steeply without any.
WAIT_EXPONENT = 4.0
JITTER_SHARE = 0.02  # among servers that seem equal
LEVEL_STEPS = 14  # of the search for a level, each of which halves the range


class Prospect(NamedTuple):
    """What a server is expected to be like when a request reaches it.

    Parameters
    ----------
    requests : float
        Requests of all instances.
    slots : int
    factor : float
        Time that work takes without a wait, as a multiple of the usual time.
    """

    requests: float
    slots: int
    factor: float

    @property
    def cost(self) -> float:
        """Expected time of a request, as a multiple of the usual time."""
        return self.factor * (1.0 + (self.requests / self.slots) ** WAIT_EXPONENT)


def choose_prospect(
    prospects: Sequence[Prospect], *, unseen: float, rng: random.Random
) -> int:
    """Return the index of the server to send a request to.

    Instances with the same reports would all choose the lowest cost. So the requests
    that they have sent since are laid on the servers up to one level of cost, and the
    choice is random by what each server gets (Dahlin, Interpreting Stale Load
    Information, 2000). Without such requests it is the lowest cost.

    Parameters
    ----------
    prospects : sequence of Prospect
        At least one.
    unseen : float
        Requests that instances with the same reports have sent since.
    rng : random.Random
    """
    if unseen < 1.0:
        costs = [each.cost * (1.0 + JITTER_SHARE * rng.random()) for each in prospects]
        return costs.index(min(costs))
    level = _find_level(prospects, unseen)
    weights = [max(0.0, _count_to_level(each, level)) for each in prospects]
    return rng.choices(range(len(prospects)), weights)[0]


def _find_level(prospects: Sequence[Prospect], unseen: float) -> float:
    """Return a cost up to which the servers take at least the unseen requests."""
    low = min(each.factor for each in prospects)
    high = min(
        each._replace(requests=each.requests + unseen).cost for each in prospects
    )
    for _ in range(LEVEL_STEPS):
        level = (low + high) / 2
        taken = sum(max(0.0, _count_to_level(each, level)) for each in prospects)
        if taken < unseen:
            low = level
        else:
            high = level
    return high


def _count_to_level(prospect: Prospect, level: float) -> float:
    """Return how many more requests raise the cost of a server to a level."""
    if level <= prospect.factor:
        return -prospect.requests
    share = (level / prospect.factor - 1.0) ** (1.0 / WAIT_EXPONENT)
    return prospect.slots * share - prospect.requests
