"""Experiment: streams through the loss of whole data centres, in simulated time."""

from ebonyhaven_standins.resuming._experiment import (
    ExperimentResult,
    RecoveryStrategy,
    run_experiment,
)

__all__ = ["ExperimentResult", "RecoveryStrategy", "run_experiment"]
