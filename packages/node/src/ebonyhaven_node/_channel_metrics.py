"""Metrics of the messages between instances."""

from __future__ import annotations

import enum
import math
import time
from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from ebonyhaven_node._frames import FrameKind
from ebonyhaven_node._link_monitor import LinkMonitor

BURST_S = 0.1  # what is sent within it is held to leave together
BURST_BUCKETS_BYTES = tuple(1024 * 2**step for step in range(11))


class Direction(enum.StrEnum):
    """Direction of a message, as seen by this instance."""

    SENT = "sent"
    RECEIVED = "received"


class ChannelMetrics(Collector):
    """Counters of the messages between instances.

    Messages and bytes are plain numbers that become metrics when these are read: an
    instance handles some thousand messages between two readings.

    Parameters
    ----------
    registry : CollectorRegistry
    clock : callable
        Returns seconds.
    link : LinkMonitor or None
        Told of each message that is sent.

    Attributes
    ----------
    dropped : Counter
        Messages that were not sent or not understood, by reason.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        clock: Callable[[], float] = time.monotonic,
        link: LinkMonitor | None = None,
    ):
        self._clock = clock
        self._link = link
        self._messages = {each: dict.fromkeys(FrameKind, 0) for each in Direction}
        self._bytes = {each: dict.fromkeys(FrameKind, 0) for each in Direction}
        self.dropped = Counter(
            "ebonyhaven_control_dropped",
            "Messages between instances that were not sent or not understood.",
            ["reason"],
            registry=registry,
        )
        self._burst = Histogram(
            "ebonyhaven_control_burst_bytes",
            "Bytes sent to other instances within a tenth of a second, if any were.",
            buckets=BURST_BUCKETS_BYTES,
            registry=registry,
        )
        self._burst_bytes = 0
        self._burst_end = -math.inf
        registry.register(self)

    def count_message(self, direction: Direction, kind: FrameKind, size: int) -> None:
        """Count one message.

        Parameters
        ----------
        direction : Direction
        kind : FrameKind
        size : int
            Size in bytes, including the length header.
        """
        self._messages[direction][kind] += 1
        self._bytes[direction][kind] += size
        if direction is Direction.SENT:
            self._count_burst(size)
            if self._link is not None:
                self._link.record_sent(kind, size)

    def collect(self) -> Iterable[CounterMetricFamily]:
        """See `Collector.collect`."""
        messages = CounterMetricFamily(
            "ebonyhaven_control_messages",
            "Messages between instances.",
            labels=["direction", "kind"],
        )
        size = CounterMetricFamily(
            "ebonyhaven_control_bytes",
            "Bytes of messages between instances with their length header.",
            labels=["direction"],
        )
        sent = CounterMetricFamily(
            "ebonyhaven_control_sent_bytes",
            "Bytes of messages to other instances with their length header.",
            labels=["kind"],
        )
        for direction in Direction:
            for kind, count in self._messages[direction].items():
                messages.add_metric([direction, kind.name.lower()], count)
            size.add_metric([direction], sum(self._bytes[direction].values()))
        for kind, count in self._bytes[Direction.SENT].items():
            sent.add_metric([kind.name.lower()], count)
        return messages, size, sent

    def _count_burst(self, size: int) -> None:
        now = self._clock()
        if now >= self._burst_end:
            if self._burst_bytes:
                self._burst.observe(self._burst_bytes)
            self._burst_bytes = 0
            self._burst_end = now + BURST_S
        self._burst_bytes += size
