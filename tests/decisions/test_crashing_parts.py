"""Parts of prompts that crash servers, beside sound requests with the other parts."""

from __future__ import annotations

from tests.decisions.crashing_parts import Load, Simulation

MAX_LATE_ARRIVALS = 3
CALM_S = 6.0
CRASHING_S = 45.0
SEEDS = range(3)
PLACES = [(count, place) for count in (1, 2, 3, 5, 8) for place in range(count)]


def find_broken(loads) -> list[tuple]:
    """Return the loads under which crashes go on or sound requests are refused."""
    broken = []
    for load in loads:
        for seed in SEEDS:
            outcome = Simulation(load, seed).play(CALM_S, CRASHING_S)
            if outcome.late_arrivals > MAX_LATE_ARRIVALS or outcome.sound_share < 0.5:
                broken.append((load, seed, outcome))
    return broken


def test_a_part_at_any_place_is_told_from_those_that_were_merely_present():
    # Guards against blaming a part of all prompts for the one beside it, and against
    # excusing that one because the other was there each time.
    assert find_broken(Load(count, place) for count, place in PLACES) == []


def test_a_part_that_comes_seldom_is_blocked_beside_others_that_survive():
    loads = [Load(count, place, 4.0) for count, place in PLACES]
    assert find_broken(loads) == []


def test_a_part_is_found_among_many_sound_requests():
    # Most servers run sound requests that have just begun when they are lost.
    loads = [Load(4, place, 1.5, sound_interval_s=0.06) for place in range(4)]
    assert find_broken(loads) == []
