"""Plays each way at several loads and writes the results."""

from __future__ import annotations

import json
import logging
import pathlib

import structlog

from ebonyhaven_standins.resuming._experiment import (
    ExperimentResult,
    RecoveryStrategy,
    run_experiment,
)

STREAM_ARRIVALS_PER_S = (2.0, 5.0, 8.0, 12.0)
RESULTS_PATH = pathlib.Path("bench/results/resuming.json")
PLOT_PATH = pathlib.Path("bench/results/resuming.png")


def main() -> None:
    """Print one line a run and write all of them as JSON."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    outcomes: list[ExperimentResult] = []
    for per_s in STREAM_ARRIVALS_PER_S:
        for way in RecoveryStrategy:
            outcome = run_experiment(way, per_s)
            outcomes.append(outcome)
            print(json.dumps(outcome._asdict()), flush=True)
    RESULTS_PATH.parent.mkdir(parents=True, exist_ok=True)
    document = [outcome._asdict() for outcome in outcomes]
    RESULTS_PATH.write_text(json.dumps(document, indent=1) + "\n")
    plot_results(outcomes, PLOT_PATH)


def plot_results(outcomes: list[ExperimentResult], path: pathlib.Path) -> None:
    """Draw the share of streams in time over the load, a line for each way.

    Parameters
    ----------
    outcomes : list of ExperimentResult
    path : pathlib.Path
        Where the picture goes.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for way in RecoveryStrategy:
        own = [each for each in outcomes if each.way == way.value]
        loads = [each.per_s for each in own]
        axes.plot(loads, [each.in_time for each in own], marker="o", label=way.value)
    axes.set_xlabel("streams a second")
    axes.set_ylabel("share in time")
    axes.set_ylim(0.0, 1.05)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


if __name__ == "__main__":
    main()
