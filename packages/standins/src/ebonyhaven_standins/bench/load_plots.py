"""Plots of the results of the load benchmark.

``python -m ebonyhaven_standins.bench.load_plots RESULTS.json FOLDER`` writes one SVG
file per plot.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple


class PlotSpec(NamedTuple):
    """Plot of one figure against the offered load.

    Parameters
    ----------
    key : str
        Name of the figure in the results.
    label : str
        Label of the value axis, with its unit.
    target : float or None
        Value that is drawn as a target line; None for no line.
    """

    key: str
    label: str
    target: float | None = None


PLOT_SPECS = (
    PlotSpec("look_up_p95_s", "look-up first token p95, s", 0.5),
    PlotSpec("analysis_p95_s", "analysis first token p95, s", 5.0),
    PlotSpec("goodput_of_offered", "goodput, share of min(load, capacity)", 0.95),
    PlotSpec("jain", "Jain's index of backlogged workspaces", 0.98),
)


def plot_load(results: Sequence[dict[str, Any]], folder: pathlib.Path) -> None:
    """Write the plots of the results of the ``load`` scenario.

    Parameters
    ----------
    results : sequence of dict
    folder : pathlib.Path
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    measured = [result for result in results if result["scenario"] == "load"]
    for spec in PLOT_SPECS:
        figure, axes = pyplot.subplots(figsize=(5, 3.5))
        for scheduling in dict.fromkeys(each["scheduling"] for each in measured):
            points = _collect_points(measured, scheduling, spec.key)
            axes.plot(points.keys(), points.values(), marker="o", label=scheduling)
        if spec.target is not None:
            axes.axhline(spec.target, linestyle=":", color="grey", label="target")
        axes.set_xlabel("load, share of capacity")
        axes.set_ylabel(spec.label)
        axes.legend()
        figure.tight_layout()
        figure.savefig(folder / f"load-{spec.key}.svg")
        pyplot.close(figure)


def _collect_points(
    results: Sequence[dict[str, Any]], scheduling: str, key: str
) -> dict[float, float]:
    """Return the median of a figure over the seeds, by load."""
    values: dict[float, list[float]] = {}
    for result in results:
        if result["scheduling"] == scheduling and result[key] is not None:
            values.setdefault(result["load"], []).append(result[key])
    return {load: statistics.median(group) for load, group in sorted(values.items())}


if __name__ == "__main__":
    plot_load(
        json.loads(pathlib.Path(sys.argv[1]).read_text()), pathlib.Path(sys.argv[2])
    )
