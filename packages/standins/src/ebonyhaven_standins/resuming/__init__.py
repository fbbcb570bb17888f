"""Experiment on stream recovery after data centre losses, in simulated time."""

from ebonyhaven_standins.resuming._experiment import (
    ExperimentResult,
    RecoveryStrategy,
    run_experiment,
)

__all__ = ["ExperimentResult", "RecoveryStrategy", "run_experiment"]
