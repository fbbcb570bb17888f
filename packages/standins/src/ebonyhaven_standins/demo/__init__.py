"""Demo of two workloads during which an engine and an instance are killed."""

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
