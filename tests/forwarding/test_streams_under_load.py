from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS, start_stream


def test_last_of_several_concurrent_prefills_is_not_aborted():
    # Several prompts arrive together on one engine. Guards against aborting the last
    # one shortly before its prefill, which happens if its expected time counts only
    # the prompts that are not prefilled yet.
    harness, _ = start_stream(engines=1)
    servers = [harness.take_request()[0]]
    for number in (2, 3):
        harness.open_caller().request("/stream/x", f"r{number}", **SIZE_HEADERS)
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


def start_after_complete_stream():
    """Return a harness whose instance has relayed 100 events in 5 s."""
    harness, _ = start_stream()
    server, _, _ = harness.take_request()
    harness.advance(1.0)
    server.receive(stream_head("r1"))
    for number in range(1, 101):
        server.receive(chunk(event(number)))
        harness.advance(0.04)
    server.receive(STREAM_END)
    return harness


def retry_with_deadline(harness, count, deadline_ms, position):
    """Send retries of streams from several callers with a given deadline."""
    callers = []
    for number in range(count):
        caller = harness.open_caller()
        headers = {
            **SIZE_HEADERS,
            "Last_Event_Id": position,
            "X_Deadline_Ms": deadline_ms,
        }
        caller.request("/stream/x", f"late-{number}", **headers)
        callers.append(caller)
    harness.advance(0.01)
    return callers


def test_late_retries_are_refused_without_a_prefill():
    # Callers of an unresponsive instance time out after many seconds and retry at the
    # same time. Guards against prefilling their prompts for streams that cannot
    # complete in time, which occupied the engines.
    harness = start_after_complete_stream()
    callers = retry_with_deadline(harness, 20, "900", "5")
    assert [each.read_answer()[0] for each in callers] == [503] * 20
    assert all("retry-after" not in each.read_answer()[1] for each in callers)
    assert harness.count_waiting() == 0


def test_late_retry_that_lacks_only_the_last_events_is_served():
    harness = start_after_complete_stream()
    callers = retry_with_deadline(harness, 1, "1000", "95")
    assert callers[0].received == b""
    assert harness.count_waiting() == 1


def test_stream_that_cannot_complete_is_refused_once_durations_are_known():
    harness, _ = start_stream(X_Deadline_Ms="2000")
    assert harness.count_waiting() == 1
    harness = start_after_complete_stream()
    caller = harness.open_caller()
    caller.request("/stream/x", "r2", **{**SIZE_HEADERS, "X_Deadline_Ms": "2000"})
    assert caller.read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_late_prompt_yields_to_one_that_can_meet_its_target():
    # More prompts arrive than the engines can prefill. In order of arrival, each would
    # wait for all earlier ones, until none meets its target.
    harness, _ = start_stream(engines=1)
    servers = [harness.take_request()[0]]
    for number in range(2, 6):
        harness.open_caller().request("/stream/x", f"r{number}", **SIZE_HEADERS)
        if number < 5:
            servers.append(harness.take_request()[0])
    assert harness.count_waiting() == 0  # five prefills exceed the target of 4.5 s
    for number, server in enumerate(servers[:3], 1):
        harness.advance(1.0)
        server.receive(stream_head(f"r{number}") + chunk(event(1)))
    harness.open_caller().request("/stream/x", "newcomer", **SIZE_HEADERS)
    newcomer, head, _ = harness.take_request()
    assert decode_headers(head)["x-attempt-id"] == "newcomer"
    servers[3].receive(stream_head("r4") + chunk(event(1)))
    newcomer.receive(stream_head("newcomer") + chunk(event(1)))
    harness.advance(0.15)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["x-attempt-id"] == "r5"
