"""All scenarios of the bench; a new one adds a line here."""

from __future__ import annotations

from ebonyhaven_standins.bench._catalogue import BenchScenario
from ebonyhaven_standins.bench._losses import Loss, LossScenario
from ebonyhaven_standins.bench._soak import SoakScenario


def list_scenarios() -> list[BenchScenario]:
    """Return the scenarios in the order in which they run.

    Returns
    -------
    list of BenchScenario
    """
    return [
        *(LossScenario(loss) for loss in Loss),
        SoakScenario("soak"),
    ]
