from __future__ import annotations

from tests.forwarding.harness import (
    END_CHECK_S,
    STAMP,
    ForwardingHarness,
    answer,
    decode_headers,
    refusal,
)


def start_call(path="/once/x", **options):
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request(path, **options)
    return harness, caller


def test_request_and_response_are_forwarded():
    harness, caller = start_call(
        "/once/x?q=1",
        body=b"payload",
        X_Extra="kept",
        X_Tenant_Name="forged",
        Kv_From="forged",
        X_Pin_Ms="9",
        Connection="X-Extra-Hop, X-Attempt-Id",
        X_Extra_Hop="dropped",
    )
    server, head, body = harness.take_request()
    sent = decode_headers(head)
    assert (head.method, head.target, body) == (b"POST", b"/once/x?q=1", b"payload")
    assert sent["x-attempt-id"] == "r1"
    assert sent["x-extra"] == "kept"
    assert sent["x-tenant-name"] == "studio-a"
    assert 0 < int(sent["x-deadline-ms"]) <= 800
    assert sent["x-expect-instance"].startswith("p-")
    for name in ("authorization", "kv-from", "x-pin-ms", "x-extra-hop"):
        assert name not in sent
    server.receive(answer("r1", b"the answer", X_Server_Load="1,0,6"))
    status, headers, body, is_complete = caller.read_answer()
    assert (status, body, is_complete) == (200, b"the answer", True)
    assert headers["x-server-stamp"] == STAMP
    assert "x-server-load" not in headers


def test_complete_response_in_one_segment_ends_request():
    # Guards against checking the end of the attempt before the queued messages are
    # handled, which ran the request a second time.
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("r1"))
    harness.advance(2.0)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 200


def test_non_repeatable_request_is_not_retried_after_connection_reset():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.reset()
    harness.advance(2.0)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 502


def test_request_proven_not_run_is_sent_to_another_server():
    harness, caller = start_call()
    first, head, _ = harness.take_request()
    first.receive(refusal("r1"))
    harness.advance(0.1)
    second, again, _ = harness.take_request()
    assert (
        decode_headers(head)["x-expect-instance"]
        != decode_headers(again)["x-expect-instance"]
    )
    second.receive(answer("r1"))
    assert caller.read_answer()[0] == 200


def test_refusals_by_all_servers_yield_503_with_retry_after():
    harness, caller = start_call()
    for _ in range(8):
        if not harness.count_waiting():
            break
        server, _, _ = harness.take_request()
        server.receive(refusal("r1"))
        harness.advance(0.05)
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_failed_idempotent_request_is_retried_on_another_server():
    harness, caller = start_call("/repeat/x", method="GET", body=b"")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"bad", 500))
    harness.advance(0.05)
    other, _, _ = harness.take_request()
    assert other.address != server.address
    other.receive(answer("r1", b"good"))
    assert caller.read_answer()[2] == b"good"


def test_second_error_response_is_forwarded_unchanged():
    harness, caller = start_call("/repeat/x", method="GET", body=b"")
    for _ in range(2):
        server, _, _ = harness.take_request()
        server.receive(answer("r1", b"bad", 500))
        harness.advance(0.05)
    status, headers, body, _ = caller.read_answer()
    assert (status, body) == (500, b"bad")
    assert headers["x-server-stamp"] == STAMP
    assert harness.count_waiting() == 0


def test_slow_attempt_is_hedged_within_target_latency():
    harness, caller = start_call("/repeat/x", method="GET", body=b"")
    first, _, _ = harness.take_request()
    harness.advance(0.11)  # more than half of the target latency of 0.2 s
    second, _, _ = harness.take_request()
    second.receive(answer("r1", b"second"))
    assert caller.read_answer()[2] == b"second"
    harness.advance(0.0)
    assert first.is_closed


def test_hedge_goes_to_another_server_also_if_that_is_slow():
    harness, _ = start_call("/repeat/x", method="GET", body=b"")
    first, _, _ = harness.take_request()
    for backend in harness.gateway._context.state.backends:
        if backend.entry.address != first.address:
            backend.latency_s = 10.0
    harness.advance(0.11)  # more than half of the target latency of 0.2 s
    second, _, _ = harness.take_request()
    assert second.address != first.address


def test_refused_connections_do_not_consume_retry_budget():
    harness = ForwardingHarness()
    budget = harness.gateway._context.budget
    harness.refused = {harness.find_address("p-0"), harness.find_address("p-1")}
    for number in range(4):
        caller = harness.open_caller()
        caller.request("/once/x", request_id=f"r{number}")
        harness.advance(0.01)
        server, _, _ = harness.take_request()
        assert server.address == harness.find_address("p-2")
        server.receive(answer(f"r{number}"))
        assert caller.read_answer()[0] == 200
    now = harness.reactor.seconds()
    assert sum(each.retries for each in budget._counts["plain"]) == 0
    assert budget.acquire_retry("plain", now)


def test_response_to_earlier_request_is_skipped():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("old", b"not yours"))
    assert caller.received == b""
    server.receive(answer("r1", b"yours"))
    assert caller.read_answer()[2] == b"yours"


def test_connection_with_bytes_after_response_is_not_reused():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("r1") + b"HTTP/1.1 200 OK\r\n")
    assert caller.read_answer()[0] == 200
    assert server.is_closed


def test_bytes_on_idle_connection_close_it():
    harness, _ = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("r1"))
    assert not server.is_closed
    server.receive(answer("r1", b"again"))
    assert server.is_closed


def test_truncated_response_is_not_forwarded():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    whole = answer("r1", b"x" * 100)
    server.receive(whole[:-10])
    server.close()
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_response_without_length_is_complete_only_after_orderly_close():
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n\r\n"
    for is_orderly, status in ((True, 200), (False, 502)):
        harness, caller = start_call()
        server, _, _ = harness.take_request()
        server.receive(head + b"the body")
        if is_orderly:
            server.close()
        else:
            server.reset()
        harness.advance(END_CHECK_S)
        assert caller.read_answer()[0] == status


def test_malformed_response_is_not_forwarded():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(b"\x00\x01 nonsense\r\n\r\n")
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_response_without_origin_proof_is_not_forwarded():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", X_Server_Stamp=None))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_not_run_status_without_proof_is_not_forwarded():
    harness, caller = start_call()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"busy", 503))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_caller_disconnect_cancels_attempt():
    harness, caller = start_call("/repeat/x")
    server, _, _ = harness.take_request()
    caller.disconnect()
    assert server.is_closed
    harness.advance(1.0)
    assert harness.count_waiting() == 0


def test_request_fails_with_504_at_route_timeout():
    harness, caller = start_call()
    harness.take_request()
    harness.advance(0.79)
    assert caller.received == b""
    harness.advance(0.03)
    assert caller.read_answer()[0] == 504


def test_request_is_refused_before_timeout_if_no_server_is_reachable():
    harness = ForwardingHarness()
    for number in range(3):
        harness.refused.add(harness.find_address(f"p-{number}"))
    caller = harness.open_caller()
    caller.request("/once/x")
    harness.advance(0.3)  # well before the route timeout of 0.8 s
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert "retry-after" in headers


def test_replaced_server_process_gets_no_further_requests():
    harness, _ = start_call()
    server, head, _ = harness.take_request()
    replaced = decode_headers(head)["x-expect-instance"]
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None))
    harness.advance(0.05)
    for number in range(6):
        caller = harness.open_caller()
        caller.request("/once/x", request_id=f"n{number}")
    for each in harness.connections:
        if each.has_request():
            request, _ = each.read_request()
            assert decode_headers(request)["x-expect-instance"] != replaced


def test_only_server_receives_requests_while_suspected():
    # Guards against refusing all requests for as long as the only server is suspected.
    harness = ForwardingHarness(plain=1)
    backend = harness.state.backends.find("p-0")
    harness.gateway._context.report_unreachable(backend)
    for number in range(3):
        caller = harness.open_caller()
        caller.request("/once/x", request_id=f"r{number}")
        harness.advance(0.01)
    assert harness.count_waiting() == 3
