"""Streams whose server pauses for seconds while their callers wait."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import LossReport

from tests.forwarding.harness import STREAM_END, chunk, event, stream_head
from tests.forwarding.streaming import open_stream, read_body, start_stream

PAUSE_S = 8.0  # callers wait 18 s for an event


def finish_after_pause(harness, caller, server):
    """Let a server pause before its second event, and check the whole answer."""
    harness.advance(PAUSE_S)
    assert not server.is_closed
    assert harness.count_waiting() == 0
    server.receive(chunk(event(2)) + STREAM_END)
    status, _, body, is_complete = caller.read_answer()
    assert (status, body, is_complete) == (200, event(1) + event(2), True)


def test_pause_does_not_end_a_stream_that_may_not_be_resumed():
    harness, caller = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    finish_after_pause(harness, caller, server)


def test_pause_before_the_first_event_does_not_end_a_stream_that_may_not_be_resumed():
    harness, caller = start_stream("/fixed/x")
    server, _, _ = harness.take_request()
    harness.advance(PAUSE_S)
    assert not server.is_closed
    server.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    assert read_body(caller) == event(1)
    assert caller.read_answer()[3]


def test_pause_of_a_server_that_accepts_no_connections_ends_no_fixed_stream():
    harness, caller = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    harness.silent.add(server.address)
    finish_after_pause(harness, caller, server)


def test_pause_does_not_end_a_stream_that_can_go_on_nowhere_else():
    harness, caller = start_stream("/stream/x", engines=1)
    server, _ = open_stream(harness, 1)
    finish_after_pause(harness, caller, server)


def test_pause_does_not_end_a_stream_whose_repeats_are_used_up():
    harness, caller = start_stream("/stream/x")
    server, _ = open_stream(harness, 1)
    harness.gateway._budget._slack = 0.0
    finish_after_pause(harness, caller, server)


def test_paused_stream_goes_on_elsewhere_once_another_server_has_room():
    harness, _ = start_stream("/stream/x", engines=2)
    server, sent = open_stream(harness, 1)
    for each in harness.state.backends:
        if each.server_id != sent["x-expect-instance"]:
            each.suspect_until = harness.reactor.seconds() + 4.0
    harness.advance(3.5)
    assert not server.is_closed
    harness.advance(1.5)
    assert server.is_closed
    assert harness.count_waiting() == 1


def record_loss(harness, sent, *, age_s):
    """Record that another instance took the server of a stream for lost."""
    server_id = sent["x-expect-instance"]
    (backend,) = (
        each for each in harness.state.backends if each.server_id == server_id
    )
    report = LossReport(backend.process_id, "dc-a", age_s, (("other",),))
    harness.gateway._crash_history.add(report, harness.reactor.seconds())


def test_pause_of_a_server_that_was_taken_for_lost_before_it_answered_ends_no_stream():
    # Guards against streams that are cut at each pause of a server, for as long as a
    # loss is remembered that an instance found while it was being cut off.
    harness, caller = start_stream("/fixed/x")
    server, sent = open_stream(harness, 1)
    record_loss(harness, sent, age_s=2.0)
    finish_after_pause(harness, caller, server)


def test_silent_server_whose_end_another_instance_saw_does_not_keep_a_fixed_stream():
    harness, caller = start_stream("/fixed/x")
    _, sent = open_stream(harness, 1)
    harness.advance(0.5)
    record_loss(harness, sent, age_s=0.0)
    harness.advance(PAUSE_S / 2)
    assert caller.transport.aborted


def test_silent_server_that_has_ended_does_not_keep_a_fixed_stream():
    harness, caller = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    harness.refused.add(server.address)  # its end did not reach this instance
    harness.advance(PAUSE_S / 2)
    assert caller.transport.aborted


def test_silent_server_is_probed_less_and_less_often():
    harness, _ = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    before = len(harness.connections)
    harness.advance(16.0)
    assert 3 <= len(harness.connections) - before <= 12
    assert not server.is_closed
