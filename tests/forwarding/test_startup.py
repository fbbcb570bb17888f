from __future__ import annotations

from ebonyhaven_decisions.forwarding import StateWaitLimits
from ebonyhaven_decisions.forwarding._startup import (
    MAX_WAIT_S,
    MAX_WAITING_BYTES,
    MAX_WAITING_REQUESTS,
    WAIT_SHARE,
)

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    make_configuration,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

CALLERS = 60
STATE_DELAY_S = 0.3  # between listening and the first state, of a store that responds


def send_request(harness, request_id="r1", path="/once/x", **options):
    caller = harness.open_caller()
    caller.request(path, request_id, **options)
    return caller


def serve_waiting_requests(harness):
    for server in [each for each in harness.connections if each.has_request()]:
        head, _ = server.read_request()
        fields = decode_headers(head)
        request_id = fields["x-attempt-id"]
        if "x-token-count" in fields:
            server.receive(stream_head(request_id) + chunk(event(1)) + STREAM_END)
        else:
            server.receive(answer(request_id))
    harness.advance(0.0)


def test_all_callers_of_a_restarted_instance_are_served_once_it_has_read_its_state():
    # Replays the restart of all instances: callers return while the first reads of
    # the store are in progress. Each was rejected, and their one retry with it.
    harness = ForwardingHarness(configuration=False)
    callers = []
    for number in range(CALLERS):
        options = {"path": "/stream/x", **SIZE_HEADERS} if number % 10 == 0 else {}
        callers.append(send_request(harness, f"r{number}", **options))
        harness.advance(STATE_DELAY_S / CALLERS)
    assert not any(each.received for each in callers)
    harness.state.apply_configuration(make_configuration())
    harness.advance(0.0)
    while harness.count_waiting():
        serve_waiting_requests(harness)
        harness.advance(0.1)
    assert [each.read_answer()[0] for each in callers] == [200] * CALLERS


def test_request_is_rejected_with_a_time_to_retry_when_the_state_takes_too_long():
    harness = ForwardingHarness(configuration=False)
    caller = send_request(harness, X_Deadline_Ms="2000")
    harness.advance(WAIT_SHARE * 2.0 - 0.05)
    assert not caller.received
    harness.advance(0.1)
    status, headers, _, is_complete = caller.read_answer()
    assert (status, is_complete) == (503, True)
    assert float(headers["retry-after"]) > 0
    harness.state.apply_configuration(make_configuration())
    harness.advance(0.1)
    assert harness.count_waiting() == 0  # a rejected request is never run


def test_caller_that_leaves_while_waiting_causes_no_request():
    harness = ForwardingHarness(configuration=False)
    caller = send_request(harness)
    caller.disconnect()
    harness.state.apply_configuration(make_configuration())
    harness.advance(0.1)
    assert harness.count_waiting() == 0


def test_waiting_requests_are_bounded_in_time_count_and_bytes():
    limits = StateWaitLimits()
    assert limits.compute_wait_s(timeout_s=25.0, body_bytes=0) == MAX_WAIT_S
    assert limits.compute_wait_s(timeout_s=None, body_bytes=0) == MAX_WAIT_S
    assert limits.compute_wait_s(timeout_s=2.0, body_bytes=0) == WAIT_SHARE * 2.0
    limits.add(MAX_WAITING_BYTES - 10)
    assert limits.compute_wait_s(timeout_s=2.0, body_bytes=10) > 0.0
    assert limits.compute_wait_s(timeout_s=2.0, body_bytes=11) == 0.0
    limits.remove(MAX_WAITING_BYTES - 10)
    for _ in range(MAX_WAITING_REQUESTS):
        limits.add(0)
    assert limits.compute_wait_s(timeout_s=2.0, body_bytes=0) == 0.0
