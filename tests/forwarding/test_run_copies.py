from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    World,
    chunk,
    event,
    headers_of,
    stream_head,
)

SIZE = {"X_Token_Count": "8000,700"}


def start(engines=6):
    world = World(engines=engines)
    caller = world.open_caller()
    caller.request("/stream/x", **SIZE)
    server, head, _ = world.take_request()
    sent = headers_of(head)
    server.receive(stream_head("r1") + chunk(event(1)))
    world.advance(0.01)
    by_address = {each.entry.address: each for each in world.state.backends}
    return world, caller, server, by_address[sent["x-kv-backup"]]


def go_on(world, server, first, last):
    for number in range(first, last + 1):
        server.receive(chunk(event(number)))
        world.advance(0.1)


def test_no_copy_is_asked_for_while_the_first_one_is_there():
    world, _, server, _ = start()
    go_on(world, server, 2, 20)
    assert world.copier.asked == []


def test_lost_copy_is_replaced_and_used_when_the_run_is_lost_later():
    world, caller, server, holder = start()
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 3)
    source, request_id, target = world.copier.asked[0]
    assert (source, request_id) == (server.address, "r1")
    assert target not in (server.address, holder.entry.address)
    server.reset()
    world.advance(0.01)
    second, head, _ = world.take_request()
    assert second.address == target
    assert headers_of(head)["kv-from"] == f"{server.address}/h-1"
    second.receive(stream_head("r1") + chunk(event(4)))
    body = caller.read_answer()[2]
    assert body == b"".join(event(number) for number in range(1, 5))


def test_copy_that_was_asked_for_is_asked_for_again_to_stay():
    world, _, server, holder = start()
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 22)  # two seconds; copies stay for four
    assert len(world.copier.asked) == 2
    assert world.copier.asked[0] == world.copier.asked[1]


def test_holder_that_restarted_counts_as_lost():
    world, _, server, holder = start()
    entry = holder.entry._replace(started_ms=99)
    world.state.put_backend(entry)
    go_on(world, server, 2, 3)
    assert world.copier.asked


def test_neighbour_of_a_lost_server_is_checked_before_it_is_relied_on():
    world, _, server, holder = start()
    neighbour = next(
        each
        for each in world.state.backends
        if each.entry.data_centre == holder.entry.data_centre and each is not holder
    )
    world.silent.add(holder.entry.address)
    world.gateway._parts.count_unreachable(neighbour)
    go_on(world, server, 2, 5)
    assert world.copier.asked


def test_refused_copies_are_tried_again_with_pauses():
    world, _, server, holder = start()
    world.copier.handle = None
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 17)
    assert 2 <= len(world.copier.asked) <= 4


def test_use_of_a_replaced_copy_is_given_back():
    world, caller, server, holder = start()
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 3)
    assert holder.copy_tokens == 0
    caller.leave()
    assert all(each.copy_tokens == 0 for each in world.state.backends)


def test_copy_is_freed_at_the_end_and_kept_while_the_run_may_need_it():
    world, caller, server, holder = start()
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 3)
    server.reset()
    world.advance(0.01)
    assert world.copier.dropped == []
    world, caller, server, holder = start()
    world.gateway._parts.count_unreachable(holder)
    go_on(world, server, 2, 3)
    server.receive(STREAM_END)
    assert world.copier.dropped == [(server.address, "h-1")]
