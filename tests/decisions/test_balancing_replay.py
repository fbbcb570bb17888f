"""Even load from reports: the rule beside one queue and beside the earlier rule.

The aim is a wait of at most 1.3 times that of one queue, and needless waits in at most
0.1 of the time, for 70 instances at 0.8 load with reports 0.2 s old. It is not reached
there (docs/design/BALANCING.md has the figures). So the bounds are what callers need:
an answer within `TARGET_WORK` times the mean work for 99 in 100, and no worse than
before; and the aim for needless waits with fewer instances or less load.
"""

from __future__ import annotations

import math
import random

from tests.decisions.balancing_replay import (
    EARLIER_RULE,
    RULE,
    Trace,
    burst,
    play_mean,
    rise_and_fall,
)

TARGET_WORK = 8.0  # target of a short request, as a multiple of its mean work
MAX_NEEDLESS = 0.1  # the aim, where it is reached
MS_PER_S = 1000.0
CHANGE_S = 3.0  # after which paces change places
PACES = (1.0, 1.0, 1.5, 4.0)


def change_places(at: float, server: int) -> float:
    return PACES[(server + int(at // CHANGE_S)) % len(PACES)]


def flicker(at: float, server: int) -> float:
    """Return a figure that changes 20 times a second."""
    return math.exp(random.Random(int(at * 20) * 7 + server).gauss(0.0, 0.8))


def check(trace):
    """Check what callers need, and that the earlier rule does no better."""
    now, before = (play_mean(trace, rule) for rule in (RULE, EARLIER_RULE))
    assert now.time_p99 <= TARGET_WORK * trace.work_s * MS_PER_S
    assert now.wait_p95 <= before.wait_p95
    assert now.wait_p99 <= before.wait_p99
    assert now.needless <= before.needless
    return now, before


def test_seventy_instances_with_reports_of_their_own_answers():
    for servers in (4, 12):
        check(Trace(70, servers))


def test_seventy_instances_with_the_same_reports_do_not_herd():
    trace = Trace(70, 12, report_age_s=0.2)
    now, before = check(trace)
    assert now.wait_p99 < 0.5 * before.wait_p99


def test_answers_take_little_longer_than_with_one_queue():
    trace = Trace(70, 12, slots=8, work_s=1.0, report_age_s=0.2, duration_s=30.0)
    now, _ = check(trace)
    one_queue = play_mean(trace, None)
    assert now.time_p95 <= 1.3 * one_queue.time_p95
    assert now.time_p99 <= 1.3 * one_queue.time_p99


def test_half_loaded_servers():
    now, _ = check(Trace(24, 4, use=0.5))
    assert now.needless <= MAX_NEEDLESS


def test_few_instances():
    now, _ = check(Trace(9, 6, slots=8))
    assert now.needless <= MAX_NEEDLESS


def test_wave():
    now, _ = check(Trace(9, 6, slots=8, use=0.7, rate=rise_and_fall))
    assert now.needless <= MAX_NEEDLESS


def test_bursts():
    check(Trace(9, 6, slots=8, use=0.7, rate=burst))


def test_paces_that_change_places():
    trace = Trace(12, 4, use=0.4, pace=change_places, duration_s=30.0)
    now, before = check(trace)
    assert now.time_p95 < before.time_p95


def slow_down_at_times(at: float, server: int) -> float:
    """Return 2.5 in 15 of 100 spans of 0.6 s."""
    is_slow = random.Random(int(at / 0.6) * 31 + server).random() < 0.15
    return 2.5 if is_slow else 1.0


def test_ninety_instances_and_machines_that_are_slow_for_moments():
    check(Trace(91, 4, work_s=0.06, use=0.43, pace=slow_down_at_times))


def test_paces_that_change_places_untold():
    trace = Trace(
        12,
        4,
        use=0.4,
        pace=change_places,
        told_pace=lambda *_: 1.0,
        duration_s=30.0,
    )
    check(trace)


def test_told_paces_that_change_many_times_a_second_and_mean_nothing():
    check(Trace(12, 4, use=0.7, told_pace=flicker))


def test_servers_that_report_no_load_are_chosen_as_before():
    trace = Trace(9, 6, slots=8, tells_load=False)
    assert play_mean(trace, RULE) == play_mean(trace, EARLIER_RULE)
