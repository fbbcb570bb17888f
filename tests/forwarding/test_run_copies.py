from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)

TOKEN_COUNT_HEADER = {"X_Token_Count": "8000,700"}


def start_run(engines=6):
    """Return the harness, caller, server and copy holder of a run with one event."""
    harness = ForwardingHarness(engines=engines)
    caller = harness.open_caller()
    caller.request("/stream/x", **TOKEN_COUNT_HEADER)
    server, head, _ = harness.take_request()
    sent = decode_headers(head)
    server.receive(stream_head("r1") + chunk(event(1)))
    harness.advance(0.01)
    by_address = {each.entry.address: each for each in harness.state.backends}
    return harness, caller, server, by_address[sent["x-kv-backup"]]


def send_events(harness, server, first, last):
    for number in range(first, last + 1):
        server.receive(chunk(event(number)))
        harness.advance(0.1)


def test_no_copy_is_requested_while_the_first_one_is_available():
    harness, _, server, _ = start_run()
    send_events(harness, server, 2, 20)
    assert harness.copier.requested == []


def test_lost_copy_is_replaced_and_used_after_loss_of_the_run():
    harness, caller, server, holder = start_run()
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 3)
    source, request_id, target = harness.copier.requested[0]
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


def test_requested_copy_is_refreshed_before_it_expires():
    harness, _, server, holder = start_run()
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 22)  # two seconds; copies expire after four
    assert len(harness.copier.requested) == 2
    assert harness.copier.requested[0] == harness.copier.requested[1]


def test_copy_on_a_restarted_server_is_replaced():
    harness, _, server, holder = start_run()
    entry = holder.entry._replace(started_ms=99)
    harness.state.put_backend(entry)
    send_events(harness, server, 2, 3)
    assert harness.copier.requested


def test_copy_on_a_leaving_server_is_replaced_and_not_used():
    # Guards against requests that reach a server long after it announced its end.
    harness, _, server, holder = start_run()
    leaving = holder.entry._replace(state=BackendState.LEAVING)
    harness.state.put_backend(leaving)
    send_events(harness, server, 2, 3)
    assert harness.copier.requested
    server.reset()
    harness.advance(0.01)
    second, _, _ = harness.take_request()
    assert second.address != holder.entry.address


def test_holder_is_probed_after_a_loss_in_its_data_centre():
    harness, _, server, holder = start_run()
    neighbour = next(
        each
        for each in harness.state.backends
        if each.entry.data_centre == holder.entry.data_centre and each is not holder
    )
    harness.silent.add(holder.entry.address)
    harness.gateway._context.report_unreachable(neighbour)
    send_events(harness, server, 2, 5)
    assert harness.copier.requested


def test_refused_copy_is_retried_at_intervals():
    harness, _, server, holder = start_run()
    harness.copier.handle = None
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 17)
    assert 2 <= len(harness.copier.requested) <= 4


def test_replaced_copy_is_released():
    harness, caller, server, holder = start_run()
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 3)
    assert holder.copy_tokens == 0
    caller.disconnect()
    assert all(each.copy_tokens == 0 for each in harness.state.backends)


def test_copy_is_dropped_after_completion_but_not_after_loss_of_the_run():
    harness, caller, server, holder = start_run()
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 3)
    server.reset()
    harness.advance(0.01)
    assert harness.copier.deleted == []
    harness, caller, server, holder = start_run()
    harness.gateway._context.report_unreachable(holder)
    send_events(harness, server, 2, 3)
    server.receive(STREAM_END)
    assert harness.copier.deleted == [(server.address, "h-1")]
