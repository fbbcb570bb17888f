"""Starts the deployment of the demo, runs it and prints what held."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from twisted.internet import defer, task

from ebonyhaven_standins.caller import COMPLETED
from ebonyhaven_standins.checker import Evidence, Report, check
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.demo._workload import (
    LARGE_WORKSPACE,
    SMALL_WORKSPACES,
    make_arrivals,
)
from ebonyhaven_standins.scenario import (
    Deployment,
    Progress,
    Runner,
    Scenario,
    ServerSpec,
    TimedAction,
    kill_busiest_engine,
    kill_busiest_instance,
    start_deployment,
)

SEED = 7
UNKNOWN = "unknown"
ENGINE_KILL_S = 6.0
INSTANCE_KILL_S = 10.0
DATA_CENTRES = ("ba-petrzalka", "ba-ruzinov", "tt-hall")


def make_deployment() -> Deployment:
    """Return four engines and three instances in three data centres."""
    engines = [
        ServerSpec(name=f"s{number + 1:02d}", data_centre=DATA_CENTRES[number % 3])
        for number in range(4)
    ]
    instances = {f"n{number + 1}": name for number, name in enumerate(DATA_CENTRES)}
    return Deployment(
        region="sk-west",
        instances=instances,
        engines=engines,
        workspaces=(LARGE_WORKSPACE, *SMALL_WORKSPACES),
        seed=SEED,
    )


def show(item: Progress | str) -> None:
    """Print progress or what is done to the processes."""
    if isinstance(item, Progress):
        item = (
            f"{item.at_s:5.1f} s: {item.waiting} waiting, {item.streaming} streaming, "
            f"{item.finished} finished, {item.tokens} tokens received"
        )
    print(item, flush=True)


def explain_incomplete(evidence: Evidence) -> None:
    """Print the requests that did not complete."""
    for record in evidence.records:
        if record["outcome"] != COMPLETED:
            last = record["connections"][-1]
            print(
                f"incomplete: {record['key']} {record['outcome']} at "
                f"{last['step']} {last['peer']}: {last['reason']}"
            )


def count_unavoidable_unknowns(records: Iterable[Mapping[str, Any]]) -> int:
    """Return the requests for which ``unknown`` is the only true answer.

    A request that must not be repeated and had no token when its engine was killed
    may have run there: it is neither started again nor called not run.

    Parameters
    ----------
    records : iterable of mapping
        What callers saw, one a request.

    Returns
    -------
    int
    """
    return sum(
        record["outcome"] == UNKNOWN
        and not record["repeatable"]
        and not record["tokens"]
        for record in records
    )


def decide_exit_code(report: Report, *, unavoidable_unknowns: int = 0) -> int:
    """Return 0 if every promise held and every request completed, else 1.

    Parameters
    ----------
    report : Report
    unavoidable_unknowns : int
        Requests that could not be completed, see `count_unavoidable_unknowns`.

    Returns
    -------
    int
    """
    is_complete = report.completed + unavoidable_unknowns == report.requests
    return 0 if report.passed and is_complete else 1


def run_demo() -> None:
    """Run the demo and exit with its exit code.

    Raises
    ------
    SystemExit
        Always; the code is 0 if every promise held and all requests completed.
    """
    task.react(lambda reactor: defer.Deferred.fromCoroutine(_run(reactor)))


async def _run(reactor: Any) -> None:
    deployment = make_deployment()
    scenario = Scenario(
        arrivals=make_arrivals(SEED),
        actions=[
            TimedAction(ENGINE_KILL_S, kill_busiest_engine),
            TimedAction(INSTANCE_KILL_S, kill_busiest_instance),
        ],
        seed=SEED,
    )
    with Cluster() as cluster:
        print("starting platform, 4 engines and 3 instances", flush=True)
        start_deployment(cluster, deployment)
        runner = Runner(
            reactor=reactor,
            cluster=cluster,
            instances=list(deployment.instances),
            scenario=scenario,
            on_update=show,
        )
        evidence = await runner.run()
    report = check(evidence)
    for violation in report.violations:
        print(f"broken: {violation.kind} {violation.subject}: {violation.detail}")
    explain_incomplete(evidence)
    print(json.dumps(report.summarize()), flush=True)
    unavoidable_unknowns = count_unavoidable_unknowns(evidence.records)
    raise SystemExit(
        decide_exit_code(report, unavoidable_unknowns=unavoidable_unknowns)
    )
