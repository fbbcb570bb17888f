"""Command line of the slope tool."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

RESULTS_PATH = pathlib.Path("bench/results/slopes.json")


def main(
    measure: Annotated[
        str | None, typer.Option(help="Take one measurement and print its points.")
    ] = None,
    output: Annotated[pathlib.Path, typer.Option(help="JSON file.")] = RESULTS_PATH,
    again: Annotated[
        bool, typer.Option(help="Measure what the JSON file holds already.")
    ] = True,
    page: Annotated[
        pathlib.Path | None,
        typer.Option(help="Page whose tables are replaced, such as docs/CAPACITY.md."),
    ] = None,
) -> None:
    """Measure all slopes, print the tables and write the points as JSON."""
    from ebonyhaven_standins.slopes import print_points, run_benchmarks

    if measure is not None:
        print_points(measure)
    else:
        run_benchmarks(output=output, page=page, again=again)


if __name__ == "__main__":
    typer.run(main)
