"""Counters and histograms of a node.

Each histogram exists once by workspace and once by class, because label sets for
all pairs of workspace and class would take more memory than a node has.
"""

from __future__ import annotations

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_TOKEN_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 15.0, 60.0)
GAP_BUCKETS_S = (0.01, 0.03, 0.062, 0.1, 0.25, 1.0, 2.0)
RESUME_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0)


class RunMetrics(NamedTuple):
    """Histograms for the durations of one run, each by workspace and by class.

    Parameters
    ----------
    first_token : tuple of Histogram
        Time to the first token, seconds.
    gap : tuple of Histogram
        Time between tokens, seconds.
    resume : tuple of Histogram
        Time from a loss to the next token, seconds.
    """

    first_token: tuple[Histogram, Histogram]
    gap: tuple[Histogram, Histogram]
    resume: tuple[Histogram, Histogram]


def observe(histograms: tuple[Histogram, Histogram], seconds: float) -> None:
    """Record a duration by workspace and by class.

    Parameters
    ----------
    histograms : tuple of Histogram
        By workspace and by class.
    seconds : float
    """
    by_workspace, by_class = histograms
    by_workspace.observe(seconds)
    by_class.observe(seconds)


class RelayMetrics:
    """Metrics of generation requests and their runs.

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
        self.open_runs = Gauge(
            "ebonyhaven_open_runs", "Runs that have not ended.", registry=registry
        )
        self._first_token = self._build_histograms(
            registry, "first_token", "Time to the first token.", FIRST_TOKEN_BUCKETS_S
        )
        self._gap = self._build_histograms(
            registry, "token_gap", "Time between tokens.", GAP_BUCKETS_S
        )
        self._resume = self._build_histograms(
            registry, "resume", "Time from a loss to the next token.", RESUME_BUCKETS_S
        )

    def bind(self, *, workspace: str, class_name: str) -> RunMetrics:
        """Return the histograms of a run, with its labels applied.

        Parameters
        ----------
        workspace, class_name : str

        Returns
        -------
        RunMetrics
        """
        names = {"workspace": workspace, "class": class_name}
        return RunMetrics(
            *(
                tuple(family[label].labels(name) for label, name in names.items())
                for family in (self._first_token, self._gap, self._resume)
            )
        )

    def _build_histograms(
        self,
        registry: CollectorRegistry,
        name: str,
        documentation: str,
        buckets: tuple[float, ...],
    ) -> dict[str, Histogram]:
        return {
            label: Histogram(
                f"ebonyhaven_{name}_by_{label}_seconds",
                documentation,
                [label],
                buckets=buckets,
                registry=registry,
            )
            for label in ("workspace", "class")
        }
