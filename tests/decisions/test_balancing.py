"""Expected load and pace of servers, and the choice among them."""

from __future__ import annotations

import math
import random
from collections import Counter

from ebonyhaven_decisions.forwarding import (
    Backend,
    BackendEntry,
    BackendState,
    ServerLoad,
    ServiceTimes,
    choose_backend,
    compute_mean_use,
)
from ebonyhaven_decisions.forwarding.balancing import (
    LoadEstimate,
    Prospect,
    choose_prospect,
)

SLOTS = 6
ROUTE = "call"
IDLE = ServerLoad(0, 0, SLOTS)
HALF_FULL = ServerLoad(3, 0, SLOTS)
FULL = ServerLoad(SLOTS, 4, SLOTS)


def make_server(index, data_centre="dc-a"):
    entry = BackendEntry(
        server_id=f"s{index}",
        started_ms=1,
        service="calls",
        address=f"10.0.0.{index}:80",
        data_centre=data_centre,
        slots=SLOTS,
        state=BackendState.READY,
    )
    return Backend(entry)


def make_servers(loads, at=10.0):
    servers = [make_server(index) for index in range(len(loads))]
    for server, load in zip(servers, loads, strict=True):
        if load is not None:
            server.record_load(load, at)
    return servers


def count_choices(servers, *, now, times=None, draws=300):
    """Return how often each server is chosen by instances with the same view."""
    chosen = (
        choose_backend(
            servers,
            data_centre="dc-a",
            now=now,
            rng=random.Random(seed),
            times=times,
        )
        for seed in range(draws)
    )
    return Counter(each.server_id for each in chosen)


def expect(estimate, now, *, mean=3.0, service_s=0.2):
    usual = estimate.expect_usual(now, mean)
    return estimate.expect_others(now, usual=usual, service_s=service_s)


def test_report_counts_in_full_at_once():
    estimate = LoadEstimate()
    estimate.record(ServerLoad(4, 2, SLOTS), in_flight=2, now=10.0)
    assert expect(estimate, 10.0) == 4.0


def test_report_ages_into_the_usual_load_and_not_into_an_idle_server():
    estimate = LoadEstimate()
    for step in range(100):
        estimate.record(ServerLoad(4, 0, SLOTS), in_flight=0, now=0.1 * step)
    estimate.record(IDLE, in_flight=0, now=10.0)
    expected = [expect(estimate, 10.0 + age) for age in (0.0, 0.1, 0.3, 2.0)]
    assert expected[0] == 0.0
    assert expected == sorted(expected)
    assert expected[-1] > 3.0


def test_long_unheard_server_is_expected_to_be_like_the_others():
    estimate = LoadEstimate()
    estimate.record(FULL, in_flight=0, now=10.0)
    assert math.isclose(expect(estimate, 100.0), 3.0, abs_tol=0.01)


def test_older_report_that_comes_late_is_left_out():
    estimate = LoadEstimate()
    estimate.record(HALF_FULL, in_flight=0, now=10.0)
    estimate.record(FULL, in_flight=0, now=9.0)
    assert expect(estimate, 10.0) == 3.0


def test_told_pace_ages_into_the_usual_pace():
    estimate = LoadEstimate()
    for step in range(100):
        estimate.record(HALF_FULL._replace(pace=1.0), in_flight=0, now=0.1 * step)
    estimate.record(HALF_FULL._replace(pace=4.0), in_flight=0, now=9.95)
    paces = [math.exp(estimate.expect_pace_log(9.95 + age)) for age in (0.0, 1.0, 9.0)]
    assert math.isclose(paces[0], 4.0)
    assert paces == sorted(paces, reverse=True)
    assert paces[-1] < 1.1


def test_pace_that_is_no_longer_told_is_forgotten():
    estimate = LoadEstimate()
    estimate.record(HALF_FULL._replace(pace=4.0), in_flight=0, now=10.0)
    estimate.record(HALF_FULL, in_flight=0, now=10.1)
    assert estimate.expect_pace_log(10.1) is None


def teach(times, estimate, *, follows, rng):
    """Answer requests under paces that times follow, or that mean nothing."""
    for step in range(400):
        pace = math.exp(rng.gauss(0.0, 0.7))
        for moment in (0.0, 0.01):  # the second report confirms the first
            load = HALF_FULL._replace(pace=pace)
            estimate.record(load, in_flight=0, now=step + moment)
        latency_s = 0.1 * (pace if follows else 1.0)
        times.record_answer(estimate, route=ROUTE, latency_s=latency_s)


def test_paces_that_times_follow_are_trusted():
    times = ServiceTimes()
    teach(times, LoadEstimate(), follows=True, rng=random.Random(1))
    assert times.pace_trust > 0.8


def test_paces_that_say_nothing_of_the_work_lose_their_weight():
    times = ServiceTimes()
    teach(times, LoadEstimate(), follows=False, rng=random.Random(1))
    assert times.pace_trust < 0.2


def test_work_takes_longer_on_a_machine_that_tells_so():
    times, estimate = ServiceTimes(), LoadEstimate()
    assert times.estimate_delay_factor(estimate, 0.0) == 1.0
    for step in range(100):
        estimate.record(HALF_FULL._replace(pace=1.0), in_flight=0, now=0.1 * step)
    assert times.estimate_delay_factor(estimate, 9.9) == 1.0
    estimate.record(HALF_FULL._replace(pace=4.0), in_flight=0, now=9.9)
    assert 3.0 < times.estimate_delay_factor(estimate, 9.9) <= 4.0
    estimate.record(HALF_FULL._replace(pace=0.5), in_flight=0, now=9.91)
    assert times.estimate_delay_factor(estimate, 9.91) == 1.0


def test_servers_that_tell_no_pace_are_waited_for_as_before():
    times, estimate = ServiceTimes(), LoadEstimate()
    for step in range(10):
        estimate.record(FULL, in_flight=0, now=0.1 * step)
        times.record_answer(estimate, route=ROUTE, latency_s=3.0)
    assert times.estimate_delay_factor(estimate, 1.0) == 1.0


def test_routes_that_take_longer_make_no_server_slow():
    times = ServiceTimes()
    short, long = LoadEstimate(), LoadEstimate()
    for step in range(200):
        for estimate, route, latency_s in ((short, "a", 0.02), (long, "b", 0.5)):
            estimate.record(HALF_FULL, in_flight=0, now=0.1 * step)
            times.record_answer(estimate, route=route, latency_s=latency_s)
    factors = [times.estimate_factor(each, 20.0) for each in (short, long)]
    assert all(0.9 < each < 1.1 for each in factors)


def test_server_that_turns_slow_without_a_word_gets_less():
    times = ServiceTimes()
    servers = make_servers([HALF_FULL] * 3)
    for step in range(100):
        for server in servers:
            latency_s = 0.3 if server is servers[0] else 0.1
            server.record_load(HALF_FULL, 0.1 * step + 10.0)
            times.record_answer(server.load, route=ROUTE, latency_s=latency_s)
    counts = count_choices(servers, now=20.0, times=times)
    assert counts["s0"] == 0


def test_wait_of_a_full_server_is_not_taken_for_slowness():
    times = ServiceTimes()
    servers = make_servers([HALF_FULL, ServerLoad(SLOTS, SLOTS, SLOTS)])
    for _ in range(100):
        for server, latency_s in zip(servers, (0.1, 0.2), strict=True):
            times.record_answer(server.load, route=ROUTE, latency_s=latency_s)
    factors = [times.estimate_factor(each.load, 10.0) for each in servers]
    assert all(0.9 < each < 1.1 for each in factors)


def test_slow_machine_gets_requests_only_when_the_others_are_full():
    slow = ServerLoad(0, 0, SLOTS, 4.0)
    servers = make_servers([slow, HALF_FULL._replace(pace=1.0)])
    assert count_choices(servers, now=10.0)["s0"] == 0
    servers = make_servers([slow, ServerLoad(SLOTS, 6, SLOTS, 1.0)])
    assert count_choices(servers, now=10.0)["s1"] == 0


def test_instances_that_know_nothing_choose_different_servers():
    counts = count_choices(make_servers([None] * 4), now=10.0)
    assert min(counts[f"s{index}"] for index in range(4)) > 40


def test_server_that_joins_gets_its_part_before_it_has_told_its_load():
    servers = make_servers([HALF_FULL] * 3 + [None])
    assert 0 < count_choices(servers, now=10.0)["s3"] < 300


def test_idle_server_that_has_told_so_is_chosen():
    servers = make_servers([HALF_FULL, HALF_FULL, IDLE, FULL])
    assert count_choices(servers, now=10.01)["s2"] == 300


def test_own_requests_count_at_once():
    servers = make_servers([IDLE, HALF_FULL])
    servers[0].in_flight = 5
    assert count_choices(servers, now=10.0)["s1"] == 300


def test_server_that_leaves_one_request_unanswered_gets_no_second_one():
    servers = make_servers([HALF_FULL] * 3)
    servers[0].in_flight = 1
    assert count_choices(servers, now=10.5)["s0"] == 0


def test_instances_with_the_same_reports_choose_different_servers():
    servers = [make_server(index) for index in range(4)]
    for server, running in zip(servers, (0, 3, 3, 6), strict=True):
        load = ServerLoad(running, 0, SLOTS)
        server.load.record(load, in_flight=0, now=10.0, is_shared=True)
    counts = count_choices(servers, now=10.5)
    assert counts["s0"] == max(counts.values())
    assert counts["s0"] < 200
    assert counts["s3"] == min(counts[f"s{index}"] for index in range(4))


def test_failing_server_is_avoided_beside_a_loaded_one():
    servers = make_servers([IDLE, HALF_FULL])
    for _ in range(10):
        servers[0].record_result(succeeded=False, latency_s=None)
    assert count_choices(servers, now=10.0)["s1"] == 300


def test_hot_data_centre_sends_requests_elsewhere_only_when_it_is_loaded():
    def build(load):
        servers = [make_server(0), make_server(1, data_centre="dc-b")]
        servers[0].record_load(load, 10.0)
        servers[1].record_load(IDLE, 10.0)
        return servers

    assert count_choices(build(HALF_FULL), now=10.0)["s0"] == 300
    assert count_choices(build(FULL), now=10.0)["s1"] == 300


def test_of_many_servers_a_few_are_compared_and_the_choice_is_even():
    counts = count_choices(make_servers([HALF_FULL] * 60), now=10.0, draws=1200)
    assert len(counts) == 60
    assert max(counts.values()) < 3 * 1200 / 60


def test_least_cost_is_chosen_without_unseen_requests():
    prospects = [Prospect(3.0, SLOTS, 1.0), Prospect(0.0, SLOTS, 1.0)]
    assert choose_prospect(prospects, unseen=0.0, rng=random.Random(1)) == 1


def test_many_unseen_requests_spread_by_room():
    prospects = [Prospect(0.0, 2, 1.0), Prospect(0.0, 8, 1.0)]
    rng = random.Random(1)
    chosen = [choose_prospect(prospects, unseen=50.0, rng=rng) for _ in range(1000)]
    assert 150 < chosen.count(0) < 250


def test_mean_use_leaves_out_servers_that_told_nothing():
    assert compute_mean_use(make_servers([HALF_FULL, None])) == 0.5
