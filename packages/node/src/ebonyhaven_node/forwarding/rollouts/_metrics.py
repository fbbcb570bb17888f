"""Metrics of roll-outs."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Iterable

from ebonyhaven_decisions.forwarding.rollouts import RolloutBook, RolloutState
from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector


class RolloutMetrics(Collector):
    """Roll-outs by state, read at each scrape, and writes of their stages.

    Parameters
    ----------
    registry : CollectorRegistry
    book : RolloutBook
    """

    def __init__(self, registry: CollectorRegistry, book: RolloutBook):
        self._book = book
        self._writes = Counter(
            "ebonyhaven_rollout_writes",
            "Writes of stages by this instance, by result.",
            ["result"],
            registry=registry,
        )
        registry.register(self)

    def record_write(self, result: str) -> None:
        """Count a write.

        Parameters
        ----------
        result : str
            Label of the metric.
        """
        self._writes.labels(result).inc()

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """See `Collector.collect`."""
        states = GaugeMetricFamily(
            "ebonyhaven_rollouts",
            "Roll-outs known to this instance, by state.",
            labels=["state"],
        )
        stages = map(self._book.find_stage, self._book.list_services())
        tally = Tally(each.state for each in stages if each is not None)
        for state in RolloutState:
            states.add_metric([state.value], tally[state])
        yield states
        unreadable = GaugeMetricFamily(
            "ebonyhaven_rollout_orders_unreadable", "Orders that couldn't be read."
        )
        unreadable.add_metric([], self._book.unreadable_orders)
        yield unreadable
