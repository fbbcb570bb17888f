"""The report of all checks and measures."""

from __future__ import annotations

from typing import Any, NamedTuple

from ebonyhaven_standins.caller import COMPLETED
from ebonyhaven_standins.checker._answers import check_answers
from ebonyhaven_standins.checker._branches import check_branches
from ebonyhaven_standins.checker._control import check_control
from ebonyhaven_standins.checker._logs import Evidence
from ebonyhaven_standins.checker._measures import (
    LatencySummary,
    count_unresumed,
    measure_extra_resources,
    measure_resume_latencies,
    summarize_latencies,
)
from ebonyhaven_standins.checker._runs import check_runs
from ebonyhaven_standins.checker._violations import Violation, ViolationKind


class Report(NamedTuple):
    """What the checks found."""

    requests: int
    completed: int
    violations: list[Violation]
    resume_latency: LatencySummary
    unresumed: int
    extra_resource_ratio: float

    @property
    def holds(self) -> bool:
        """Whether no promise was broken."""
        return not self.violations

    def count(self, kind: ViolationKind) -> int:
        """Return how many tokens, runs or events a kind covers."""
        return sum(item.count for item in self.violations if item.kind is kind)

    def summarize(self) -> dict[str, Any]:
        """Return the figures as one JSON object."""
        latency = self.resume_latency
        others = {
            kind.value: self.count(kind)
            for kind in ViolationKind
            if kind not in _NAMED_FIGURES
        }
        return {
            "requests": self.requests,
            "completed": self.completed,
            "missing_tokens": self.count(ViolationKind.MISSING_TOKEN),
            "repeated_tokens": self.count(ViolationKind.REPEATED_TOKEN),
            "mixed_answers": self.count(ViolationKind.MIXED_ANSWER),
            "runs_of_not_repeatable_over_one": self.count(ViolationKind.SECOND_RUN),
            "resume_latency_seconds": {
                "p50": round(latency.p50, 4),
                "p95": round(latency.p95, 4),
                "max": round(latency.max, 4),
                "count": latency.count,
                "unresumed": self.unresumed,
            },
            "extra_resource_ratio": round(self.extra_resource_ratio, 4),
            "other_violations": others,
        }


_NAMED_FIGURES = frozenset(
    {
        ViolationKind.MISSING_TOKEN,
        ViolationKind.REPEATED_TOKEN,
        ViolationKind.MIXED_ANSWER,
        ViolationKind.SECOND_RUN,
    }
)


def check(evidence: Evidence) -> Report:
    """Run all checks and measures.

    Parameters
    ----------
    evidence : Evidence
        Histories of callers, execution logs and the timeline.

    Returns
    -------
    Report
    """
    violations = [
        *check_answers(evidence),
        *check_branches(evidence),
        *check_runs(evidence),
        *check_control(evidence),
    ]
    completed = sum(item["outcome"] == COMPLETED for item in evidence.records)
    return Report(
        requests=len(evidence.records),
        completed=completed,
        violations=violations,
        resume_latency=summarize_latencies(measure_resume_latencies(evidence)),
        unresumed=count_unresumed(evidence),
        extra_resource_ratio=measure_extra_resources(evidence),
    )
