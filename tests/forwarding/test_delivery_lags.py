"""Events that wait for the link to their caller, which no server or turn tells."""

from __future__ import annotations

import contextlib
import socket

from ebonyhaven_node.forwarding._delivery_lags import (
    DeliveryLag,
    count_unacknowledged,
)
from ebonyhaven_node.forwarding._progress import MAX_DELIVERY_LAG_S
from ebonyhaven_node.forwarding._turn_lags import SAMPLE_INTERVAL_S, TurnLagSampler
from twisted.internet.task import Clock

from tests.forwarding.harness import STREAM_END, chunk, event, stream_head
from tests.forwarding.streaming import read_body, start_stream

LATE_STREAMS = "ebonyhaven_late_streams_total"
EVENT_BYTES = 65
FRAMED_BYTES = EVENT_BYTES + len("41") + 4


def count_late(harness, what) -> float:
    registry = harness.gateway.registry
    return registry.get_sample_value(LATE_STREAMS, {"what": what}) or 0.0


def test_oldest_event_that_was_not_acknowledged_tells_the_lag():
    lag = DeliveryLag()
    for number in range(3):
        lag.record(EVENT_BYTES, now=float(number))
    assert lag.measure(3 * FRAMED_BYTES, now=3.0) == 3.0
    assert lag.measure(2 * FRAMED_BYTES, now=3.0) == 2.0
    assert lag.measure(FRAMED_BYTES + 1, now=3.0) == 2.0
    assert lag.measure(0, now=3.0) == 0.0
    assert lag.longest_s == 3.0


def test_bytes_that_a_caller_does_not_read_are_counted():
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as sender,
        server.accept()[0],
    ):
        assert count_unacknowledged(sender) == 0
        sender.setblocking(False)
        sent_bytes = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                sent_bytes += sender.send(bytes(2**16))
        assert 0 < count_unacknowledged(sender) <= sent_bytes
    assert count_unacknowledged(object()) == 0


def test_stream_whose_events_wait_for_the_link_is_told_as_late_once():
    # Guards against streams that are late to their callers and on time to instances.
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(stream_head("r1") + chunk(event(1)))
    caller.protocol.count_unacknowledged = lambda: len(caller.received)
    harness.advance(0.5 * MAX_DELIVERY_LAG_S)
    server.receive(chunk(event(2)))
    harness.advance(0.0)
    assert count_late(harness, "delivery") == 0
    for number in (3, 4):
        harness.advance(0.6 * MAX_DELIVERY_LAG_S)
        server.receive(chunk(event(number)))
    server.receive(STREAM_END)
    harness.advance(0.0)
    assert count_late(harness, "delivery") == 1
    assert count_late(harness, "pause") == 0
    assert read_body(caller) == b"".join(map(event, (1, 2, 3, 4)))


def test_stream_whose_events_leave_at_once_is_not_told_as_late():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(stream_head("r1"))
    caller.protocol.count_unacknowledged = lambda: 0
    for number in (1, 2, 3):
        server.receive(chunk(event(number)))
        harness.advance(1.5 * MAX_DELIVERY_LAG_S)
    assert count_late(harness, "delivery") == 0


def test_late_turns_are_measured():
    clock = Clock()
    lags = []
    sampler = TurnLagSampler(reactor=clock, clock=clock.seconds, observe=lags.append)
    sampler.start()
    clock.advance(SAMPLE_INTERVAL_S)
    clock.advance(3 * SAMPLE_INTERVAL_S)
    sampler.stop()
    clock.advance(SAMPLE_INTERVAL_S)
    assert lags == [0.0, 2 * SAMPLE_INTERVAL_S]
