"""Helpers that start the stream of one caller and serve it."""

from __future__ import annotations

from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)

SIZE_HEADERS = {"X_Token_Count": "8000,700", "X_Prompt_Prefix": "aa:200,bb:7800"}


def start_stream(path="/stream/x", engines=3, versions=("v1",), **options):
    """Send a stream request and return its harness and caller."""
    harness = ForwardingHarness(engines=engines, versions=versions)
    caller = harness.open_caller()
    caller.request(path, **{**SIZE_HEADERS, **options})
    return harness, caller


def read_body(caller) -> bytes:
    return caller.read_answer()[2]


def open_stream(harness, *numbers):
    """Respond to the pending request with a response head and events.

    Returns the connection of the server and the headers of the request.
    """
    server, head, _ = harness.take_request()
    server.receive(stream_head("r1"))
    for number in numbers:
        server.receive(chunk(event(number)))
    harness.advance(0.0)
    return server, decode_headers(head)


def record_durations(harness, route, seconds):
    """Let an instance know how long the streams of a route last."""
    durations = harness.gateway._context.get_stream_durations(route)
    durations.record(first_event_s=0.2, streaming_s=seconds - 0.2, events=100)
