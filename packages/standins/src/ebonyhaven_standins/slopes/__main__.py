"""Command line of the scaling benchmarks."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

RESULTS_PATH = pathlib.Path("bench/results/slopes.json")


def main(
    measure: Annotated[
        str | None, typer.Option(help="Run one benchmark and print its points.")
    ] = None,
    output: Annotated[
        pathlib.Path, typer.Option(help="JSON file of the results.")
    ] = RESULTS_PATH,
    again: Annotated[
        bool, typer.Option(help="Repeat benchmarks whose results are in the JSON file.")
    ] = True,
    page: Annotated[
        pathlib.Path | None,
        typer.Option(help="Markdown page to update, such as docs/CAPACITY.md."),
    ] = None,
) -> None:
    """Run the benchmarks, print the tables and write the points as JSON."""
    from ebonyhaven_standins.slopes import print_points, run_benchmarks

    if measure is not None:
        print_points(measure)
    else:
        run_benchmarks(output=output, page=page, remeasure=again)


if __name__ == "__main__":
    typer.run(main)
