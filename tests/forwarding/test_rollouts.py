"""Requests and answers of a service while its version is rolled out."""

from __future__ import annotations

import json

from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    BackendEntry,
    BackendState,
)
from ebonyhaven_decisions.forwarding.rollouts import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)
from ebonyhaven_node.forwarding.rollouts import EvidenceSection, build_evidence_board

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    event,
    make_entry,
    refusal,
)
from tests.forwarding.streaming import SIZE_HEADERS, open_stream

STORE_TIME_S = 1000.0


def roll_out(service="plain", share=1.0, state=RolloutState.IN_PROGRESS, **options):
    """Start an instance at a stage of a roll-out from v1 to v2."""
    harness = ForwardingHarness(**options)
    if service == "plain":
        for number in (7, 8):
            harness.state.put_backend(make_entry(f"p-{number}", software_version="v2"))
    set_stage(harness, service, share, state)
    return harness


def set_stage(harness, service, share, state=RolloutState.IN_PROGRESS):
    order = RolloutOrder("o-1", service, "v2", 12.0, STORE_TIME_S)
    gate = harness.state.backends.rollouts
    gate.read_store_time = lambda: STORE_TIME_S
    gate.apply_stage(
        RolloutStage(
            order, state, 1, share, STORE_TIME_S, STORE_TIME_S + 9, "n1", "", ("v1",)
        ),
        0.0,
    )


def send(harness, path="/repeat/x", request_id="r1", **options):
    caller = harness.open_caller()
    caller.request(path, request_id, method="GET", body=b"", **options)
    return caller


def find_version(harness, address):
    return next(
        each.software_version
        for each in harness.state.backends
        if each.entry.address == address
    )


def judge(harness, service="plain"):
    gate = harness.state.backends.rollouts
    order = gate.find_order(service)
    return harness.gateway.rollouts.evidence.judge(order, (), harness.reactor.seconds())


def list_codes(harness, version="v2"):
    """Return what is counted of a version, times without their bucket."""
    (fields,) = harness.gateway.rollouts.evidence.export().values()
    codes = {}
    for _, name, _, counts in fields[4]:
        for code, count in counts.items():
            if name == version:
                kind = code[0]
                codes[kind] = codes.get(kind, 0) + count
    return codes


def test_share_of_the_short_requests_reaches_the_new_version():
    harness = roll_out(share=0.2)
    versions = []
    for number in range(50):
        send(harness, request_id=f"r{number}")
        server, _, _ = harness.take_request()
        versions.append(find_version(harness, server.address))
        server.receive(answer(f"r{number}"))
        harness.advance(0.01)
    assert 9 <= versions.count("v2") <= 11
    verdict = judge(harness)
    assert (verdict.requests, verdict.exposed) == (50, versions.count("v2"))


def test_reverted_version_gets_no_request():
    harness = roll_out(share=0.0, state=RolloutState.REVERTED)
    for number in range(20):
        send(harness, request_id=f"r{number}")
        server, _, _ = harness.take_request()
        assert find_version(harness, server.address) == "v1"
        server.receive(answer(f"r{number}"))
        harness.advance(0.01)


def test_request_is_kept_back_if_its_version_is_reverted_while_it_connects():
    harness = roll_out()
    harness.is_accepting = False
    send(harness)
    set_stage(harness, "plain", 0.0, RolloutState.REVERTED)
    harness.is_accepting = True
    harness.advance(0.05)
    server, _, _ = harness.take_request()
    assert find_version(harness, server.address) == "v1"


def test_failure_that_a_retry_hides_counts():
    harness = roll_out()
    caller = send(harness)
    for status in (500, 200):
        server, _, _ = harness.take_request()
        server.receive(answer("r1", b"x", status))
        harness.advance(0.05)
    assert caller.read_answer()[0] == 200
    assert list_codes(harness) == {"n": 2, "b": 1, "t": 1}


def test_slow_answer_that_a_hedge_hides_counts_by_its_time():
    harness = roll_out()
    caller = send(harness)
    slow, _, _ = harness.take_request()
    harness.advance(0.11)
    fast, _, _ = harness.take_request()
    assert fast is not slow
    fast.receive(answer("r1"))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 200
    assert list_codes(harness) == {"n": 2, "t": 2}


def test_connection_that_breaks_off_counts_as_lost():
    harness = roll_out()
    send(harness)
    server, _, _ = harness.take_request()
    server.reset()
    harness.advance(0.05)
    assert list_codes(harness) == {"n": 1, "l": 1}


def test_refusals_are_no_failures():
    harness = roll_out()
    send(harness)
    server, _, _ = harness.take_request()
    server.receive(refusal("r1"))
    harness.advance(0.01)
    assert list_codes(harness) == {}


def test_caller_that_leaves_is_no_failure():
    harness = roll_out()
    caller = send(harness)
    harness.take_request()
    caller.disconnect()
    harness.advance(2.0)
    assert list_codes(harness) == {}


def test_time_limit_of_the_caller_is_no_failure():
    harness = roll_out()
    caller = send(harness, "/once/x", X_Deadline_Ms="150")
    harness.take_request()
    harness.advance(0.5)
    assert caller.read_answer()[0] == 504
    assert list_codes(harness) == {}


def test_no_answer_within_the_time_of_the_route_is_a_failure():
    harness = roll_out()
    caller = send(harness, "/once/x")
    harness.take_request()
    harness.advance(1.0)
    assert caller.read_answer()[0] == 504
    assert list_codes(harness) == {"n": 1, "b": 1}


def start_new_stream(*events):
    harness = roll_out("engines", engines=6, versions=("v1", "v2"))
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE_HEADERS)
    server, sent = open_stream(harness, *events)
    assert find_version(harness, server.address) == "v2"
    return harness, caller, server, sent


def test_stream_tells_its_first_event_and_pace_before_it_ends():
    harness, _, server, _ = start_new_stream(1)
    assert list_codes(harness) == {"n": 1, "t": 1}
    for number in range(2, 18):
        server.receive(chunk(event(number)))
        harness.advance(0.01)
    assert list_codes(harness) == {"n": 1, "t": 1, "p": 1}
    server.receive(STREAM_END)
    harness.advance(0.01)
    assert list_codes(harness) == {"n": 1, "t": 1, "p": 1, "g": 1}


def test_failure_that_a_resume_hides_counts():
    harness, caller, server, sent = start_new_stream(1, 2)
    server.reset()
    harness.advance(0.01)
    holder, _, _ = harness.take_request()
    assert find_version(harness, holder.address) == "v2"
    assert holder.address == sent["x-kv-backup"]
    assert list_codes(harness) == {"n": 1, "t": 1, "l": 1}


def test_stream_of_a_reverted_version_does_not_go_on_there():
    harness, caller, server, _ = start_new_stream(1, 2)
    set_stage(harness, "engines", 0.0, RolloutState.REVERTED)
    server.reset()
    harness.advance(0.1)
    assert harness.count_waiting() == 0
    assert caller.transport.disconnecting or caller.transport.disconnected


def test_stream_of_a_reverted_version_runs_on_at_its_server():
    harness, caller, server, _ = start_new_stream(1, 2)
    set_stage(harness, "engines", 0.0, RolloutState.REVERTED)
    server.receive(chunk(event(3)) + STREAM_END)
    harness.advance(0.01)
    assert caller.read_answer()[3]


def test_nothing_is_counted_without_an_order():
    harness = ForwardingHarness()
    send(harness)
    server, _, _ = harness.take_request()
    server.receive(answer("r1"))
    harness.advance(0.01)
    assert harness.gateway.rollouts.evidence.export() is None
    assert not harness.gateway.rollouts.evidence_section.keeps_reporting


def make_section(instances, requests=0):
    """Return the section of an instance that saw some requests on five routes."""
    directory = BackendDirectory()
    for number, version in enumerate(("v1", "v2")):
        directory.put(
            BackendEntry(
                f"s-{number}",
                1,
                "plain",
                "10.0.0.1:80",
                "a",
                6,
                BackendState.READY,
                version,
            ),
            0.0,
        )
    names = [f"instance-{number:03}" for number in range(instances)]
    board = build_evidence_board(directory, lambda: names, own_name=names[0])
    order = RolloutOrder("rollout-plain-1", "plain", "v2", 12.0, STORE_TIME_S)
    board.follow("plain", order)
    for number in range(requests):
        version = "v2" if number % 10 == 0 else "v1"
        board.record_sent("plain", version, is_first=True)
        board.record(
            "plain", version, f"listing-get-{number % 5}", time_s=0.02 + 0.003 * number
        )
    reports = []
    section = EvidenceSection(
        board=board,
        list_instances=lambda: names,
        schedule_report=lambda: reports.append(1),
        clock=lambda: 50.0,
    )
    return section, reports


def test_only_the_decider_and_two_others_get_the_evidence():
    section, _ = make_section(70)
    section.decider = lambda service: "instance-042"
    section.collect(0.0)
    receivers = set(section.list_receivers())
    assert len(receivers) == 3
    assert "instance-042" in receivers


def test_evidence_is_told_four_times_a_second_at_most():
    section, reports = make_section(70)
    assert section.collect(0.0) is not None
    section.handle_change()
    assert (section.collect(0.0), reports) == (None, [])
    assert section.keeps_reporting


def test_evidence_of_one_instance_stays_small_in_large_deployments():
    for instances, limit in ((70, 700), (390, 350)):
        section, _ = make_section(instances, requests=90 * 12 // instances)
        payload = json.dumps(section.collect(0.0), separators=(",", ":"))
        assert len(payload) < limit
