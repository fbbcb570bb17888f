from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    event,
    headers_of,
    stream_head,
)
from tests.forwarding.streaming import SIZE, start


def test_prompt_that_was_read_last_of_several_is_waited_for():
    # Load: prompts that arrive together on one engine. The last one was left just
    # before its turn, as the estimate counted only what was still to be read.
    world, _ = start(engines=1)
    servers = [world.take_request()[0]]
    for number in (2, 3):
        world.open_caller().request("/stream/x", f"r{number}", **SIZE)
        servers.append(world.take_request()[0])
    for number, server in enumerate(servers[:2], 1):
        world.advance(1.3)
        server.receive(stream_head(f"r{number}") + chunk(event(1)))
    for number in range(2, 8):
        world.advance(0.15)
        for server in servers[:2]:
            server.receive(chunk(event(number)))
        world.gateway._parts.suspicions.tell(world.state.backends.find("p-0"))
    assert not servers[2].is_closed
    assert world.count_waiting() == 0


def start_with_answer():
    """Return a world whose instance has seen an answer of 100 events in 5 s."""
    world, _ = start()
    server, _, _ = world.take_request()
    world.advance(1.0)
    server.receive(stream_head("r1"))
    for number in range(1, 101):
        server.receive(chunk(event(number)))
        world.advance(0.04)
    server.receive(STREAM_END)
    return world


def return_late(world, count, wait_ms, position):
    """Let callers ask for the rest of their streams with little time left."""
    callers = []
    for number in range(count):
        caller = world.open_caller()
        headers = {**SIZE, "Last_Event_Id": position, "X_Deadline_Ms": wait_ms}
        caller.request("/stream/x", f"late-{number}", **headers)
        callers.append(caller)
    world.advance(0.01)
    return callers


def test_callers_that_return_too_late_are_refused_at_once_and_no_prompt_is_read():
    # Load: instances lost without a sound. Their callers notice after many seconds,
    # return together, and their prompts filled the engines for answers that could
    # not end in time.
    world = start_with_answer()
    callers = return_late(world, 20, "900", "5")
    assert [each.read_answer()[0] for each in callers] == [503] * 20
    assert all("retry-after" not in each.read_answer()[1] for each in callers)
    assert world.count_waiting() == 0


def test_caller_that_lacks_only_the_last_events_is_served():
    world = start_with_answer()
    callers = return_late(world, 1, "900", "95")
    assert callers[0].received == b""
    assert world.count_waiting() == 1


def test_stream_that_cannot_end_in_time_is_refused_only_on_evidence():
    world, _ = start(X_Deadline_Ms="2000")
    assert world.count_waiting() == 1
    world = start_with_answer()
    caller = world.open_caller()
    caller.request("/stream/x", "r2", **{**SIZE, "X_Deadline_Ms": "2000"})
    assert caller.read_answer()[0] == 503
    assert world.count_waiting() == 0


def test_late_prompt_yields_to_one_that_can_be_on_time():
    # Load: more prompts than engines can read. In the order of their arrival each
    # of them waited for all before it, and in the end none was on time.
    world, _ = start(engines=1)
    servers = [world.take_request()[0]]
    for number in range(2, 6):
        world.open_caller().request("/stream/x", f"r{number}", **SIZE)
        if number < 5:
            servers.append(world.take_request()[0])
    assert world.count_waiting() == 0  # five prompts take longer than 4.5 s
    for number, server in enumerate(servers[:3], 1):
        world.advance(1.0)
        server.receive(stream_head(f"r{number}") + chunk(event(1)))
    world.open_caller().request("/stream/x", "newcomer", **SIZE)
    newcomer, head, _ = world.take_request()
    assert headers_of(head)["x-attempt-id"] == "newcomer"
    servers[3].receive(stream_head("r4") + chunk(event(1)))
    newcomer.receive(stream_head("newcomer") + chunk(event(1)))
    world.advance(0.15)
    _, head, _ = world.take_request()
    assert headers_of(head)["x-attempt-id"] == "r5"
