"""Requests of which their own handling loses track."""

from __future__ import annotations

from unittest import mock

from ebonyhaven_node.forwarding._calls import CallRelay
from ebonyhaven_node.forwarding._streams import StreamRelay
from structlog.testing import capture_logs
from twisted.internet.defer import Deferred

from tests.forwarding.harness import ForwardingHarness, answer

TIMEOUT_S = 0.8
LATE_S = 0.5


async def hang(relay):
    await Deferred()


async def return_early(relay):
    return


async def start_and_hang(relay):
    relay._exchange.start_stream(200, ())
    await Deferred(canceller=lambda deferred: None)


def send(harness, path="/once/x"):
    caller = harness.open_caller()
    caller.request(path)
    return caller


def test_request_that_is_not_answered_within_its_time_is_ended():
    harness = ForwardingHarness()
    with mock.patch.object(CallRelay, "run", hang):
        caller = send(harness)
    harness.gateway._sweep()
    harness.advance(TIMEOUT_S + LATE_S)
    harness.gateway._sweep()  # its handling may do so now, if the process stood still
    assert not caller.received
    harness.gateway._sweep()
    assert caller.read_answer()[::3] == (504, True)


def test_response_that_is_not_completed_within_its_time_is_cut():
    harness = ForwardingHarness()
    with mock.patch.object(StreamRelay, "run", start_and_hang):
        caller = send(harness, "/stream/x")
    harness.advance(25.0 + LATE_S)
    with capture_logs() as lines:
        for _ in range(4):
            harness.gateway._sweep()
    assert caller.transport.aborted
    assert [line["reason"] for line in lines] == ["overdue"]
    sample = {"kind": "stream", "reason": "overdue"}
    name = "ebonyhaven_incomplete_responses_total"
    assert harness.gateway.registry.get_sample_value(name, sample) == 1.0


def fail_to_write(data):
    raise RecursionError


def test_response_that_cannot_be_written_is_cut_and_counted():
    harness = ForwardingHarness()
    caller = send(harness)
    server, _, _ = harness.take_request()
    with mock.patch.object(caller.transport, "write", fail_to_write):
        server.receive(answer("r1"))
    assert caller.transport.aborted
    sample = {"kind": "once", "reason": "crashed"}
    name = "ebonyhaven_incomplete_responses_total"
    assert harness.gateway.registry.get_sample_value(name, sample) == 1.0


def test_request_whose_handling_ends_without_an_answer_gets_one():
    harness = ForwardingHarness()
    with mock.patch.object(CallRelay, "run", return_early):
        caller = send(harness)
    assert caller.read_answer()[::3] == (500, True)


def test_request_within_its_time_is_left_alone():
    harness = ForwardingHarness()
    caller = send(harness)
    server, _, _ = harness.take_request()
    harness.advance(TIMEOUT_S / 2)
    harness.gateway._sweep()
    server.receive(answer("r1"))
    assert caller.read_answer()[0] == 200


def test_response_that_cannot_be_written_leaves_no_other_request_unanswered():
    # Guards against a stop at which one broken connection cuts all others.
    harness = ForwardingHarness()
    callers = [send(harness) for _ in range(3)]
    with mock.patch.object(callers[0].transport, "write", fail_to_write):
        harness.gateway._active.end_all()
    assert callers[0].transport.aborted
    assert [each.read_answer()[::3] for each in callers[1:]] == [(502, True)] * 2
    assert not harness.gateway._active
