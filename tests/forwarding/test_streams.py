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
from tests.forwarding.streaming import SIZE, open_stream, read_body, start


def test_events_pass_as_they_arrive_and_the_end_is_the_servers_end():
    harness, caller = start()
    server, sent = open_stream(harness, 1)
    assert sent["x-token-count"] == "8000,700"
    assert sent["x-prompt-prefix"] == "aa:200,bb:7800"
    assert read_body(caller) == event(1)
    server.receive(chunk(event(2)) + STREAM_END)
    status, _, body, is_whole = caller.read_answer()
    assert (status, body, is_whole) == (200, event(1) + event(2), True)


def test_each_run_has_a_copy_in_another_data_centre():
    harness, _ = start()
    _, sent = open_stream(harness)
    by_address = {each.entry.address: each.entry for each in harness.state.backends}
    source = harness.state.backends.find(sent["x-expect-instance"]).entry
    assert by_address[sent["x-kv-backup"]].data_centre != source.data_centre


def test_lost_stream_goes_on_from_its_copy_without_a_gap_or_a_repeat():
    harness, caller = start()
    server, sent = open_stream(harness, 1, 2)
    half = event(3)[:7]
    server.receive(chunk(half))
    server.reset()
    harness.advance(0.01)
    second, head, _ = harness.take_request()
    again = decode_headers(head)
    assert second.address == sent["x-kv-backup"]
    assert again["kv-from"] == f"{second.address}/r1"
    assert again["last-event-id"] == "2"
    second.receive(stream_head("r1", "stamp-2"))
    for number in (2, 3, 4):  # the second was delivered before
        second.receive(chunk(event(number)))
    second.receive(STREAM_END)
    _, headers, body, is_whole = caller.read_answer()
    assert body == event(1) + event(2) + event(3) + event(4)
    assert is_whole
    assert headers["x-server-stamp"] == "stamp-1"


def test_run_without_an_event_does_not_ask_for_its_copy():
    # Engines copy nothing before the first event; asking queued behind other prompts.
    harness, _ = start()
    server, _ = open_stream(harness)
    server.reset()
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)


def test_copy_that_is_gone_leads_to_a_fresh_prompt():
    harness, caller = start()
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


def test_silent_stream_with_a_copy_goes_on_within_the_allowed_pause():
    harness, caller = start()
    first, sent = open_stream(harness, 1)
    harness.advance(0.34)
    assert harness.count_waiting() == 0
    harness.advance(0.03)  # over half of the longest pause of 0.7 s
    second, _, _ = harness.take_request()
    assert second.address == sent["x-kv-backup"]
    assert first.is_closed
    second.receive(stream_head("r1") + chunk(event(2)) + STREAM_END)
    assert read_body(caller) == event(1) + event(2)


def test_slow_prompt_on_a_live_server_is_waited_for():
    # A limit of 2.7 s once made streams leave engines that read two prompts.
    harness, caller = start()
    server, _, _ = harness.take_request()
    harness.advance(2.0)
    assert harness.count_waiting() == 0
    assert not server.is_closed
    server.receive(stream_head("r1") + chunk(event(1)))
    assert read_body(caller) == event(1)


def test_server_that_accepts_no_connection_is_left_before_its_first_event():
    harness, _ = start()
    first, _, _ = harness.take_request()
    harness.silent.add(first.address)
    harness.advance(1.7)  # 0.3 of the target of 4.5 s, and the check
    assert first.is_closed
    second, _, _ = harness.take_request()
    assert second.address != first.address


def test_loss_of_a_neighbour_lets_a_waiting_stream_check_its_server():
    harness = ForwardingHarness(engines=6)
    callers = []
    servers = {}
    for number in range(6):
        caller = harness.open_caller()
        caller.request("/stream/x", request_id=f"r{number}", **SIZE)
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


def test_loss_told_by_another_instance_is_believed_only_without_own_signs():
    harness, _ = start()
    server, sent = open_stream(harness, 1)
    backend = harness.state.backends.find(sent["x-expect-instance"])
    harness.gateway._context.report_unreachable(backend, is_from_peer=True)
    harness.advance(0.1)
    assert not server.is_closed  # it was heard less than 0.2 s ago


def test_stream_that_may_not_be_resumed_is_cut_visibly():
    harness, caller = start("/fixed/x")
    server, _ = open_stream(harness, 1)
    server.reset()
    harness.advance(1.0)
    assert harness.count_waiting() == 0
    assert caller.transport.aborted
    assert not caller.read_answer()[3]


def test_other_process_at_the_address_is_left_at_once():
    harness, _ = start()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None))
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    assert second.address != server.address


def test_servers_failure_before_the_first_event_is_tried_elsewhere():
    harness, caller = start()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"broken", 500))
    harness.advance(0.01)
    open_stream(harness, 1)
    assert read_body(caller) == event(1)


def test_refusal_by_the_server_that_concerns_the_request_is_passed_on():
    harness, caller = start()
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"too long", 400))
    harness.advance(0.01)
    assert caller.read_answer()[:3:2] == (400, b"too long")


def test_time_of_the_route_cuts_a_stream():
    harness, caller = start(X_Deadline_Ms="3000")
    server, _ = open_stream(harness, 1)
    for number in range(2, 12):
        harness.advance(0.3)
        server.receive(chunk(event(number)))
    harness.advance(0.1)
    assert caller.transport.aborted
    assert server.is_closed


def test_caller_that_leaves_stops_the_engine():
    harness, caller = start()
    server, _ = open_stream(harness, 1)
    caller.disconnect()
    assert server.is_closed


def test_callers_own_position_is_kept_on_the_first_attempt():
    harness, caller = start(Last_Event_Id="7")
    server, sent = open_stream(harness)
    assert sent["last-event-id"] == "7"
    server.receive(chunk(event(7)) + chunk(event(8)))
    assert read_body(caller) == event(8)


def test_a_stream_waits_for_room_and_takes_it_when_it_comes():
    harness, _ = start(engines=1, X_Token_Count="60000,700")
    first, _, _ = harness.take_request()
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="r2", **{**SIZE, **BIG})
    harness.advance(0.5)
    assert harness.count_waiting() == 0
    first.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    harness.advance(0.01)
    assert harness.count_waiting() == 1


def test_a_stream_without_room_is_refused_while_its_caller_can_still_come_back():
    harness, _ = start(engines=1, X_Token_Count="60000,700", X_Deadline_Ms="25000")
    server, _ = open_stream(harness, 1)
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="r2", **{**SIZE, **HALF})
    for number in range(2, 96):
        harness.advance(0.2)
        server.receive(chunk(event(number)))
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert "retry-after" in headers


HALF = {"X_Token_Count": "30000,700"}
BIG = {"X_Token_Count": "60000,700"}


def test_refused_connections_spend_no_repeat_of_a_stream():
    harness = ForwardingHarness(engines=6)
    for number in range(5):
        harness.refused.add(harness.find_address(f"e-{number}"))
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE)
    harness.advance(0.1)
    server, _, _ = harness.take_request()
    assert server.address == harness.find_address("e-5")
    budget = harness.gateway._context.budget
    assert sum(each.retries for each in budget._counts["engines"]) == 0


def test_a_release_of_everything_leaves_no_use_behind():
    harness, _ = start()
    server, _ = open_stream(harness, 1)
    server.receive(STREAM_END)
    harness.advance(0.01)
    for each in harness.state.backends:
        assert (each.in_flight, each.run_tokens, each.copy_tokens) == (0, 0, 0)
        assert each.prefill_tokens == 0


def test_copy_whose_holder_died_is_not_tried_again():
    harness, _ = start(engines=6)
    server, _ = open_stream(harness, 1)
    server.reset()
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    second.reset()
    harness.advance(0.01)
    third, head, _ = harness.take_request()
    assert third.address != second.address
    assert "kv-from" not in decode_headers(head)


def test_status_that_reads_as_a_promise_is_not_passed_on_after_a_run():
    harness, caller = start("/fixed/x")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"busy", 429))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_server_that_gets_no_new_work_is_told_of_once():
    harness, _ = start()
    server, sent = open_stream(harness, 1)
    harness.refused.add(server.address)
    with capture_logs() as lines:
        server.reset()
        for _ in range(3):
            lost = harness.state.backends.find(sent["x-expect-instance"])
            harness.gateway._context.report_unreachable(lost)
    told = [line for line in lines if line["event"] == "backend_suspected"]
    assert len(told) == 1
    assert told[0]["server"] == sent["x-expect-instance"]
    assert told[0]["found_by"] == "this instance"
    assert told[0]["silent_s"] is not None
