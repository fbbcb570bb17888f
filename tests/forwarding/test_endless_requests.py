"""Endless input from callers, and requests that never end."""

from __future__ import annotations

from tests.forwarding.harness import ForwardingHarness, answer

MIB = 1024 * 1024
HEADER_TIMEOUT_S = 3.0  # of the harness's configuration
HEAD = (
    b"POST /once/x HTTP/1.1\r\nHost: work.example\r\nX-Attempt-Id: r1\r\n"
    b"Authorization: Bearer secret-key\r\n"
)


def test_head_that_arrives_slowly_times_out():
    # Guards against a timeout that starts anew with each byte.
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.send(HEAD)
    for _ in range(20):
        caller.send(b"X-Name: value\r\n")
        harness.advance(HEADER_TIMEOUT_S / 10)
    assert caller.transport.is_closed


def test_second_request_of_a_connection_has_its_own_time():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    for number in range(3):
        caller.request("/once/x", request_id=f"r{number}")
        server, _, _ = harness.take_request()
        server.receive(answer(f"r{number}"))
        harness.advance(0.7 * HEADER_TIMEOUT_S)
    assert not caller.transport.is_closed


def test_rejected_caller_that_goes_on_sending_is_cut():
    # A caller that does not read would keep a close that waits for it waiting.
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.send(HEAD + b"Content-Length: x\r\n\r\n")
    assert caller.read_answer()[0] == 400
    for _ in range(20):
        caller.send(b"y" * 65536)
        harness.advance(0.1)
    assert caller.transport.aborted


def test_bodies_of_all_requests_together_are_bounded():
    # Each body alone is short enough to be accepted.
    harness = ForwardingHarness()
    callers = [harness.open_caller() for _ in range(30)]
    kept = 0
    for caller in callers:
        caller.send(HEAD + b"Content-Length: %d\r\n\r\n" % MIB)
        caller.send(b"y" * (MIB - 1))
        kept += not caller.received
    assert 4 <= kept <= 16
    rejected = callers[-1].read_answer()
    assert rejected[0] == 503
    assert "retry-after" in rejected[1]
    for caller in callers:
        caller.disconnect()
    again = harness.open_caller()
    again.request("/once/x", body=b"z" * (MIB // 2))
    assert harness.count_waiting() == 1


def test_bodies_are_released_with_their_responses():
    harness = ForwardingHarness(plain=1)
    caller = harness.open_caller()
    for number in range(30):
        caller.request("/once/x", request_id=f"r{number}", body=b"z" * MIB)
        server, _, _ = harness.take_request()
        server.receive(answer(f"r{number}"))
        harness.advance(0.0)
    assert harness.gateway.server.request_bytes.used_bytes == 0
