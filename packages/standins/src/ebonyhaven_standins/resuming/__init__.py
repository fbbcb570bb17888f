"""Simulations of streams under losses and overload, in simulated time."""

from ebonyhaven_standins.resuming._experiment import ExperimentResult, run_experiment
from ebonyhaven_standins.resuming._overload import (
    OVERLOAD_END_S,
    WINDOW_S,
    OverloadResult,
    run_overload,
)
from ebonyhaven_standins.resuming._simulation import RecoveryStrategy

__all__ = [
    "OVERLOAD_END_S",
    "WINDOW_S",
    "ExperimentResult",
    "OverloadResult",
    "RecoveryStrategy",
    "run_experiment",
    "run_overload",
]
