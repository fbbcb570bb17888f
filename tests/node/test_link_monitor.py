"""Tests of how long messages to other instances are held to wait for the link."""

from __future__ import annotations

from ebonyhaven_node._channel_metrics import ChannelMetrics, Direction
from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._link_monitor import (
    LOG_INTERVAL_S,
    LONG_WAIT_S,
    LinkMonitor,
)
from prometheus_client import CollectorRegistry
from structlog.testing import capture_logs
from twisted.internet.task import Clock

BYTES_PER_S = 1_250_000


def start(bytes_per_s=BYTES_PER_S):
    clock, registry = Clock(), CollectorRegistry()
    link = LinkMonitor(bytes_per_s=bytes_per_s, registry=registry, clock=clock.seconds)
    return clock, registry, link, ChannelMetrics(registry, clock.seconds, link)


def test_messages_that_fill_the_link_are_told():
    # Guards against whole states for many instances that hold back all other traffic
    # unseen.
    clock, registry, link, metrics = start()
    with capture_logs() as logs:
        for _ in range(24):
            metrics.count_message(Direction.SENT, FrameKind.STATE, 32_000)
    (line,) = logs
    assert line["event"] == "link_filled"
    assert line["wait_s"] >= LONG_WAIT_S
    assert line["sent"] == {"state": 8 * 32_000}
    name = "ebonyhaven_control_link_wait_seconds"
    assert abs(registry.get_sample_value(name) - 24 * 32_000 / BYTES_PER_S) < 0.001
    for _ in range(4):
        clock.advance(1.1 * LOG_INTERVAL_S)
        assert link.measure_wait_s() == 0.0
        with capture_logs() as logs:
            metrics.count_message(Direction.SENT, FrameKind.HEARTBEAT, 300)
        assert not logs


def test_long_wait_names_what_it_comes_of():
    clock, _, _, metrics = start()
    for _ in range(60):
        metrics.count_message(Direction.SENT, FrameKind.STATE, 32_000)
    clock.advance(1.1 * LOG_INTERVAL_S)
    with capture_logs() as logs:
        metrics.count_message(Direction.SENT, FrameKind.HEARTBEAT, 300)
    assert [line["sent"] for line in logs] == [{"state": 1_920_000, "heartbeat": 300}]


def test_messages_that_leave_room_on_the_link_are_not_told():
    clock, _, link, metrics = start()
    with capture_logs() as logs:
        for _ in range(100):
            metrics.count_message(Direction.SENT, FrameKind.ENGINE_USE, 4_000)
            metrics.count_message("received", FrameKind.STATE, 32_000)
            clock.advance(0.01)
    assert not logs
    assert link.measure_wait_s() == 0.0


def test_bytes_of_all_messages_are_told_by_kind():
    clock, _, link, metrics = start()
    for kind, size in ((FrameKind.STATE, 32_000), (FrameKind.HEARTBEAT, 200)) * 2:
        metrics.count_message(Direction.SENT, kind, size)
        clock.advance(10.0)
    with capture_logs() as logs:
        link.log_total()
    assert [line["sent"] for line in logs] == [{"state": 64_000, "heartbeat": 400}]


def test_unknown_link_is_never_full():
    _, _, link, metrics = start(bytes_per_s=None)
    with capture_logs() as logs:
        for _ in range(100):
            metrics.count_message(Direction.SENT, FrameKind.STATE, 32_000)
    assert not logs
    assert link.measure_wait_s() == 0.0
