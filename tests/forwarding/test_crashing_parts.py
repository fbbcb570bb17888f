"""Parts of prompts that crash each server that begins to answer with them."""

from __future__ import annotations

from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.test_crashing_requests import CHECK_S, send_request

# More requests with the part must not reach servers after the fifth crash; the last
# crashes are found within `CHECK_S`.
MAX_CRASHES = 5
MANY_ENGINES = 30
MANY_PARTS = 100


def send_prompt(harness, number, *shared_parts, path="/stream/x"):
    """Send a request with these parts and a last one of its own."""
    parts = [f"{each}:200" for each in shared_parts] + [f"f{number:x}:7000"]
    return send_request(
        harness,
        path,
        f"r{number}",
        body=b"%d" % number,
        X_Token_Count="8000,700",
        X_Prompt_Prefix=",".join(parts),
    )


def crash_begun_servers(harness, part) -> int:
    """Crash each server that begins a request with the part; return their number."""
    count = 0
    # A request whose connection the instance has closed crashes nothing any more.
    waiting = [each for each in harness.connections if each.has_request()]
    for server in [each for each in waiting if not each.is_closed]:
        head, _ = server.read_request()
        headers = decode_headers(head)
        if part not in headers["x-prompt-prefix"]:
            continue
        server.receive(stream_head(headers["x-attempt-id"]))
        harness.refused.add(server.address)
        server.reset()
        count += 1
    harness.advance(0.01)
    return count


def crash_until_quiet(harness, part) -> int:
    """Crash servers until no request with the part reaches one for `CHECK_S`."""
    total = count = crash_begun_servers(harness, part)
    while count:
        harness.advance(CHECK_S)
        count = crash_begun_servers(harness, part)
        total += count
    return total


def test_requests_with_a_part_that_crashes_servers_are_stopped_together():
    # Guards against a part of prompts that crashes three servers with each new
    # request, as each of these is another content.
    harness = ForwardingHarness(engines=MANY_ENGINES)
    crashes = 0
    for number in range(8):
        send_prompt(harness, number, "aa", "dd")
        crashes += crash_until_quiet(harness, "dd:")
    assert crashes <= MAX_CRASHES
    caller = send_prompt(harness, 9, "aa", "dd")
    assert harness.count_waiting() == 0
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert "retry-after" not in headers


def test_part_that_crashes_servers_is_found_behind_many_shared_parts():
    harness = ForwardingHarness(engines=MANY_ENGINES)
    before = [f"{number:x}00" for number in range(1, MANY_PARTS)]
    crashes = 0
    for number in range(8):
        send_prompt(harness, number, *before, "dd")
        crashes += crash_until_quiet(harness, "dd:")
    assert crashes <= MAX_CRASHES
    send_prompt(harness, 9, *before, "dd")
    assert harness.count_waiting() == 0
    send_prompt(harness, 10, *before)
    assert harness.count_waiting() == 1


def test_requests_of_several_callers_at_once_add_up():
    harness = ForwardingHarness(engines=MANY_ENGINES)
    for number in range(3):
        send_prompt(harness, number, "aa", "dd")
    assert crash_begun_servers(harness, "dd:") == 3
    harness.advance(CHECK_S)
    assert crash_until_quiet(harness, "dd:") == 0
    sent_count = harness.count_waiting()
    send_prompt(harness, 9, "aa", "dd")
    assert harness.count_waiting() == sent_count


def test_requests_that_share_other_parts_and_their_caller_are_served():
    # Guards against a system prompt that is blocked with the part behind it.
    harness = ForwardingHarness(engines=MANY_ENGINES)
    for number in range(4):
        send_prompt(harness, number, "aa", "dd")
        crash_until_quiet(harness, "dd:")
    for number, parts in enumerate((("aa",), ("aa", "ee"), ("bb",), ()), 10):
        send_prompt(harness, number, *parts)
        assert harness.count_waiting() == 1
        server, _, _ = harness.take_request()
        server.receive(stream_head(f"r{number}") + chunk(event(1)))


def test_first_part_is_blocked_if_it_is_the_one_that_crashes_servers():
    harness = ForwardingHarness(engines=MANY_ENGINES)
    crashes = 0
    for number in range(8):
        send_prompt(harness, number, "aa", f"e{number}")
        crashes += crash_until_quiet(harness, "aa:")
    assert crashes <= MAX_CRASHES
    send_prompt(harness, 9, "aa")
    assert harness.count_waiting() == 0


def test_streams_that_may_not_resume_are_stopped_as_well():
    harness = ForwardingHarness(engines=MANY_ENGINES)
    crashes = 0
    for number in range(8):
        send_prompt(harness, number, "aa", "dd", path="/fixed/x")
        crashes += crash_until_quiet(harness, "dd:")
    assert crashes <= MAX_CRASHES


def test_server_that_crashes_after_the_first_events_counts():
    # Guards against a part whose crash comes after an event or two.
    harness = ForwardingHarness(engines=MANY_ENGINES)
    crashes = 0
    for number in range(8):
        send_prompt(harness, number, "aa", "dd", path="/fixed/x")
        servers = [each for each in harness.connections if each.has_request()]
        for server in servers:
            server.read_request()
            events = chunk(event(1)) + chunk(event(2))
            server.receive(stream_head(f"r{number}") + events)
            harness.refused.add(server.address)
            server.reset()
            crashes += 1
        harness.advance(CHECK_S)
    assert crashes <= MAX_CRASHES
