"""Requests of the load scenarios, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ebonyhaven_standins.bench._open_loop import PlannedRequest
from ebonyhaven_standins.scenario import ANALYSIS, LOOK_UP

ANALYSIS_TOKENS = (60, 180)
ANALYSIS_CHARACTERS = (1200, 3600)
LOOK_UP_TOKENS = (8, 24)
LOOK_UP_CHARACTERS = 160
LOOK_UP_PATIENCE_S = 0.5
ANALYSIS_PATIENCE_S = 5.0
SHARED_CHARACTERS = 512
INSTANCES = 6

WORKSPACE_LOADS: Mapping[str, float] = {
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
"""Share of the load that each workspace sends; fairness is about their service."""


def plan_look_ups(
    rate_per_s: float, *, begin_s: float, end_s: float, source: random.Random
) -> list[PlannedRequest]:
    """Return look-ups of all workspaces at a mean rate.

    Parameters
    ----------
    rate_per_s : float
    begin_s, end_s : float
        Seconds after the start.
    source : random.Random

    Returns
    -------
    list of PlannedRequest
    """
    names = list(WORKSPACE_LOADS)
    return [
        _plan_look_up(at_s, source.choice(names), source)
        for at_s in _draw_times(rate_per_s, begin_s, end_s, source)
    ]


def plan_analyses(
    tokens_per_s: float,
    *,
    begin_s: float,
    end_s: float,
    source: random.Random,
    loads: Mapping[str, float] = WORKSPACE_LOADS,
) -> list[PlannedRequest]:
    """Return analyses that ask for a mean number of output tokens a second.

    Parameters
    ----------
    tokens_per_s : float
        Of all workspaces together.
    begin_s, end_s : float
        Seconds after the start.
    source : random.Random
    loads : mapping of str to float
        Share of each workspace.

    Returns
    -------
    list of PlannedRequest
    """
    mean_tokens = sum(ANALYSIS_TOKENS) / 2
    planned = []
    for name, share in loads.items():
        rate = tokens_per_s * share / mean_tokens
        for at_s in _draw_times(rate, begin_s, end_s, source):
            planned.append(_plan_analysis(at_s, name, source))
    return planned


def _draw_times(
    rate_per_s: float, begin_s: float, end_s: float, source: random.Random
) -> list[float]:
    times = []
    at_s = begin_s + source.expovariate(rate_per_s)
    while at_s < end_s:
        times.append(at_s)
        at_s += source.expovariate(rate_per_s)
    return times


def _plan_look_up(at_s: float, name: str, source: random.Random) -> PlannedRequest:
    return PlannedRequest(
        at_s=at_s,
        workspace=name,
        class_name=LOOK_UP,
        prompt=_write_prompt(name, "look-up", LOOK_UP_CHARACTERS, source),
        max_tokens=source.randint(*LOOK_UP_TOKENS),
        instance=source.randrange(INSTANCES),
        patience_s=LOOK_UP_PATIENCE_S,
    )


def _plan_analysis(at_s: float, name: str, source: random.Random) -> PlannedRequest:
    length = source.randint(*ANALYSIS_CHARACTERS)
    return PlannedRequest(
        at_s=at_s,
        workspace=name,
        class_name=ANALYSIS,
        prompt=_write_prompt(name, "analysis", length, source),
        max_tokens=source.randint(*ANALYSIS_TOKENS),
        instance=source.randrange(INSTANCES),
        patience_s=ANALYSIS_PATIENCE_S,
    )


def _write_prompt(name: str, kind: str, length: int, source: random.Random) -> str:
    """Return a prompt whose head is shared by all of a workspace's prompts."""
    head = f"Rules of {name} for each {kind}. ".ljust(
        min(SHARED_CHARACTERS, length // 2), "."
    )
    body = f" File {source.getrandbits(48):012x}. "
    return (head + body).ljust(length, "-")
