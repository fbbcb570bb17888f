"""How often streams and requests wake the reactor.

Each timer wakes the reactor once, also one that was cancelled before it was due.
"""

from __future__ import annotations

from unittest import mock

from ebonyhaven_node.forwarding._connection_timeouts import ConnectionTimeout

from tests.forwarding.harness import ForwardingHarness, answer, chunk, event
from tests.forwarding.streaming import open_stream, start_stream

EVENTS = 100
EVENT_INTERVAL_S = 0.02
REQUESTS = 20


def test_events_of_a_stream_set_no_timers():
    # Guards against a timer set and cancelled for each event of each stream.
    harness, caller = start_stream()
    server, _ = open_stream(harness, 1, 2, 3)
    with count_timers(harness) as set_timer:
        for number in range(4, 4 + EVENTS):
            server.receive(chunk(event(number)))
            harness.reactor.advance(EVENT_INTERVAL_S)
    assert f"piece {3 + EVENTS}\n".encode() in caller.received
    # Those of the process itself, and one for the silence of the server in each second.
    assert set_timer.call_count < 0.5 * EVENTS


def test_requests_on_a_kept_connection_set_no_timers_to_close_it():
    # Guards against a timer for each head, and one for each pause between requests.
    harness = ForwardingHarness()
    caller = harness.open_caller()
    with count_timers(harness) as set_timer:
        for number in range(REQUESTS):
            caller.request("/once/x", f"r{number}")
            server, _, _ = harness.take_request()
            server.receive(answer(f"r{number}"))
            harness.advance(0.0)
        closing = [
            call
            for call in set_timer.call_args_list
            if getattr(call.args[1], "__func__", None) is ConnectionTimeout._check
        ]
    assert caller.received.count(b"HTTP/1.1 200") == REQUESTS
    assert len(closing) <= 1


def count_timers(harness):
    return mock.patch.object(
        harness.reactor, "callLater", wraps=harness.reactor.callLater
    )
