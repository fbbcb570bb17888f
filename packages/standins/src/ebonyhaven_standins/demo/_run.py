"""Runs the demo and prints its results."""

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
ENGINE_KILL_AT_S = 6.0
INSTANCE_KILL_AT_S = 10.0
DATA_CENTRES = ("ba-petrzalka", "ba-ruzinov", "tt-hall")


def make_deployment() -> Deployment:
    """Return a deployment of 4 engines and 3 instances in 3 data centres."""
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


def print_update(item: Progress | str) -> None:
    """Print the progress of the demo or the description of an action."""
    if isinstance(item, Progress):
        item = (
            f"{item.at_s:5.1f} s: {item.waiting} waiting, {item.streaming} streaming, "
            f"{item.finished} finished, {item.tokens} tokens received"
        )
    print(item, flush=True)


def print_incomplete(evidence: Evidence) -> None:
    """Print the requests that did not complete, with their last connection."""
    for record in evidence.records:
        if record["outcome"] != COMPLETED:
            last = record["connections"][-1]
            print(
                f"incomplete: {record['key']} {record['outcome']} at "
                f"{last['step']} {last['peer']}: {last['reason']}"
            )


def count_unavoidable_unknowns(records: Iterable[Mapping[str, Any]]) -> int:
    """Return the number of requests whose outcome has to be ``unknown``.

    A request that is not repeatable and has no token may have run on an engine that
    was killed. It can neither be run again nor get the outcome ``not_run``.

    Parameters
    ----------
    records : iterable of mapping
        Records of the callers, one per request.

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
    """Return 0 if no violation was found and all requests completed, else 1.

    Parameters
    ----------
    report : Report
    unavoidable_unknowns : int
        Number of incomplete requests to accept, see `count_unavoidable_unknowns`.

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
        Always; with the exit code of `decide_exit_code`.
    """
    task.react(lambda reactor: defer.Deferred.fromCoroutine(_run(reactor)))


async def _run(reactor: Any) -> None:
    deployment = make_deployment()
    scenario = Scenario(
        arrivals=make_arrivals(SEED),
        actions=[
            TimedAction(ENGINE_KILL_AT_S, kill_busiest_engine),
            TimedAction(INSTANCE_KILL_AT_S, kill_busiest_instance),
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
            on_update=print_update,
        )
        evidence = await runner.run()
    report = check(evidence)
    for violation in report.violations:
        print(f"broken: {violation.kind} {violation.subject}: {violation.detail}")
    print_incomplete(evidence)
    print(json.dumps(report.summarize()), flush=True)
    unavoidable_unknowns = count_unavoidable_unknowns(evidence.records)
    raise SystemExit(
        decide_exit_code(report, unavoidable_unknowns=unavoidable_unknowns)
    )
