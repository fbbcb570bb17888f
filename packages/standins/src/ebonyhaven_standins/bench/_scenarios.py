"""Registry of the benchmark scenarios."""

from __future__ import annotations

from ebonyhaven_standins.bench._bench_scenario import BenchScenario
from ebonyhaven_standins.bench._losses import Loss, LossScenario
from ebonyhaven_standins.bench._soak import SoakScenario


def list_scenarios() -> list[BenchScenario]:
    """Return all scenarios in the order in which they run.

    Returns
    -------
    list of BenchScenario
    """
    return [
        *(LossScenario(loss) for loss in Loss),
        SoakScenario("soak"),
    ]
