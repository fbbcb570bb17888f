from __future__ import annotations

from structlog.testing import capture_logs

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import (
    SIZE_HEADERS,
    open_stream,
    read_body,
    start_stream,
)


def test_events_are_relayed_as_they_arrive_until_the_stream_ends():
    harness, caller = start_stream()
    server, sent = open_stream(harness, 1)
    assert sent["x-token-count"] == "8000,700"
    assert sent["x-prompt-prefix"] == "aa:200,bb:7800"
    assert read_body(caller) == event(1)
    server.receive(chunk(event(2)) + STREAM_END)
    status, _, body, is_complete = caller.read_answer()
    assert (status, body, is_complete) == (200, event(1) + event(2), True)


def test_each_run_has_a_copy_in_another_data_centre():
    harness, _ = start_stream()
    _, sent = open_stream(harness)
    by_address = {each.entry.address: each.entry for each in harness.state.backends}
    source = harness.state.backends.find(sent["x-expect-instance"]).entry
    assert by_address[sent["x-kv-backup"]].data_centre != source.data_centre


def test_lost_stream_resumes_from_its_copy_without_missing_or_repeated_events():
    harness, caller = start_stream()
    server, sent = open_stream(harness, 1, 2)
    partial_event = event(3)[:7]
    server.receive(chunk(partial_event))
    server.reset()
    harness.advance(0.01)
    second, head, _ = harness.take_request()
    resumed_headers = decode_headers(head)
    assert second.address == sent["x-kv-backup"]
    assert resumed_headers["kv-from"] == f"{second.address}/r1"
    assert resumed_headers["last-event-id"] == "2"
    second.receive(stream_head("r1", "stamp-2"))
    for number in (2, 3, 4):  # event 2 was delivered before
        second.receive(chunk(event(number)))
    second.receive(STREAM_END)
    _, headers, body, is_complete = caller.read_answer()
    assert body == event(1) + event(2) + event(3) + event(4)
    assert is_complete
    assert headers["x-server-stamp"] == "stamp-1"


def test_run_without_events_does_not_resume_from_a_copy():
    # Engines create no copy before the first event, so an attempt to resume from one
    # only waits behind other prompts.
    harness, _ = start_stream()
    server, _ = open_stream(harness)
    server.reset()
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)


def test_missing_copy_falls_back_to_a_new_prefill():
    harness, caller = start_stream()
    server, _ = open_stream(harness, 1)
    server.reset()
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    second.receive(refusal("r1"))
    harness.advance(0.01)
    third, head, _ = harness.take_request()
    sent = decode_headers(head)
    assert "kv-from" not in sent
    assert sent["last-event-id"] == "1"
    third.receive(stream_head("r1") + chunk(event(2)) + STREAM_END)
    assert read_body(caller) == event(1) + event(2)


def test_silent_stream_with_a_copy_resumes_within_the_gap_target():
    harness, caller = start_stream()
    first, sent = open_stream(harness, 1)
    harness.advance(0.34)
    assert harness.count_waiting() == 0
    harness.advance(0.03)  # exceeds half of the gap target of 0.7 s
    second, _, _ = harness.take_request()
    assert second.address == sent["x-kv-backup"]
    assert first.is_closed
    second.receive(stream_head("r1") + chunk(event(2)) + STREAM_END)
    assert read_body(caller) == event(1) + event(2)


def test_slow_prefill_on_a_live_server_is_not_aborted():
    # Guards against aborting a stream while its engine prefills two prompts, as did a
    # limit of 2.7 s without received data.
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    harness.advance(2.0)
    assert harness.count_waiting() == 0
    assert not server.is_closed
    server.receive(stream_head("r1") + chunk(event(1)))
    assert read_body(caller) == event(1)


def test_unreachable_server_is_abandoned_before_its_first_event():
    harness, _ = start_stream()
    first, _, _ = harness.take_request()
    harness.silent.add(first.address)
    harness.advance(1.7)  # probe at 0.3 of the target of 4.5 s, plus its timeout
    assert first.is_closed
    second, _, _ = harness.take_request()
    assert second.address != first.address


def test_loss_in_a_data_centre_triggers_probes_of_its_other_servers():
    harness = ForwardingHarness(engines=6)
    callers = []
    servers = {}
    for number in range(6):
        caller = harness.open_caller()
        caller.request("/stream/x", request_id=f"r{number}", **SIZE_HEADERS)
        callers.append(caller)
        server, head, _ = harness.take_request()
        servers[decode_headers(head)["x-expect-instance"]] = (number, server)
    assert len(servers) == 6
    harness.advance(0.3)
    for server_id in ("e-0", "e-3"):  # both in dc-a
        harness.silent.add(harness.find_address(server_id))
    number, lost = servers["e-0"]
    lost.reset()
    harness.gateway._context.report_unreachable(harness.state.backends.find("e-0"))
    harness.advance(0.25)
    assert servers["e-3"][1].is_closed
    assert not servers["e-1"][1].is_closed


def test_loss_reported_by_a_peer_is_ignored_for_a_recently_active_server():
    harness, _ = start_stream()
    server, sent = open_stream(harness, 1)
    backend = harness.state.backends.find(sent["x-expect-instance"])
    harness.gateway._context.report_unreachable(backend, is_from_peer=True)
    harness.advance(0.1)
    assert not server.is_closed  # its last data is less than 0.2 s old


def test_stream_on_a_non_resumable_route_is_aborted():
    harness, caller = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    server.reset()
    harness.advance(1.0)
    assert harness.count_waiting() == 0
    assert caller.transport.aborted
    assert not caller.read_answer()[3]


def test_response_of_another_process_is_retried_on_another_server():
    harness, _ = start_stream()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None))
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    assert second.address != server.address


def test_server_error_before_the_first_event_is_retried():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"broken", 500))
    harness.advance(0.01)
    open_stream(harness, 1)
    assert read_body(caller) == event(1)


def test_client_error_of_a_server_is_forwarded():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"too long", 400))
    harness.advance(0.01)
    assert caller.read_answer()[:3:2] == (400, b"too long")


def test_stream_is_aborted_at_its_deadline():
    harness, caller = start_stream(X_Deadline_Ms="3000")
    server, _ = open_stream(harness, 1)
    for number in range(2, 12):
        harness.advance(0.3)
        server.receive(chunk(event(number)))
    harness.advance(0.1)
    assert caller.transport.aborted
    assert server.is_closed


def test_disconnected_caller_closes_the_server_connection():
    harness, caller = start_stream()
    server, _ = open_stream(harness, 1)
    caller.disconnect()
    assert server.is_closed


def test_last_event_id_of_the_caller_is_sent_with_the_first_attempt():
    harness, caller = start_stream(Last_Event_Id="7")
    server, sent = open_stream(harness)
    assert sent["last-event-id"] == "7"
    server.receive(chunk(event(7)) + chunk(event(8)))
    assert read_body(caller) == event(8)


def test_stream_waits_until_an_engine_has_capacity():
    harness, _ = start_stream(engines=1, X_Token_Count="60000,700")
    first, _, _ = harness.take_request()
    caller = harness.open_caller()
    caller.request(
        "/stream/x", request_id="r2", **{**SIZE_HEADERS, **LARGE_PROMPT_HEADERS}
    )
    harness.advance(0.5)
    assert harness.count_waiting() == 0
    first.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    harness.advance(0.01)
    assert harness.count_waiting() == 1


def test_stream_without_capacity_is_refused_in_time_for_a_retry():
    harness, _ = start_stream(
        engines=1, X_Token_Count="60000,700", X_Deadline_Ms="25000"
    )
    server, _ = open_stream(harness, 1)
    caller = harness.open_caller()
    caller.request(
        "/stream/x", request_id="r2", **{**SIZE_HEADERS, **MEDIUM_PROMPT_HEADERS}
    )
    for number in range(2, 96):
        harness.advance(0.2)
        server.receive(chunk(event(number)))
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert "retry-after" in headers


MEDIUM_PROMPT_HEADERS = {"X_Token_Count": "30000,700"}
LARGE_PROMPT_HEADERS = {"X_Token_Count": "60000,700"}


def test_refused_connections_do_not_use_the_retry_budget():
    harness = ForwardingHarness(engines=6)
    for number in range(5):
        harness.refused.add(harness.find_address(f"e-{number}"))
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE_HEADERS)
    harness.advance(0.1)
    server, _, _ = harness.take_request()
    assert server.address == harness.find_address("e-5")
    budget = harness.gateway._context.budget
    assert sum(each.retries for each in budget._counts["engines"]) == 0


def test_completed_stream_releases_all_reservations():
    harness, _ = start_stream()
    server, _ = open_stream(harness, 1)
    server.receive(STREAM_END)
    harness.advance(0.01)
    for each in harness.state.backends:
        assert (each.in_flight, each.run_tokens, each.copy_tokens) == (0, 0, 0)
        assert each.prefill_tokens == 0


def test_copy_on_a_lost_server_is_not_used_again():
    harness, _ = start_stream(engines=6)
    server, _ = open_stream(harness, 1)
    server.reset()
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    second.reset()
    harness.advance(0.01)
    third, head, _ = harness.take_request()
    assert third.address != second.address
    assert "kv-from" not in decode_headers(head)


def test_status_that_implies_not_run_is_not_forwarded_after_a_run():
    harness, caller = start_stream("/fixed/x")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"busy", 429))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_suspected_server_is_logged_once():
    harness, _ = start_stream()
    server, sent = open_stream(harness, 1)
    harness.refused.add(server.address)
    with capture_logs() as lines:
        server.reset()
        for _ in range(3):
            lost = harness.state.backends.find(sent["x-expect-instance"])
            harness.gateway._context.report_unreachable(lost)
    logged = [line for line in lines if line["event"] == "backend_suspected"]
    assert len(logged) == 1
    assert logged[0]["server"] == sent["x-expect-instance"]
    assert logged[0]["found_by"] == "this instance"
    assert logged[0]["silent_s"] is not None
