"""Choice between a few engines by what they report of themselves.

Designed for many instances, each of which knows a small part of what the others have
placed: prompts then meet on one engine while others are idle, and go to engines that
were lost unnoticed. A few engines are asked before a prompt is sent; with two or three
of them, the longest queue is nearly as short as if all were known.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding._backends import Backend

SAMPLED_ENGINES = 3
PREFILL_COST_RUNS = 3.0  # a prefill delays all other runs on the engine
SLOW_COST_RUNS = 4.0  # of an engine that paused a stream recently


class EngineLoad(NamedTuple):
    """Requests on an engine, as it reports them.

    Parameters
    ----------
    running : int
        Requests that are being run, those in prefill included.
    prefilling : int
        Of these, requests without an event so far.
    waiting : int
        Requests in its queue.
    """

    running: int
    prefilling: int
    waiting: int


class SampledEngine(NamedTuple):
    """An engine that was asked for its load.

    Parameters
    ----------
    backend : Backend
    load : EngineLoad or None
        None if it did not answer in time.
    """

    backend: Backend
    load: EngineLoad | None


def choose_sampled_engine(
    sampled: Sequence[SampledEngine], *, now: float, rng: random.Random
) -> Backend:
    """Return the least loaded of the engines that answered.

    Parameters
    ----------
    sampled : sequence of SampledEngine
        At least one, the preferred one first.
    now : float
        Seconds.
    rng : random.Random
        Decides between equal ones.

    Returns
    -------
    Backend
        The first one if none answered.
    """
    answered = [each for each in sampled if each.load is not None]
    if not answered:
        return sampled[0].backend

    def estimate_cost(engine: SampledEngine) -> tuple[float, float]:
        load = engine.load
        cost = load.running + PREFILL_COST_RUNS * (load.prefilling + load.waiting)
        if now < engine.backend.slow_until:
            cost += SLOW_COST_RUNS
        return cost, rng.random()

    return min(answered, key=estimate_cost).backend
