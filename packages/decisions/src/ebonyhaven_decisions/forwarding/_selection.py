"""Choice of a backend server for a short request.

Answers the load pattern of many instances that send to few servers, each of them
knowing the others' requests only from what servers report with their answers.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ebonyhaven_decisions.forwarding._backends import Backend

FAILURE_WEIGHT = 3.0  # a server that fails a third of its requests counts twice
DISTANCE_WEIGHT = 0.05  # decides between servers that are equally loaded
JITTER = 0.1  # keeps instances with the same view from choosing the same server


def choose_backend(
    candidates: Sequence[Backend],
    *,
    data_centre: str,
    now: float,
    rng: random.Random,
) -> Backend | None:
    """Return the server that is likely to answer first.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable servers.
    data_centre : str
        Where this instance is.
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
        cost = (load + backend.latency_s) * (1.0 + JITTER * rng.random())
        cost *= 1.0 + FAILURE_WEIGHT * backend.failure_share
        is_far = backend.entry.data_centre != data_centre
        return cost + (DISTANCE_WEIGHT if is_far else 0.0)

    return min(candidates, key=estimate_cost)
