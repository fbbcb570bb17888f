"""The checks of the soak find requests that are handled by the wrong configuration."""

from __future__ import annotations

from tests.platform_adapter.soak._configuration_checks import (
    APPLY_S,
    MAX_DENIALS,
    MAX_DENIALS_OUT_OF_TOUCH,
    MAX_LATE,
    ConfigurationHistory,
    check_configurations_in_force,
    check_denials,
    check_reverts,
    check_timeouts,
)
from tests.platform_adapter.soak._configurations import PlayedVersion
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import (
    Disturbance,
    DisturbanceKind,
    FaultLog,
)
from tests.platform_adapter.soak._server_log import Arrival
from tests.platform_adapter.stand_ins import KEY
from tests.platform_adapter.test_soak_checks import make_result

PATH = "/moved-0/"
SERVICES = {"p0-1": "plain", "o0-1": "other"}
CHANGE_AT = 100.0


def make_version(version, at, service="plain", *, keys=(KEY,), timeout_s=0.3):
    services = {PATH: frozenset((service,)), "/timed/": frozenset(("other",))}
    return PlayedVersion(version, at, services, frozenset(keys), timeout_s)


def move_at(at):
    """Return versions of which the second moves a route to another service."""
    return [make_version(1, 0.0), make_version(2, at, "other")]


def send(number, at, *, path=PATH, took_s=0.1, status=200, **options):
    """Return a request, and its arrival at a server that runs it at once."""
    stamp = "p0-1" if status == 200 else None
    return make_result(
        number,
        path=f"{path}{number}",
        sent_at=at,
        ended_at=at + took_s,
        status=status,
        stamp=stamp,
        **options,
    )


def run_at(process, result):
    return Arrival(result.request_id, result.path, process, result.sent_at + 0.01, True)


def build_history(results, arrivals=(), *, played=None, faults=None):
    contact = ContactHistory(results, faults or FaultLog(), {})
    played = played or move_at(CHANGE_AT)
    return ConfigurationHistory(results, arrivals, played, SERVICES, contact)


def test_run_at_the_old_service_is_found_once_the_change_is_overdue():
    for delay_s, is_found in ((APPLY_S - 0.1, False), (APPLY_S + 0.1, True)):
        result = send(1, CHANGE_AT + delay_s)
        history = build_history([result], [run_at("p0-1", result)])
        assert bool(check_configurations_in_force(history)) is is_found


def test_run_at_the_new_service_is_no_fault():
    result = send(1, CHANGE_AT + APPLY_S + 0.1)
    history = build_history([result], [run_at("o0-1", result)])
    assert not check_configurations_in_force(history)


def test_refusal_of_a_route_that_is_there_is_found():
    result = send(1, CHANGE_AT + 50.0, status=404)
    assert check_configurations_in_force(build_history([result]))


def test_run_with_a_dropped_key_is_found():
    played = [make_version(1, 0.0), make_version(2, CHANGE_AT, keys=())]
    result = send(1, CHANGE_AT + APPLY_S + 0.1)
    history = build_history([result], [run_at("p0-1", result)], played=played)
    assert check_configurations_in_force(history)


def test_instance_out_of_touch_may_be_behind():
    faults = FaultLog()
    at = CHANGE_AT + APPLY_S + 0.1
    faults.links.append(Disturbance("n0", at - 2.0, at, DisturbanceKind.STORE_LINK))
    result = send(1, at)
    history = build_history([result], [run_at("p0-1", result)], faults=faults)
    assert not check_configurations_in_force(history)


def test_older_version_after_the_effect_of_a_newer_one_is_found():
    first, second = send(1, CHANGE_AT + 0.1), send(2, CHANGE_AT + 0.5)
    arrivals = [run_at("o0-1", first), run_at("p0-1", second)]
    assert check_reverts(build_history([first, second], arrivals))


def test_older_version_after_a_restart_is_not_a_revert():
    faults = FaultLog()
    kill = DisturbanceKind.KILL
    faults.processes.append(Disturbance("n0", CHANGE_AT + 0.2, CHANGE_AT + 0.4, kill))
    first, second = send(1, CHANGE_AT + 0.1), send(2, CHANGE_AT + 0.5)
    arrivals = [run_at("o0-1", first), run_at("p0-1", second)]
    assert not check_reverts(build_history([first, second], arrivals, faults=faults))


def test_requests_without_an_answer_at_their_timeout_are_found():
    for took_s, is_found in ((0.4, False), (1.2, True)):
        results = [
            send(number, 200.0 + number, path="/timed/", took_s=took_s, status=504)
            for number in range(MAX_LATE + 1)
        ]
        arrivals = [run_at("o0-1", each) for each in results]
        assert bool(check_timeouts(build_history(results, arrivals))) is is_found


def test_refusals_of_proper_requests_are_found():
    for count, is_found in ((MAX_DENIALS, False), (MAX_DENIALS + 1, True)):
        for status in (400, 404, 431):
            results = [
                send(number, 200.0 + number, status=status) for number in range(count)
            ]
            assert bool(check_denials(build_history(results))) is is_found


def test_refusals_by_instances_out_of_touch_are_found():
    faults = FaultLog()
    faults.links.append(Disturbance("n0", 190.0, 300.0, DisturbanceKind.STORE_LINK))
    results = [
        send(number, 200.0 + number, status=401)
        for number in range(MAX_DENIALS_OUT_OF_TOUCH + 1)
    ]
    assert check_denials(build_history(results, faults=faults))
    assert not check_denials(build_history(results[1:], faults=faults))
