"""Metrics of the streams that wait for room at engines."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ebonyhaven_node.forwarding.waiting._state import WaitingState

WAIT_BUCKETS_S = (0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class _WaitingCollector(Collector):
    def __init__(self, state: WaitingState):
        self._state = state

    def collect(self):
        family = GaugeMetricFamily(
            "ebonyhaven_streams_waiting",
            "Streams that wait for a server, by rank; 0 is the most urgent.",
            labels=["rank"],
        )
        for rank, count in enumerate(self._state.count_by_rank()):
            family.add_metric([str(rank)], count)
        yield family


class WaitingMetrics:
    """Waits of streams by rank, and forecasts of them.

    Parameters
    ----------
    registry : CollectorRegistry
    state : WaitingState
    """

    def __init__(self, registry: CollectorRegistry, state: WaitingState):
        registry.register(_WaitingCollector(state))
        self.wait = Histogram(
            "ebonyhaven_stream_wait_seconds",
            "Wait of a stream that got a server, by rank.",
            ["rank"],
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.forecast_error = Histogram(
            "ebonyhaven_wait_forecast_error_seconds",
            "Difference between the first forecast of a wait and the wait.",
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.refused = Counter(
            "ebonyhaven_streams_refused_by_forecast",
            "Streams refused because room would come too late for them, by rank.",
            ["rank"],
            registry=registry,
        )
