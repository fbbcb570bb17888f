"""Report of all checks and measures."""

from __future__ import annotations

from typing import Any, NamedTuple

from ebonyhaven_standins.caller import COMPLETED
from ebonyhaven_standins.checker._answers import check_answers
from ebonyhaven_standins.checker._continuations import check_continuations
from ebonyhaven_standins.checker._control import check_control_plane
from ebonyhaven_standins.checker._logs import Evidence
from ebonyhaven_standins.checker._measures import (
    LatencySummary,
    compute_extra_resource_ratio,
    count_unresumed,
    measure_resume_latencies,
    summarize_latencies,
)
from ebonyhaven_standins.checker._runs import check_runs
from ebonyhaven_standins.checker._violations import Violation, ViolationKind


class Report(NamedTuple):
    """Violations and measures of one scenario run.

    ``requests`` and ``completed`` are numbers of requests, ``unresumed`` is a number
    of streams.
    """

    requests: int
    completed: int
    violations: list[Violation]
    resume_latency: LatencySummary
    unresumed: int
    extra_resource_ratio: float

    @property
    def passed(self) -> bool:
        """Whether the checks found no violation."""
        return not self.violations

    def count(self, kind: ViolationKind) -> int:
        """Return the number of tokens, runs or events in violations of a kind."""
        return sum(item.count for item in self.violations if item.kind is kind)

    def summarize(self) -> dict[str, Any]:
        """Return the figures of the report as a JSON object."""
        latency = self.resume_latency
        others = {
            kind.value: self.count(kind)
            for kind in ViolationKind
            if kind not in _TOP_LEVEL_KINDS
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


_TOP_LEVEL_KINDS = frozenset(
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
        Histories of callers, execution logs and timeline.

    Returns
    -------
    Report
    """
    violations = [
        *check_answers(evidence),
        *check_continuations(evidence),
        *check_runs(evidence),
        *check_control_plane(evidence),
    ]
    completed = sum(item["outcome"] == COMPLETED for item in evidence.records)
    return Report(
        requests=len(evidence.records),
        completed=completed,
        violations=violations,
        resume_latency=summarize_latencies(measure_resume_latencies(evidence)),
        unresumed=count_unresumed(evidence),
        extra_resource_ratio=compute_extra_resource_ratio(evidence),
    )
