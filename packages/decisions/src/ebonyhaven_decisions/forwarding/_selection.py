"""Selection of a backend server for a short request.

Designed for many instances that send requests to few servers, where an instance
knows the load from other instances only from the load reports in responses.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ebonyhaven_decisions.forwarding._backends import Backend

FAILURE_WEIGHT = 3.0  # doubles the cost of a server that fails a third of its requests
REMOTE_DATA_CENTRE_COST = 0.15  # breaks ties between equally loaded servers
JITTER_SHARE = 0.1  # prevents instances with equal views from choosing the same server


def choose_backend(
    candidates: Sequence[Backend],
    *,
    data_centre: str,
    now: float,
    rng: random.Random,
) -> Backend | None:
    """Return the server with the lowest cost.

    The cost is the load per slot plus the mean latency in seconds, increased by the
    share of failed requests and for servers in other data centres.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable servers.
    data_centre : str
        Data centre of this instance.
    now : float
        Seconds.
    rng : random.Random

    Returns
    -------
    Backend or None
    """
    if not candidates:
        return None

    def estimate_cost(backend: Backend) -> float:
        load = (1.0 + backend.estimate_load(now)) / max(1, backend.entry.slots)
        cost = (load + backend.latency_s) * (1.0 + JITTER_SHARE * rng.random())
        cost *= 1.0 + FAILURE_WEIGHT * backend.failure_share
        is_remote = backend.entry.data_centre != data_centre
        return cost + (REMOTE_DATA_CENTRE_COST if is_remote else 0.0)

    return min(candidates, key=estimate_cost)
