"""Metrics of the membership protocol."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from ebonyhaven_decisions import Membership, MemberState
from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector


class _MembershipCollector(Collector):
    """Collects the metrics of a `Membership` when they are scraped."""

    def __init__(self, membership: Membership):
        self._membership = membership

    def collect(self) -> Iterator[Metric]:
        yield self._collect_members()
        yield self._collect_events()
        yield GaugeMetricFamily(
            "ebonyhaven_incarnation",
            "Incarnation of this instance.",
            value=self._membership.own.incarnation,
        )

    def _collect_members(self) -> Metric:
        family = GaugeMetricFamily(
            "ebonyhaven_members", "Known instances by state.", labels=["state"]
        )
        states = [record.state for record in self._membership.table]
        for state in MemberState:
            family.add_metric([state.name.lower()], states.count(state))
        return family

    def _collect_events(self) -> Metric:
        family = CounterMetricFamily(
            "ebonyhaven_membership_events", "Membership events.", labels=["event"]
        )
        for event, count in dataclasses.asdict(self._membership.counts).items():
            family.add_metric([event], count)
        return family


class MembershipMetrics:
    """Metrics of the membership controller.

    Parameters
    ----------
    registry : CollectorRegistry
    membership : Membership
    """

    def __init__(self, registry: CollectorRegistry, membership: Membership):
        self._faults = Counter(
            "ebonyhaven_membership_faults",
            "Messages and digests that were not understood.",
            ["fault"],
            registry=registry,
        )
        registry.register(_MembershipCollector(membership))

    def count_fault(self, fault: str) -> None:
        """Count a malformed message, or a malformed or oversized digest.

        Parameters
        ----------
        fault : str
            Value of the ``fault`` label.
        """
        self._faults.labels(fault).inc()
