"""Experiment: streams through the loss of whole data centres, in simulated time."""

from ebonyhaven_standins.resuming._experiment import Outcome, Way, play

__all__ = ["Outcome", "Way", "play"]
