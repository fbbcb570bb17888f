"""Requests in progress while an instance shuts down gracefully."""

from __future__ import annotations

from structlog.testing import capture_logs

from tests.forwarding.harness import answer, chunk, event
from tests.forwarding.streaming import SIZE_HEADERS, open_stream, start_stream

GRACE_S = 8.0
EVENT_INTERVAL_S = 0.2


def find_line(lines, name):
    return next(line for line in lines if line["event"] == name)


def advance_streaming(harness, server, seconds):
    """Advance the clock while a server goes on with its stream."""
    for _ in range(round(seconds / EVENT_INTERVAL_S)):
        server.receive(chunk(event(1)))
        harness.advance(EVENT_INTERVAL_S)


def test_log_says_what_became_of_the_requests_of_a_leaving_instance():
    harness, _ = start_stream("/fixed/x")
    streaming, _ = open_stream(harness, 1)
    harness.open_caller().request("/once/x", "short")
    server, _, _ = harness.take_request()
    with capture_logs() as lines:
        harness.leave()
        server.receive(answer("short"))
        advance_streaming(harness, streaming, GRACE_S / 2)
        harness.open_caller().request("/stream/x", "late", **SIZE_HEADERS)
        advance_streaming(harness, streaming, GRACE_S / 2)
    line = find_line(lines, "instance_stopped")
    assert line["answered"] == {"once": 1}
    assert line["refused"] == {"stream": 1}
    assert line["refused_ids"] == ["late"]
    assert line["aborted"] == {"stream": 1}
    assert line["aborted_ids"] == ["r1"]


def test_incomplete_responses_are_counted_by_how_their_last_attempt_ended():
    harness, _ = start_stream("/fixed/x")
    server, _ = open_stream(harness, 1)
    with capture_logs() as lines:
        server.reset()
        harness.advance(0.1)
    sample = {"kind": "stream", "reason": "lost"}
    name = "ebonyhaven_incomplete_responses_total"
    assert harness.gateway.registry.get_sample_value(name, sample) == 1.0
    assert find_line(lines, "stream_given_up")["last_end"] == "lost"
