from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)

SIZE = {"X_Token_Count": "8000,700"}


def start(engines=6):
    harness = ForwardingHarness(engines=engines)
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE)
    server, head, _ = harness.take_request()
    sent = decode_headers(head)
    server.receive(stream_head("r1") + chunk(event(1)))
    harness.advance(0.01)
    by_address = {each.entry.address: each for each in harness.state.backends}
    return harness, caller, server, by_address[sent["x-kv-backup"]]


def go_on(harness, server, first, last):
    for number in range(first, last + 1):
        server.receive(chunk(event(number)))
        harness.advance(0.1)


def test_no_copy_is_asked_for_while_the_first_one_is_there():
    harness, _, server, _ = start()
    go_on(harness, server, 2, 20)
    assert harness.copier.asked == []


def test_lost_copy_is_replaced_and_used_when_the_run_is_lost_later():
    harness, caller, server, holder = start()
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 3)
    source, request_id, target = harness.copier.asked[0]
    assert (source, request_id) == (server.address, "r1")
    assert target not in (server.address, holder.entry.address)
    server.reset()
    harness.advance(0.01)
    second, head, _ = harness.take_request()
    assert second.address == target
    assert decode_headers(head)["kv-from"] == f"{server.address}/h-1"
    second.receive(stream_head("r1") + chunk(event(4)))
    body = caller.read_answer()[2]
    assert body == b"".join(event(number) for number in range(1, 5))


def test_copy_that_was_asked_for_is_asked_for_again_to_stay():
    harness, _, server, holder = start()
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 22)  # two seconds; copies stay for four
    assert len(harness.copier.asked) == 2
    assert harness.copier.asked[0] == harness.copier.asked[1]


def test_holder_that_restarted_counts_as_lost():
    harness, _, server, holder = start()
    entry = holder.entry._replace(started_ms=99)
    harness.state.put_backend(entry)
    go_on(harness, server, 2, 3)
    assert harness.copier.asked


def test_neighbour_of_a_lost_server_is_checked_before_it_is_relied_on():
    harness, _, server, holder = start()
    neighbour = next(
        each
        for each in harness.state.backends
        if each.entry.data_centre == holder.entry.data_centre and each is not holder
    )
    harness.silent.add(holder.entry.address)
    harness.gateway._context.report_unreachable(neighbour)
    go_on(harness, server, 2, 5)
    assert harness.copier.asked


def test_refused_copies_are_tried_again_with_pauses():
    harness, _, server, holder = start()
    harness.copier.handle = None
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 17)
    assert 2 <= len(harness.copier.asked) <= 4


def test_use_of_a_replaced_copy_is_given_back():
    harness, caller, server, holder = start()
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 3)
    assert holder.copy_tokens == 0
    caller.disconnect()
    assert all(each.copy_tokens == 0 for each in harness.state.backends)


def test_copy_is_freed_at_the_end_and_kept_while_the_run_may_need_it():
    harness, caller, server, holder = start()
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 3)
    server.reset()
    harness.advance(0.01)
    assert harness.copier.dropped == []
    harness, caller, server, holder = start()
    harness.gateway._context.report_unreachable(holder)
    go_on(harness, server, 2, 3)
    server.receive(STREAM_END)
    assert harness.copier.dropped == [(server.address, "h-1")]
