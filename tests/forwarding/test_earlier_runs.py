from __future__ import annotations

from ebonyhaven_decisions.forwarding import ServiceShare

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    make_configuration,
    make_entry,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS, open_stream, start_stream


def retry_stream(harness, position="2", **options):
    """Retry a stream from a position with a new request id."""
    caller = harness.open_caller()
    headers = {**SIZE_HEADERS, "Last_Event_Id": position, **options}
    caller.request("/stream/x", "r2", **headers)
    harness.advance(0.01)
    return caller


def test_retry_of_a_caller_resumes_from_the_copy_of_its_run():
    harness, caller = start_stream()
    _, sent = open_stream(harness, 1, 2)
    caller.disconnect()
    retry = retry_stream(harness)
    holder, head, _ = harness.take_request()
    assert holder.address == sent["x-kv-backup"]
    assert decode_headers(head)["kv-from"] == f"{holder.address}/r1"
    assert decode_headers(head)["last-event-id"] == "2"
    holder.receive(stream_head("r2") + chunk(event(2)) + chunk(event(3)) + STREAM_END)
    assert retry.read_answer()[2:] == (event(3), True)


def test_retry_prefills_the_prompt_if_the_copy_is_gone():
    harness, caller = start_stream()
    open_stream(harness, 1, 2)
    caller.disconnect()
    retry_stream(harness)
    holder, _, _ = harness.take_request()
    holder.receive(refusal("r2"))
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)
    assert decode_headers(head)["last-event-id"] == "2"


def test_retry_with_another_prompt_does_not_use_the_copy():
    harness, caller = start_stream()
    open_stream(harness, 1, 2)
    caller.disconnect()
    retry_stream(harness, X_Prompt_Prefix="aa:200,cc:7800")
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)


def test_copy_of_a_completed_run_is_not_used():
    harness, _ = start_stream()
    server, _ = open_stream(harness, 1, 2)
    server.receive(STREAM_END)
    retry_stream(harness)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)


def move_route(harness, service):
    """Put a configuration in force that sends the streams to another service."""
    known = make_configuration(version=2)
    routes = {
        host: tuple(
            route._replace(shares=(ServiceShare(service, 1.0),))
            if route.name == "stream"
            else route
            for route in group
        )
        for host, group in known.routes.items()
    }
    engines = known.services["engines"]._replace(name=service)
    harness.state.apply_configuration(
        known._replace(routes=routes, services={**known.services, service: engines})
    )


def test_retry_does_not_run_at_a_service_that_its_route_has_left():
    # Guards against an older configuration that is seen again where a copy lies.
    harness, caller = start_stream()
    open_stream(harness, 1, 2)
    other = make_entry("o-7", "other-engines")
    harness.state.put_backend(other)
    move_route(harness, "other-engines")
    caller.disconnect()
    retry_stream(harness)
    server, head, _ = harness.take_request()
    assert server.address == other.address
    assert "kv-from" not in decode_headers(head)
