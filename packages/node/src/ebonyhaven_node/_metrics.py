"""Counters and histograms of a node.

A pair of workspace and class would make more label sets than a node has memory
for, so each histogram exists once by workspace and once by class.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_TOKEN_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 15.0, 60.0)
GAP_BUCKETS_S = (0.01, 0.03, 0.062, 0.1, 0.25, 1.0, 2.0)
RESUME_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0)


class RelayMetrics:
    """Metrics of the request path.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, registry: CollectorRegistry):
        self.requests = Counter(
            "ebonyhaven_requests",
            "Requests by how they ended.",
            ["outcome", "step"],
            registry=registry,
        )
        self.tokens_relayed = Counter(
            "ebonyhaven_tokens_relayed", "Tokens written to callers.", registry=registry
        )
        self.tokens_dropped = Counter(
            "ebonyhaven_tokens_dropped",
            "Tokens of attempts that were given up.",
            registry=registry,
        )
        self.suspicions = Counter(
            "ebonyhaven_suspicions",
            "Streams suspected, by cause.",
            ["cause"],
            registry=registry,
        )
        self.resumptions = Counter(
            "ebonyhaven_resumptions",
            "Streams that went on after a suspicion, by means.",
            ["means"],
            registry=registry,
        )
        self.open_runs = Gauge(
            "ebonyhaven_open_runs", "Runs that have not ended.", registry=registry
        )
        self._first_token = self._build(
            registry, "first_token", "Time to the first token.", FIRST_TOKEN_BUCKETS_S
        )
        self._gap = self._build(
            registry, "token_gap", "Time between tokens.", GAP_BUCKETS_S
        )
        self._resume = self._build(
            registry, "resume", "Time from a loss to the next token.", RESUME_BUCKETS_S
        )

    def observe_first_token(
        self, seconds: float, *, workspace: str, class_name: str
    ) -> None:
        """Record the time to a first token."""
        self._observe(self._first_token, seconds, workspace, class_name)

    def observe_gap(self, seconds: float, *, workspace: str, class_name: str) -> None:
        """Record a gap between tokens."""
        self._observe(self._gap, seconds, workspace, class_name)

    def observe_resume(
        self, seconds: float, *, workspace: str, class_name: str
    ) -> None:
        """Record the time from the last token before a loss to the next."""
        self._observe(self._resume, seconds, workspace, class_name)

    def _build(
        self,
        registry: CollectorRegistry,
        name: str,
        text: str,
        buckets: tuple[float, ...],
    ) -> dict[str, Histogram]:
        return {
            label: Histogram(
                f"ebonyhaven_{name}_by_{label}_seconds",
                text,
                [label],
                buckets=buckets,
                registry=registry,
            )
            for label in ("workspace", "class")
        }

    def _observe(
        self,
        histograms: dict[str, Histogram],
        seconds: float,
        workspace: str,
        class_name: str,
    ) -> None:
        histograms["workspace"].labels(workspace).observe(seconds)
        histograms["class"].labels(class_name).observe(seconds)
