"""Runs the experiment for each strategy and arrival rate and writes the results."""

from __future__ import annotations

import json
import logging
import pathlib

import structlog

from ebonyhaven_standins.resuming._experiment import ExperimentResult, run_experiment
from ebonyhaven_standins.resuming._simulation import RecoveryStrategy

STREAM_ARRIVALS_PER_S = (2.0, 5.0, 8.0, 12.0)
RESULTS_PATH = pathlib.Path("bench/results/resuming.json")
PLOT_PATH = pathlib.Path("bench/results/resuming.png")


def main() -> None:
    """Print one JSON line per run and write all results as JSON and as a plot."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    results: list[ExperimentResult] = []
    for streams_per_s in STREAM_ARRIVALS_PER_S:
        for strategy in RecoveryStrategy:
            result = run_experiment(strategy, streams_per_s)
            results.append(result)
            print(json.dumps(result._asdict()), flush=True)
    RESULTS_PATH.parent.mkdir(parents=True, exist_ok=True)
    document = [result._asdict() for result in results]
    RESULTS_PATH.write_text(json.dumps(document, indent=1) + "\n")
    plot_results(results, PLOT_PATH)


def plot_results(results: list[ExperimentResult], path: pathlib.Path) -> None:
    """Plot the share of streams that meet the targets against the arrival rate.

    Parameters
    ----------
    results : list of ExperimentResult
        Results of each strategy, in increasing order of the arrival rate.
    path : pathlib.Path
        File of the plot.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for strategy in RecoveryStrategy:
        selected = [item for item in results if item.way == strategy.value]
        rates = [item.per_s for item in selected]
        axes.plot(
            rates, [item.in_time for item in selected], marker="o", label=strategy.value
        )
    axes.set_xlabel("streams a second")
    axes.set_ylabel("share in time")
    axes.set_ylim(0.0, 1.05)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


if __name__ == "__main__":
    main()
