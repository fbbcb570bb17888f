"""Command line that runs the benchmark scenarios."""

from __future__ import annotations

import datetime
import json
import os
import pathlib
from typing import Annotated, Any

import typer
from twisted.internet import defer, task

from ebonyhaven_standins.bench._bench_scenario import BenchScenario, Size
from ebonyhaven_standins.bench._scenarios import list_scenarios

RESULTS = pathlib.Path("bench") / "results"


def main(
    *,
    short: Annotated[
        bool,
        typer.Option("--short", help="Fewer seeds, requests and faults (default)."),
    ] = False,
    full: Annotated[
        bool, typer.Option("--full", help="All seeds, requests and faults.")
    ] = False,
    only: Annotated[
        list[str] | None,
        typer.Option(help="Scenario to run; repeatable. Default: all scenarios."),
    ] = None,
    results: Annotated[pathlib.Path, typer.Option(help="Folder.")] = RESULTS,
) -> None:
    """Run the scenarios, print one JSON object each and write it to a file."""
    if short and full:
        raise typer.BadParameter("--short and --full exclude each other")
    size = Size.FULL if full else Size.SHORT
    scenarios = select_scenarios(only)
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_scenarios(reactor, scenarios, size, results)
        )
    )


def select_scenarios(only: list[str] | None) -> list[BenchScenario]:
    """Return the scenarios with the given names.

    Parameters
    ----------
    only : list of str or None
        Names of the scenarios; None or an empty list selects all.

    Returns
    -------
    list of BenchScenario

    Raises
    ------
    typer.BadParameter
        If a name is unknown.
    """
    scenarios = {scenario.name: scenario for scenario in list_scenarios()}
    if not only:
        return list(scenarios.values())
    unknown = sorted(set(only) - set(scenarios))
    if unknown:
        known = ", ".join(scenarios)
        raise typer.BadParameter(f"unknown scenarios {unknown}; known are {known}")
    return [scenarios[name] for name in only]


async def run_scenarios(
    reactor: Any, scenarios: list[BenchScenario], size: Size, results: pathlib.Path
) -> None:
    """Run scenarios sequentially, printing and storing the result of each.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    scenarios : list of BenchScenario
    size : Size
    results : pathlib.Path
        Folder for the result files, one per scenario.

    Raises
    ------
    SystemExit
        With code 1 if a scenario counted violations, otherwise 0.
    """
    results.mkdir(parents=True, exist_ok=True)
    violation_count = 0
    for scenario in scenarios:
        figures = await scenario.run(reactor, size)
        violation_count += figures["broken"]
        record = {
            "scenario": scenario.name,
            "size": str(size),
            "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            "cores": os.cpu_count(),
            "load_average": round(os.getloadavg()[0], 1),
            **figures,
        }
        print(json.dumps(record), flush=True)
        path = results / f"{scenario.name}-{size}.json"
        path.write_text(json.dumps(record, indent=2) + "\n")
    raise SystemExit(1 if violation_count else 0)


if __name__ == "__main__":
    typer.run(main)
