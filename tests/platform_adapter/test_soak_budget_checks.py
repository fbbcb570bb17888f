"""The checks of rests, handed on times and callers that left find what they should."""

from __future__ import annotations

from tests.platform_adapter.soak._budget_checks import (
    MAX_EXCESSES,
    check_rests,
    check_times_handed_on,
)
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import (
    Disturbance,
    DisturbanceKind,
    FaultLog,
)
from tests.platform_adapter.soak._gone_checks import MIN_RUNS, check_gone
from tests.platform_adapter.soak._server_log import (
    Arrival,
    NamedRest,
    RunEnd,
    ServerLog,
)
from tests.platform_adapter.test_soak_checks import make_result

ADDRESSES = {"p0-1": "10.0.0.1:8000"}


def make_arrival(number, at, path="/once/x", **options):
    return Arrival(f"r{number}", path, "p0-1", at, True, at, **options)


def make_history(results, *disturbances, **links):
    faults = FaultLog()
    faults.processes += disturbances
    faults.server_links += links.get("server_links", [])
    return ContactHistory(results, faults, ADDRESSES)


def test_third_request_in_a_rest_is_found():
    rest = NamedRest("p0-1", "r1", 20.0, 4.0)
    arrivals = [
        make_arrival(number, at)
        for number, at in enumerate((20.4, 20.6, 22.0, 23.9, 24.1))
    ]
    results = [make_result(number) for number in range(9)]
    assert len(check_rests(arrivals, [rest], make_history(results))) == 1
    few = arrivals[:3] + arrivals[4:]
    assert not check_rests(few, [rest], make_history(results))
    others = [make_result(number, instance=f"n{number}") for number in range(9)]
    assert not check_rests(arrivals, [rest], make_history(others))


def test_rest_is_not_held_against_a_restarted_or_harmed_instance():
    rest = NamedRest("p0-1", "r1", 20.0, 4.0)
    arrivals = [make_arrival(number, 21.0 + number) for number in range(3)]
    results = [make_result(number) for number in range(9)]
    for kind, is_found in (
        (DisturbanceKind.KILL, False),
        (DisturbanceKind.FREEZE, False),
        (DisturbanceKind.CUT, False),
        (DisturbanceKind.STORE_LINK, True),
    ):
        history = make_history(results, Disturbance("n0", 21.0, 22.0, kind))
        assert bool(check_rests(arrivals, [rest], history)) is is_found
    link = Disturbance(ADDRESSES["p0-1"], 19.0, 21.0, DisturbanceKind.SERVER_LINK)
    history = make_history(results, server_links=[link])
    assert not check_rests(arrivals, [rest], history)


def test_servers_that_are_handed_more_time_are_found():
    count = MAX_EXCESSES + 1
    results = [make_result(number, sent_at=50.0) for number in range(count)]
    history = make_history(results)
    fair = [make_arrival(each, 50.1, remaining_s=1.4) for each in range(count)]
    longer = [make_arrival(each, 50.1, remaining_s=2.5) for each in range(count)]
    again = [make_arrival(each, 51.0, remaining_s=1.4) for each in range(count)]
    shorter = [make_arrival(each, 51.0, remaining_s=0.5) for each in range(count)]
    assert check_times_handed_on(longer, history)
    assert check_times_handed_on([*fair, *again], history)
    assert not check_times_handed_on([*fair, *shorter], history)
    assert not check_times_handed_on(longer[1:], history)


def make_gone(path, left_at=50.5):
    return [
        make_result(number, path=path, sent_at=50.0, ended_at=left_at, is_given_up=True)
        for number in range(MIN_RUNS)
    ]


def test_requests_that_reach_servers_after_their_callers_left_are_found():
    results = make_gone("/once/x")
    log = ServerLog()
    log.arrivals += [make_arrival(number, 51.2) for number in range(4)]
    assert check_gone(results, log, make_history(results))
    log.arrivals.pop()
    assert not check_gone(results, log, make_history(results))


def test_work_after_callers_left_is_found():
    results = make_gone("/long/x")
    for ended_at, is_found in ((50.8, False), (53.1, True)):
        log = ServerLog()
        log.arrivals += [make_arrival(each, 50.1, "/long/x") for each in range(8)]
        log.ends += [RunEnd(f"r{each}", "p0-1", ended_at, False) for each in range(8)]
        assert bool(check_gone(results, log, make_history(results))) is is_found
