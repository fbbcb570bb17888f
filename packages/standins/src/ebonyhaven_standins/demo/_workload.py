"""Requests of the demo: analyses, decisions and look-ups."""

from __future__ import annotations

import random

from ebonyhaven_standins.caller import CompletionRequest
from ebonyhaven_standins.demo._texts import (
    CASTING_NOTES,
    DOSSIER_PAGES,
    generate_analysis_prompt,
    generate_look_up_prompt,
)
from ebonyhaven_standins.scenario import ANALYSIS, LOOK_UP, Arrival

LARGE_WORKSPACE = "studio-dunaj"
SMALL_WORKSPACES = ("studio-hron", "studio-vah", "licences")
ARRIVAL_SPAN_S = 14.0
ANALYSIS_COUNT = 20
DECISION_COUNT = 6
LOOK_UP_COUNT = 60
ANALYSIS_TOKENS_RANGE = (200, 360)
LOOK_UP_TOKENS_RANGE = (8, 24)


def make_arrivals(seed: int) -> list[Arrival]:
    """Return the requests of the demo, sorted by time.

    The large workspace sends about two thirds of the analyses and look-ups. Decisions
    are not repeatable.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    """
    rng = random.Random(seed)
    arrivals = [_make_analysis(rng) for _ in range(ANALYSIS_COUNT)]
    arrivals += [_make_decision(rng) for _ in range(DECISION_COUNT)]
    arrivals += [_make_look_up(rng) for _ in range(LOOK_UP_COUNT)]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _choose_workspace(rng: random.Random) -> str:
    if rng.random() < 2 / 3:
        return LARGE_WORKSPACE
    return rng.choice(SMALL_WORKSPACES)


def _make_analysis(rng: random.Random) -> Arrival:
    request = CompletionRequest(
        workspace=_choose_workspace(rng),
        request_class=ANALYSIS,
        prompt=generate_analysis_prompt(rng, CASTING_NOTES),
        max_tokens=rng.randint(*ANALYSIS_TOKENS_RANGE),
    )
    return Arrival(rng.uniform(0, ARRIVAL_SPAN_S), request)


def _make_decision(rng: random.Random) -> Arrival:
    request = CompletionRequest(
        workspace="licences",
        request_class=ANALYSIS,
        prompt=generate_analysis_prompt(rng, DOSSIER_PAGES),
        max_tokens=rng.randint(*ANALYSIS_TOKENS_RANGE),
        repeatable=False,
    )
    return Arrival(rng.uniform(0, ARRIVAL_SPAN_S), request)


def _make_look_up(rng: random.Random) -> Arrival:
    request = CompletionRequest(
        workspace=_choose_workspace(rng),
        request_class=LOOK_UP,
        prompt=generate_look_up_prompt(rng),
        max_tokens=rng.randint(*LOOK_UP_TOKENS_RANGE),
    )
    return Arrival(rng.uniform(0, ARRIVAL_SPAN_S), request)
