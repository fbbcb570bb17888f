from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.streaming import SIZE, start


def test_prompt_that_was_read_last_of_several_is_waited_for():
    # Load: prompts that arrive together on one engine. The last one was left just
    # before its turn, as the estimate counted only what was still to be read.
    harness, _ = start(engines=1)
    servers = [harness.take_request()[0]]
    for number in (2, 3):
        harness.open_caller().request("/stream/x", f"r{number}", **SIZE)
        servers.append(harness.take_request()[0])
    for number, server in enumerate(servers[:2], 1):
        harness.advance(1.3)
        server.receive(stream_head(f"r{number}") + chunk(event(1)))
    for number in range(2, 8):
        harness.advance(0.15)
        for server in servers[:2]:
            server.receive(chunk(event(number)))
        harness.gateway._context.suspicion_notifier.notify(
            harness.state.backends.find("p-0")
        )
    assert not servers[2].is_closed
    assert harness.count_waiting() == 0


def start_with_answer():
    """Return a world whose instance has seen an answer of 100 events in 5 s."""
    harness, _ = start()
    server, _, _ = harness.take_request()
    harness.advance(1.0)
    server.receive(stream_head("r1"))
    for number in range(1, 101):
        server.receive(chunk(event(number)))
        harness.advance(0.04)
    server.receive(STREAM_END)
    return harness


def return_late(harness, count, wait_ms, position):
    """Let callers ask for the rest of their streams with little time left."""
    callers = []
    for number in range(count):
        caller = harness.open_caller()
        headers = {**SIZE, "Last_Event_Id": position, "X_Deadline_Ms": wait_ms}
        caller.request("/stream/x", f"late-{number}", **headers)
        callers.append(caller)
    harness.advance(0.01)
    return callers


def test_callers_that_return_too_late_are_refused_at_once_and_no_prompt_is_read():
    # Load: instances lost without a sound. Their callers notice after many seconds,
    # return together, and their prompts filled the engines for answers that could
    # not end in time.
    harness = start_with_answer()
    callers = return_late(harness, 20, "900", "5")
    assert [each.read_answer()[0] for each in callers] == [503] * 20
    assert all("retry-after" not in each.read_answer()[1] for each in callers)
    assert harness.count_waiting() == 0


def test_caller_that_lacks_only_the_last_events_is_served():
    harness = start_with_answer()
    callers = return_late(harness, 1, "900", "95")
    assert callers[0].received == b""
    assert harness.count_waiting() == 1


def test_stream_that_cannot_end_in_time_is_refused_only_on_evidence():
    harness, _ = start(X_Deadline_Ms="2000")
    assert harness.count_waiting() == 1
    harness = start_with_answer()
    caller = harness.open_caller()
    caller.request("/stream/x", "r2", **{**SIZE, "X_Deadline_Ms": "2000"})
    assert caller.read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_late_prompt_yields_to_one_that_can_be_on_time():
    # Load: more prompts than engines can read. In the order of their arrival each
    # of them waited for all before it, and in the end none was on time.
    harness, _ = start(engines=1)
    servers = [harness.take_request()[0]]
    for number in range(2, 6):
        harness.open_caller().request("/stream/x", f"r{number}", **SIZE)
        if number < 5:
            servers.append(harness.take_request()[0])
    assert harness.count_waiting() == 0  # five prompts take longer than 4.5 s
    for number, server in enumerate(servers[:3], 1):
        harness.advance(1.0)
        server.receive(stream_head(f"r{number}") + chunk(event(1)))
    harness.open_caller().request("/stream/x", "newcomer", **SIZE)
    newcomer, head, _ = harness.take_request()
    assert decode_headers(head)["x-attempt-id"] == "newcomer"
    servers[3].receive(stream_head("r4") + chunk(event(1)))
    newcomer.receive(stream_head("newcomer") + chunk(event(1)))
    harness.advance(0.15)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["x-attempt-id"] == "r5"
