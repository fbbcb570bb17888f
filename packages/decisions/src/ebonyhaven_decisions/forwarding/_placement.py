"""Placement of generations and of copies of their memory on engines.

Designed for two load patterns: a burst of requests, where concurrent prefills on
one engine delay each other, and the loss of a data centre, where all its runs resume
at the same time on the engines with their copies.
"""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from ebonyhaven_decisions.forwarding._backends import Backend
from ebonyhaven_decisions.forwarding._engine_use import (
    USABLE_MEMORY_SHARE,
    EngineUse,
    TokenDemand,
    estimate_use,
    fits_in_memory,
)

# The rest is left to prompts that can still meet their target, on any instance.
LATE_MEMORY_SHARE = 0.7
COPY_MEMORY_SHARE = 0.65
PREFILL_WEIGHT = 3.0  # a prefill delays all other runs on the engine
COPY_WEIGHT = 0.2  # a copy occupies memory but no compute time
FAILURE_COST_RUNS = 1.0
REMOTE_COST_RUNS = 0.4  # decides between engines with about equal use
SLOW_COST_RUNS = 4.0  # the cost of a prefill in progress
JITTER_RUNS = 0.15
TYPICAL_RUN_TOKENS = 8000.0
MIN_PREFERRED_ENGINES = 2  # usually, at least one has no prefill in progress
PREFERRED_ENGINE_SHARE = 0.25  # prompts that arrive together choose different engines
NON_PREFERRED_COST_RUNS = 2.0  # below the cost of a prefill in progress


def is_prompt_admitted(*, waited_s: float, queue_s: float, target_s: float) -> bool:
    """Return whether a prompt may be sent to an engine now.

    Designed for overload of prefill capacity, where serving prompts in order of arrival
    makes all of them miss their target. Streams that can still meet the target are
    admitted first. A stream that has missed it, or would miss it behind the prompts
    queued on the engine, waits for an engine with an empty prefill queue.

    Parameters
    ----------
    waited_s : float
        Time since the request arrived, or since the last event of its stream.
    queue_s : float
        Time to prefill the prompts queued on the engine and this one; 0 if the
        engine has no queued prompt.
    target_s : float
        Target for the time to the next event.
    """
    return queue_s == 0.0 or waited_s + queue_s <= target_s


def choose_memory_share(*, waited_s: float, target_s: float) -> float:
    """Return the share of an engine's memory that a prompt may use.

    Designed for the time after a burst: served in order of arrival, the prompts that
    piled up make all later ones late too, long after the load has fallen. Prompts that
    can still meet their target go first, and late ones use what these leave.

    Parameters
    ----------
    waited_s : float
        Time since the request arrived, or since the last event of its stream.
    target_s : float
        Target for the time to the next event.
    """
    return USABLE_MEMORY_SHARE if waited_s <= target_s else LATE_MEMORY_SHARE


def select_preferred_engines(
    prompt_id: str, candidates: Sequence[Backend]
) -> frozenset[str]:
    """Return the preferred engines of a prompt, the same on every instance.

    A request that is retried at another instance, after the loss of the first one,
    then reaches the engine that still caches its prompt. Requests that arrive at
    several instances at the same time do not all choose the same idle engine.

    Parameters
    ----------
    prompt_id : str
        Identifies the part of the prompt that is unique to the request.
    candidates : sequence of Backend

    Returns
    -------
    frozenset of str
        Server ids, by rendezvous hashing.
    """

    def compute_weight(backend: Backend) -> int:
        return zlib.crc32(f"{prompt_id}/{backend.server_id}".encode())

    ordered = sorted(candidates, key=compute_weight, reverse=True)
    count = max(MIN_PREFERRED_ENGINES, int(PREFERRED_ENGINE_SHARE * len(candidates)))
    return frozenset(each.server_id for each in ordered[:count])


def _estimate_cost(use: EngineUse, backend: Backend, rng: random.Random) -> float:
    """Return the cost of one more run on an engine, in typical runs."""
    weighted_tokens = use.run_tokens + COPY_WEIGHT * use.copy_tokens
    weighted_tokens += PREFILL_WEIGHT * use.prefill_tokens
    cost = (
        weighted_tokens / TYPICAL_RUN_TOKENS + FAILURE_COST_RUNS * backend.failure_share
    )
    return cost + JITTER_RUNS * rng.random()


def rank_engines(
    candidates: Sequence[Backend],
    *,
    demand: TokenDemand,
    memory_tokens: int,
    peers: Mapping[str, EngineUse],
    rng: random.Random,
    now: float = 0.0,
    prompt_id: str = "",
    data_centre: str | None = None,
    memory_share: float = USABLE_MEMORY_SHARE,
) -> list[Backend]:
    """Return the engines on which a generation fits, by their estimated cost.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable engines.
    demand : TokenDemand
    memory_tokens : int
        Memory capacity of one engine.
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    rng : random.Random
    now : float
        Seconds.
    prompt_id : str
        See `select_preferred_engines`; empty for no preference.
    data_centre : str or None
        Data centre whose engines are preferred; None for no preference.
    memory_share : float
        Share of an engine's memory that may be used.

    Returns
    -------
    list of Backend
        The lowest cost first.
    """
    fitting = [
        each
        for each in candidates
        if fits_in_memory(each, demand, memory_tokens, peers, memory_share)
    ]
    preferred = (
        select_preferred_engines(prompt_id, fitting) if prompt_id else frozenset()
    )

    def estimate(backend: Backend) -> float:
        cost = _estimate_cost(estimate_use(backend, peers), backend, rng)
        if now < backend.slow_until:
            cost += SLOW_COST_RUNS
        if data_centre not in (None, backend.entry.data_centre):
            cost += REMOTE_COST_RUNS
        return cost + (
            0.0 if backend.server_id in preferred else NON_PREFERRED_COST_RUNS
        )

    return sorted(fitting, key=estimate)


def select_replaceable_engines(candidates: Sequence[Backend]) -> list[Backend]:
    """Return the engines but for the only one of a software version.

    Designed for the start and the end of a release, when a version has a single
    engine: a stream that it begins could not go on anywhere after its loss.

    Parameters
    ----------
    candidates : sequence of Backend

    Returns
    -------
    list of Backend
        All candidates if none can be replaced.
    """
    counts = Counter(each.software_version for each in candidates)
    replaceable = [
        each
        for each in candidates
        if each.software_version is None or counts[each.software_version] > 1
    ]
    return replaceable or list(candidates)


def choose_copy_holder(
    candidates: Sequence[Backend],
    *,
    source: Backend,
    demand: TokenDemand,
    memory_tokens: int,
    peers: Mapping[str, EngineUse],
    rng: random.Random,
    now: float = 0.0,
    is_suspect_data_centre: Callable[[str], bool] = lambda _: False,
) -> Backend | None:
    """Return the engine for the copy of a run.

    Engines in other data centres than the run's are preferred, because the engines of
    a data centre tend to fail together. A suspect data centre is still preferred to
    the data centre of the run, because its engines may recover shortly. Only engines
    of the software version of the run can resume from the copy.

    Parameters
    ----------
    candidates : sequence of Backend
        Usable engines.
    source : Backend
        Engine with the run.
    demand : TokenDemand
    memory_tokens : int
        Memory capacity of one engine.
    peers : mapping of str to EngineUse
        Usage of the other instances, by server id.
    rng : random.Random
    now : float
        Seconds.
    is_suspect_data_centre : callable
        Returns for a data centre whether it is suspect.

    Returns
    -------
    Backend or None
    """
    version = source.software_version
    if version is None:
        return None
    others = [
        each
        for each in candidates
        if each.key != source.key and each.software_version == version
    ]
    source_data_centre = source.entry.data_centre
    remote = [each for each in others if each.entry.data_centre != source_data_centre]
    unsuspected = [
        each for each in remote if not is_suspect_data_centre(each.entry.data_centre)
    ]
    for group in (unsuspected, remote, others):
        ranked = rank_engines(
            group,
            demand=demand,
            memory_tokens=memory_tokens,
            peers=peers,
            rng=rng,
            now=now,
            memory_share=COPY_MEMORY_SHARE,
        )
        if ranked:
            return ranked[0]
    return None
