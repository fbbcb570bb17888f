"""End-to-end scenarios with real processes.

An engine or an instance is killed while it streams; all answers must be complete.
"""

from __future__ import annotations

import random

from ebonyhaven_standins.caller import CompletionRequest
from ebonyhaven_standins.checker import check
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.demo import count_unavoidable_unknowns, decide_exit_code
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    LOOK_UP,
    Arrival,
    Deployment,
    Runner,
    Scenario,
    ServerSpec,
    TimedAction,
    kill_busiest_engine,
    kill_busiest_instance,
    start_deployment,
)
from twisted.internet import reactor

from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 150.0
# Long enough that all analysis streams are still open when the process is killed.
ANALYSIS_TOKENS = 160
RESUME_TARGET_S = 2.0


def make_deployment():
    return Deployment(
        region="r1",
        instances={"n1": "dc-a", "n2": "dc-b", "n3": "dc-c"},
        engines=[
            ServerSpec(name=f"s{number}", data_centre=f"dc-{letter}")
            for number, letter in enumerate("abc")
        ],
        workspaces=["studio-a", "studio-b"],
    )


def make_arrivals():
    generator = random.Random(5)
    arrivals = []
    for number in range(9):
        request = CompletionRequest(
            workspace=generator.choice(["studio-a", "studio-b"]),
            request_class=ANALYSIS,
            prompt=f"Dossier {number}. " * 40,
            max_tokens=ANALYSIS_TOKENS,
            repeatable=number % 3 != 0,
        )
        arrivals.append(Arrival(0.1 * number, request))
    for number in range(6):
        request = CompletionRequest(
            workspace="studio-a",
            request_class=LOOK_UP,
            prompt=f"Is listing {number} open?",
            max_tokens=8,
        )
        arrivals.append(Arrival(0.5 * number, request))
    return arrivals


def run_scenario(*actions):
    deployment = make_deployment()
    with Cluster() as cluster:
        start_deployment(cluster, deployment)
        scenario = Scenario(arrivals=make_arrivals(), actions=actions)
        runner = Runner(
            reactor=reactor,
            cluster=cluster,
            instances=list(deployment.instances),
            scenario=scenario,
        )

        async def run():
            return await runner.run()

        evidence = run_in_reactor(run, timeout_s=TIMEOUT_S)
        return check(evidence), count_unavoidable_unknowns(evidence.records)


def check_answers_complete(report, unavoidable_unknowns):
    assert report.passed, report.violations
    assert report.requests == len(make_arrivals())
    assert report.completed + unavoidable_unknowns == report.requests
    assert report.unresumed == 0
    assert decide_exit_code(report, unavoidable_unknowns=unavoidable_unknowns) == 0


def test_answers_are_whole_when_an_engine_is_killed():
    report, unavoidable_unknowns = run_scenario(TimedAction(2.5, kill_busiest_engine))
    check_answers_complete(report, unavoidable_unknowns)
    assert report.resume_latency.count > 0
    assert report.resume_latency.p50 < RESUME_TARGET_S


def test_answers_are_whole_when_an_instance_is_killed():
    report, unavoidable_unknowns = run_scenario(TimedAction(2.5, kill_busiest_instance))
    check_answers_complete(report, unavoidable_unknowns)
    assert report.resume_latency.count > 0
    assert report.resume_latency.p50 < RESUME_TARGET_S
