"""Checks the histories of callers against the execution logs of backend servers."""

from __future__ import annotations

from ebonyhaven_standins.checker._logs import (
    Evidence,
    LogLine,
    Timeline,
    TimelineEvent,
    TimelineKind,
    read_execution_logs,
)
from ebonyhaven_standins.checker._measures import (
    LatencySummary,
    compute_extra_resource_ratio,
    count_unresumed,
    measure_resume_latencies,
    summarize_latencies,
)
from ebonyhaven_standins.checker._report import Report, check
from ebonyhaven_standins.checker._violations import Violation, ViolationKind

__all__ = [
    "Evidence",
    "LatencySummary",
    "LogLine",
    "Report",
    "Timeline",
    "TimelineEvent",
    "TimelineKind",
    "Violation",
    "ViolationKind",
    "check",
    "count_unresumed",
    "compute_extra_resource_ratio",
    "measure_resume_latencies",
    "read_execution_logs",
    "summarize_latencies",
]
