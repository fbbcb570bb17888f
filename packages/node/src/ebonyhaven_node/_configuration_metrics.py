"""Metrics of the configuration of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class ConfigurationMetrics:
    """Metrics of the configuration of an instance.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, registry: CollectorRegistry):
        self.version = Gauge(
            "ebonyhaven_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.reads = Counter(
            "ebonyhaven_configuration_reads",
            "Reads of the platform's table for new configurations.",
            ["result"],
            registry=registry,
        )
        self.accepted = Counter(
            "ebonyhaven_configuration_changes",
            "Configurations that came into force, by where they were learned.",
            ["source"],
            registry=registry,
        )
