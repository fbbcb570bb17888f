"""The demo: two workloads, one engine and one instance killed mid-stream."""

from __future__ import annotations

from ebonyhaven_standins.demo._run import (
    count_unavoidable_unknowns,
    decide_exit_code,
    make_deployment,
    run_demo,
)
from ebonyhaven_standins.demo._workload import make_arrivals

__all__ = [
    "count_unavoidable_unknowns",
    "decide_exit_code",
    "make_arrivals",
    "make_deployment",
    "run_demo",
]
