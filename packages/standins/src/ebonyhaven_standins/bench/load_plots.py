"""Plots of recorded load results.

``python -m ebonyhaven_standins.bench.load_plots RESULTS.json FOLDER`` writes one SVG
a figure.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple


class Figure(NamedTuple):
    """One plot of a value against the load.

    Parameters
    ----------
    key : str
        Member of the results.
    label : str
        Label of the axis, with its unit.
    target : float or None
        Level that is drawn as the target.
    """

    key: str
    label: str
    target: float | None = None


FIGURES = (
    Figure("look_up_p95_s", "look-up first token p95, s", 0.5),
    Figure("analysis_p95_s", "analysis first token p95, s", 5.0),
    Figure("goodput_of_offered", "goodput, share of min(load, capacity)", 0.95),
    Figure("jain", "Jain's index of backlogged workspaces", 0.98),
)


def plot_load(results: Sequence[dict[str, Any]], folder: pathlib.Path) -> None:
    """Write the plots of the results that vary the load.

    Parameters
    ----------
    results : sequence of dict
    folder : pathlib.Path
    """
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    measured = [result for result in results if result["scenario"] == "load"]
    for figure in FIGURES:
        drawing, axes = pyplot.subplots(figsize=(5, 3.5))
        for scheduling in dict.fromkeys(each["scheduling"] for each in measured):
            points = _collect_points(measured, scheduling, figure.key)
            axes.plot(points.keys(), points.values(), marker="o", label=scheduling)
        if figure.target is not None:
            axes.axhline(figure.target, linestyle=":", color="grey", label="target")
        axes.set_xlabel("load, share of capacity")
        axes.set_ylabel(figure.label)
        axes.legend()
        drawing.tight_layout()
        drawing.savefig(folder / f"load-{figure.key}.svg")
        pyplot.close(drawing)


def _collect_points(
    results: Sequence[dict[str, Any]], scheduling: str, key: str
) -> dict[float, float]:
    """Return the median over the seeds by load."""
    values: dict[float, list[float]] = {}
    for result in results:
        if result["scheduling"] == scheduling and result[key] is not None:
            values.setdefault(result["load"], []).append(result[key])
    return {load: statistics.median(found) for load, found in sorted(values.items())}


if __name__ == "__main__":
    plot_load(
        json.loads(pathlib.Path(sys.argv[1]).read_text()), pathlib.Path(sys.argv[2])
    )
