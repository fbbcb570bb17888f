"""Rejections that say that a request was not run must be true."""

from __future__ import annotations

from ebonyhaven_node.forwarding._outcomes import NOT_RUN_STATUSES

from tests.forwarding.harness import ForwardingHarness, answer, refusal

REFUSAL_STATUSES = (503, 429, 421)


def send_and_refuse(harness, path, request_id, **headers):
    """Send a request that its server refuses; return the caller and the server."""
    caller = harness.open_caller()
    caller.request(path, request_id=request_id)
    server, _, _ = harness.take_request()
    server.receive(refusal(request_id, **headers))
    harness.advance(0.0)
    return caller, server


def test_refusal_without_the_id_of_the_request_proves_nothing():
    # Guards against an extra answer to an earlier request that is taken for the
    # refusal of the next one, which runs.
    for status in REFUSAL_STATUSES:
        harness = ForwardingHarness(plain=1)
        caller = harness.open_caller()
        caller.request("/once/x", request_id="r1")
        server, _, _ = harness.take_request()
        server.receive(refusal("r1", status, X_Attempt_Id=None))
        harness.advance(0.5)
        assert harness.count_waiting() == 0
        assert caller.read_answer()[0] == 502


def test_second_attempt_uses_another_connection_than_the_refused_one():
    # An extra copy of the first refusal has the id of the second attempt as well.
    harness = ForwardingHarness(plain=1)
    caller, server = send_and_refuse(harness, "/once/x", "r1")
    harness.advance(0.1)
    second, _, _ = harness.take_request()
    assert second is not server
    assert second.address == server.address
    server.receive(refusal("r1"))
    harness.advance(0.0)
    second.receive(answer("r1"))
    harness.advance(0.0)
    assert caller.read_answer()[0] == 200


def test_refusal_that_comes_once_more_after_another_request_is_believed():
    # The request that ran meanwhile was sent to a second server, or refused as not run.
    harness = ForwardingHarness(plain=1)
    caller, server = send_and_refuse(harness, "/once/x", "r1")
    backend = harness.state.backends.find("p-0")
    backend.record_result(succeeded=True, latency_s=None)  # has room again
    other = harness.open_caller()
    other.request("/once/y", request_id="r2")
    connection, _, _ = harness.take_request()
    assert connection is server
    server.receive(answer("r2"))
    harness.advance(0.1)
    assert other.read_answer()[0] == 200
    second, _, _ = harness.take_request()
    assert second is not server
    second.receive(answer("r1"))
    harness.advance(0.0)
    assert caller.read_answer()[0] == 200


def test_process_that_took_an_address_gets_requests_for_its_predecessor():
    # 75 requests in a second reached it, from an instance with an older list.
    harness = ForwardingHarness(plain=1)
    arrivals = 0
    for number in range(20):
        harness.open_caller().request("/repeat/x", request_id=f"r{number}")
        while harness.count_waiting():
            server, head, _ = harness.take_request()
            arrivals += 1
            request_id = dict(head.headers)[b"x-attempt-id"].decode()
            server.receive(refusal(request_id, 421, X_Instance_Id="p-9"))
            harness.advance(0.0)
        harness.advance(0.05)
    assert arrivals <= 2


def test_other_requests_use_the_connection_again():
    harness = ForwardingHarness(plain=1)
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r1")
    server, _, _ = harness.take_request()
    server.receive(answer("r1"))
    harness.advance(0.0)
    caller.request("/once/x", request_id="r2")
    assert harness.take_request()[0] is server


def test_status_of_a_server_that_ran_the_request_promises_nothing():
    # Guards against a server's own 429 or 408 that callers read as not run.
    for status in sorted(NOT_RUN_STATUSES - {421}):
        harness = ForwardingHarness(plain=1)
        caller = harness.open_caller()
        caller.request("/once/x", request_id="r1")
        server, _, _ = harness.take_request()
        server.receive(answer("r1", b"too much", status))
        harness.advance(0.0)
        code, headers, _, _ = caller.read_answer()
        assert code == 502
        assert "x-server-stamp" not in headers
