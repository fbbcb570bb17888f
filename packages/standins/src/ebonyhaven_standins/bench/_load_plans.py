"""Request plans of the load scenarios, generated from a seeded random source."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ebonyhaven_standins.bench._open_loop import PlannedRequest
from ebonyhaven_standins.scenario import ANALYSIS, LOOK_UP

ANALYSIS_TOKENS_RANGE = (60, 180)
ANALYSIS_CHARACTERS_RANGE = (1200, 3600)
LOOK_UP_TOKENS_RANGE = (8, 24)
LOOK_UP_CHARACTERS = 160
LOOK_UP_RETRY_WINDOW_S = 0.5
ANALYSIS_RETRY_WINDOW_S = 5.0
SHARED_PREFIX_CHARACTERS = 512
INSTANCE_COUNT = 6

WORKSPACE_LOAD_SHARES: Mapping[str, float] = {
    "large-a": 0.30,
    "large-b": 0.20,
    "large-c": 0.15,
    "middle-a": 0.075,
    "middle-b": 0.075,
    "middle-c": 0.075,
    "middle-d": 0.075,
    "small-a": 0.0167,
    "small-b": 0.0167,
    "small-c": 0.0166,
}
"""Share of the offered load that each workspace sends.

Fairness compares the tokens that the workspaces receive, not these shares.
"""


def plan_look_ups(
    rate_per_s: float, *, begin_s: float, end_s: float, rng: random.Random
) -> list[PlannedRequest]:
    """Return look-ups with Poisson arrivals, each of a random workspace.

    Parameters
    ----------
    rate_per_s : float
        Mean rate of all workspaces together.
    begin_s, end_s : float
        Seconds after the start.
    rng : random.Random

    Returns
    -------
    list of PlannedRequest
    """
    names = list(WORKSPACE_LOAD_SHARES)
    return [
        _plan_look_up(at_s, rng.choice(names), rng)
        for at_s in _draw_times(rate_per_s, begin_s, end_s, rng)
    ]


def plan_analyses(
    tokens_per_s: float,
    *,
    begin_s: float,
    end_s: float,
    rng: random.Random,
    workspace_shares: Mapping[str, float] = WORKSPACE_LOAD_SHARES,
) -> list[PlannedRequest]:
    """Return analyses with Poisson arrivals at a mean rate of requested tokens.

    Parameters
    ----------
    tokens_per_s : float
        Mean of the requested output tokens per second of all workspaces together.
    begin_s, end_s : float
        Seconds after the start.
    rng : random.Random
    workspace_shares : mapping of str to float
        Share of `tokens_per_s` that each workspace requests.

    Returns
    -------
    list of PlannedRequest
    """
    mean_tokens = sum(ANALYSIS_TOKENS_RANGE) / 2
    planned = []
    for name, share in workspace_shares.items():
        rate = tokens_per_s * share / mean_tokens
        for at_s in _draw_times(rate, begin_s, end_s, rng):
            planned.append(_plan_analysis(at_s, name, rng))
    return planned


def _draw_times(
    rate_per_s: float, begin_s: float, end_s: float, rng: random.Random
) -> list[float]:
    times = []
    at_s = begin_s + rng.expovariate(rate_per_s)
    while at_s < end_s:
        times.append(at_s)
        at_s += rng.expovariate(rate_per_s)
    return times


def _plan_look_up(at_s: float, name: str, rng: random.Random) -> PlannedRequest:
    return PlannedRequest(
        at_s=at_s,
        workspace=name,
        class_name=LOOK_UP,
        prompt=_make_prompt(name, "look-up", LOOK_UP_CHARACTERS, rng),
        max_tokens=rng.randint(*LOOK_UP_TOKENS_RANGE),
        instance=rng.randrange(INSTANCE_COUNT),
        retry_window_s=LOOK_UP_RETRY_WINDOW_S,
    )


def _plan_analysis(at_s: float, name: str, rng: random.Random) -> PlannedRequest:
    length = rng.randint(*ANALYSIS_CHARACTERS_RANGE)
    return PlannedRequest(
        at_s=at_s,
        workspace=name,
        class_name=ANALYSIS,
        prompt=_make_prompt(name, "analysis", length, rng),
        max_tokens=rng.randint(*ANALYSIS_TOKENS_RANGE),
        instance=rng.randrange(INSTANCE_COUNT),
        retry_window_s=ANALYSIS_RETRY_WINDOW_S,
    )


def _make_prompt(name: str, kind: str, length: int, rng: random.Random) -> str:
    """Return a prompt whose prefix is shared by its workspace and kind."""
    prefix = f"Rules of {name} for each {kind}. ".ljust(
        min(SHARED_PREFIX_CHARACTERS, length // 2), "."
    )
    body = f" File {rng.getrandbits(48):012x}. "
    return (prefix + body).ljust(length, "-")
