"""Runs each benchmark in a separate process and collects the results."""

from __future__ import annotations

import json
import pathlib
import platform
import subprocess
import sys
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ebonyhaven_standins.slopes import (
    _idle_nodes,
    _kept_runs,
    _losses,
    _membership,
    _memory,
    _platform_reads,
    _process_usage,
    _processor,
    _relaying,
)
from ebonyhaven_standins.slopes._capacity import render_capacity
from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._quantities import (
    QUANTITIES,
    Measurement,
    make_measurement,
)
from ebonyhaven_standins.slopes._tables import render_slopes, replace_tables


class Benchmark(NamedTuple):
    """A function that measures quantities, and the keys of these quantities."""

    measure: Callable[[], list[Measurement]]
    keys: tuple[str, ...]


BENCHMARKS: Mapping[str, Benchmark] = {
    "bare_interpreter": Benchmark(
        _process_usage.measure_bare_interpreter, ("bare_interpreter",)
    ),
    "libraries": Benchmark(_process_usage.measure_libraries, ("libraries",)),
    "rest": Benchmark(
        _idle_nodes.measure_idle_nodes,
        (
            "node_at_rest",
            "rest_bytes",
            "rest_cpu",
            "rest_reads",
            "pool_reads",
            "pool_writes",
        ),
    ),
    "peer_state": Benchmark(_memory.measure_peer_state, ("peer_state",)),
    "server_state": Benchmark(_memory.measure_server_state, ("server_state",)),
    "workspace_state": Benchmark(_memory.measure_workspace_state, ("workspace_state",)),
    "workspace_metrics": Benchmark(
        _memory.measure_workspace_metrics, ("workspace_metrics",)
    ),
    "streams": Benchmark(_relaying.measure_streams, ("stream_memory",)),
    "kept_runs": Benchmark(
        _kept_runs.measure_kept_runs, ("key_memory", "token_memory")
    ),
    "relaying": Benchmark(_relaying.measure_relaying, ("token_cpu", "request_cpu")),
    "messages": Benchmark(_processor.measure_messages, ("message_cpu",)),
    "routing": Benchmark(_processor.measure_routing, ("routing_cpu",)),
    "scrape": Benchmark(_processor.measure_scrape, ("scrape_cpu",)),
    "membership": Benchmark(
        _membership.measure_membership,
        ("membership_messages", "membership_bytes", "membership_cpu"),
    ),
    "list": Benchmark(
        _platform_reads.measure_list, ("list_bytes", "list_cpu", "list_state")
    ),
    "declaration": Benchmark(
        _platform_reads.measure_declaration, ("declaration_bytes",)
    ),
    "losses": Benchmark(
        _losses.measure_losses, ("loss_seconds", "loss_messages", "loss_bytes")
    ),
    "split": Benchmark(_losses.measure_partition, ("heal_seconds",)),
}
_POINTS_PREFIX = "points: "


def print_points(name: str) -> None:
    """Run one benchmark and print its points as JSON.

    Parameters
    ----------
    name : str
        Key of `BENCHMARKS`.
    """
    points = {item.quantity.key: item.points for item in BENCHMARKS[name].measure()}
    print(_POINTS_PREFIX + json.dumps(points), flush=True)


def run_benchmarks(
    *, output: pathlib.Path, page: pathlib.Path | None, remeasure: bool
) -> None:
    """Run the benchmarks, print the tables and write the points.

    Parameters
    ----------
    output : pathlib.Path
        JSON file of the points, written after each benchmark.
    page : pathlib.Path or None
        Markdown page whose tables are replaced.
    remeasure : bool
        Whether to repeat benchmarks whose points are in the file.
    """
    points = read_points(output) if output.exists() and not remeasure else {}
    for name, benchmark in BENCHMARKS.items():
        if all(key in points for key in benchmark.keys):
            continue
        print(f"measuring {name}", file=sys.stderr, flush=True)
        points |= _measure_in_subprocess(name)
        write_points(output, points)
    measurements = make_measurements(points)
    tables = {
        "slopes": render_slopes(measurements),
        "capacity": render_capacity(measurements),
    }
    for table in tables.values():
        print(table)
    if page is not None:
        page.write_text(replace_tables(page.read_text(), tables))


def make_measurements(
    points: Mapping[str, list[Point]],
) -> dict[str, Measurement]:
    """Return the measurements of all quantities, in the order of `QUANTITIES`."""
    return {
        quantity.key: make_measurement(quantity.key, points[quantity.key])
        for quantity in QUANTITIES
    }


def write_points(path: pathlib.Path, points: Mapping[str, list[Point]]) -> None:
    """Write points, values and units as JSON.

    Parameters
    ----------
    path : pathlib.Path
    points : mapping of str to list of Point
        Points by key of their quantity; quantities may be missing.
    """
    measurements = [
        make_measurement(quantity.key, points[quantity.key])
        for quantity in QUANTITIES
        if quantity.key in points
    ]
    rows = {
        item.quantity.key: {
            "unit": item.quantity.unit,
            "size_unit": item.quantity.size_unit,
            "points": item.points,
            "value": item.value,
            "error_percent": item.fit.error_percent,
        }
        for item in measurements
    }
    content = {"python": platform.python_version(), "rows": rows}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n")


def read_points(path: pathlib.Path) -> dict[str, list[Point]]:
    """Return the points by key from a file that `write_points` wrote."""
    rows = json.loads(path.read_text())["rows"]
    return {key: [Point(*pair) for pair in row["points"]] for key, row in rows.items()}


def _measure_in_subprocess(name: str) -> dict[str, list[Point]]:
    command = [sys.executable, "-m", "ebonyhaven_standins.slopes", "--measure", name]
    result = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True)
    lines = [
        line for line in result.stdout.splitlines() if line.startswith(_POINTS_PREFIX)
    ]
    points = json.loads(lines[-1].removeprefix(_POINTS_PREFIX))
    return {key: [Point(*pair) for pair in pairs] for key, pairs in points.items()}
