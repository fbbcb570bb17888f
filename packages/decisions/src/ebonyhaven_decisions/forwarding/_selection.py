"""Selection of a backend server for a short request.

Designed for many instances that send requests to few servers, where an instance
knows the load from other instances only from the load reports in responses.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ebonyhaven_decisions.forwarding._backends import Backend
from ebonyhaven_decisions.forwarding.balancing import (
    Prospect,
    ServiceTimes,
    choose_prospect,
)

FAILURE_WEIGHT = 3.0  # doubles the cost of a server that fails a third of its requests
REMOTE_DATA_CENTRE_COST = 0.15  # breaks ties between equally loaded servers
# Own requests are exact while reports age, and what they wait for may never come.
OWN_REQUESTS_WEIGHT = 3.0
MAX_COMPARED = 24  # of more servers, so many are drawn at random
UNREPORTED_JITTER_SHARE = 0.1  # among servers that report no load
DEFAULT_USE = 0.5  # of the slots of servers that have reported nothing


def choose_backend(
    candidates: Sequence[Backend],
    *,
    data_centre: str,
    now: float,
    rng: random.Random,
    times: ServiceTimes | None = None,
) -> Backend | None:
    """Return the server at which a request is expected to take the shortest time.

    The time is that of the work at the server's pace and of the wait for a slot,
    increased by the share of failed requests and for servers in other data centres.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable servers.
    data_centre : str
        Data centre of this instance.
    now : float
        Seconds.
    rng : random.Random
    times : ServiceTimes or None
        Usual times of the service's requests; None if unknown.

    Returns
    -------
    Backend or None
    """
    if len(candidates) > MAX_COMPARED:
        candidates = rng.sample(candidates, MAX_COMPARED)
    if len(candidates) < 2:
        return next(iter(candidates), None)
    if not any(each.load.is_known for each in candidates):
        return min(
            candidates, key=lambda each: _cost_unreported(each, data_centre, rng)
        )
    prospects, unseen = _estimate_prospects(
        candidates, data_centre=data_centre, now=now, times=times or ServiceTimes()
    )
    return candidates[choose_prospect(prospects, unseen=unseen, rng=rng)]


def compute_mean_use(candidates: Sequence[Backend]) -> float:
    """Return the mean requests per slot that servers last reported.

    Parameters
    ----------
    candidates : sequence of Backend
        Servers of one service.

    Returns
    -------
    float
        `DEFAULT_USE` if none has reported any.
    """
    uses = [each.load.requests_per_slot for each in candidates if each.load.is_known]
    return sum(uses) / len(uses) if uses else DEFAULT_USE


def _cost_unreported(backend: Backend, data_centre: str, rng: random.Random) -> float:
    """Return a cost by what this instance alone knows of a server."""
    cost = (1.0 + backend.in_flight) / max(1, backend.entry.slots) + backend.latency_s
    cost *= 1.0 + UNREPORTED_JITTER_SHARE * rng.random()
    cost *= 1.0 + FAILURE_WEIGHT * backend.failure_share
    is_remote = backend.entry.data_centre != data_centre
    return cost + (REMOTE_DATA_CENTRE_COST if is_remote else 0.0)


def _estimate_prospects(
    candidates: Sequence[Backend],
    *,
    data_centre: str,
    now: float,
    times: ServiceTimes,
) -> tuple[list[Prospect], float]:
    """Return the prospects, and how many requests others with the same view sent."""
    mean_others = _average_others(candidates)
    prospects = []
    unseen = 0.0
    for each in candidates:
        factor = times.estimate_factor(each.load, now)
        service_s = factor * times.usual_s
        usual = each.load.expect_usual(now, mean_others)
        others = each.load.expect_others(now, usual=usual, service_s=service_s)
        if each.load.is_shared:
            unseen += usual * max(0.0, now - each.load.reported_at) / service_s
        factor *= 1.0 + FAILURE_WEIGHT * each.failure_share
        if each.entry.data_centre != data_centre:
            factor += REMOTE_DATA_CENTRE_COST
        slots = max(1, each.entry.slots)
        factor *= 1.0 + OWN_REQUESTS_WEIGHT * each.in_flight / slots
        prospects.append(Prospect(others + each.in_flight, slots, factor))
    return prospects, unseen


def _average_others(candidates: Sequence[Backend]) -> float:
    known = [each.load.others for each in candidates if each.load.is_known]
    if known:
        return sum(known) / len(known)
    return DEFAULT_USE * sum(each.entry.slots for each in candidates) / len(candidates)
