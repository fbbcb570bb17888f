"""Soak scenario: random faults, single and in pairs, during many streams."""

from __future__ import annotations

import collections
import random
from typing import Any

import attrs
from twisted.internet import task, threads

from ebonyhaven_standins.bench._bench_scenario import BenchScenario, Size
from ebonyhaven_standins.bench._faults import Fault, FaultTarget, list_faults
from ebonyhaven_standins.bench._losses import make_prompt
from ebonyhaven_standins.caller import CallerLimits, CompletionRequest
from ebonyhaven_standins.checker import TimelineKind, check
from ebonyhaven_standins.cluster import PLATFORM, Cluster
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    LOOK_UP,
    Arrival,
    Deployment,
    Runner,
    Scenario,
    ServerSpec,
    TimedAction,
    start_deployment,
)

ENGINE_COUNT = 6
INSTANCE_COUNT = 4
MIN_UNAFFECTED_PROCESSES = 2
FAULT_PAIR_SHARE = 0.3
NOT_REPEATABLE_SHARE = 0.3
ANALYSIS_SHARE = 0.5
CRASHING_REQUEST_COUNTS = {"short": 1, "full": 4}  # each crashes its engine
CONFIGURATION_CHANGE_COUNTS = {"short": 2, "full": 8}
LOOK_UP_TOKENS_RANGE = (8, 60)
ANALYSIS_TOKENS_RANGE = (80, 240)
WORKSPACES = ("studio-a", "studio-b", "licences")
CALLER_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2


@attrs.frozen(kw_only=True)
class SoakPlan:
    """Extent of a soak run.

    Parameters
    ----------
    streams : int
        Number of streamed requests.
    faults : int
        Number of faults; a pair counts as two.
    duration_s : float
        Time over which requests and faults are spread, seconds.
    """

    streams: int
    faults: int
    duration_s: float


PLANS = {
    Size.SHORT: SoakPlan(streams=80, faults=15, duration_s=18.0),
    Size.FULL: SoakPlan(streams=500, faults=100, duration_s=120.0),
}


class FaultInjector:
    """Injects random faults into processes that have no active fault.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    names : dict of FaultTarget to list of str
        Names of the processes of each kind.
    generator : random.Random

    Attributes
    ----------
    counts : collections.Counter of str
        Number of injected faults by name; ``skipped`` counts faults for which no
        process was available.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        names: dict[FaultTarget, list[str]],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._names = names
        self._generator = generator
        self._affected: set[str] = set()
        self.counts: collections.Counter[str] = collections.Counter()

    def inject(self, runner: Runner) -> None:
        """Inject a random fault, if enough processes have no active fault.

        Parameters
        ----------
        runner : Runner
        """
        fault = self._generator.choice(list_faults())
        names = self._list_candidates(fault.target)
        if not names:
            self.counts["skipped"] += 1
            return
        name = self._generator.choice(names)
        self._affected.add(name)
        self.counts[fault.name] += 1
        runner.report_action(f"{fault.name} {name}")
        fault.inject(runner, name)
        duration_s = fault.draw_duration_s(self._generator)
        self._reactor.callLater(duration_s, self._clear, runner, fault, name)

    async def wait_until_cleared(self) -> None:
        """Wait until every fault has been cleared."""
        while self._affected:
            await task.deferLater(self._reactor, POLL_INTERVAL_S)

    def _list_candidates(self, target: FaultTarget) -> list[str]:
        names = self._names[target]
        unaffected = [name for name in names if name not in self._affected]
        min_unaffected = (
            0 if target is FaultTarget.PLATFORM else MIN_UNAFFECTED_PROCESSES
        )
        return unaffected if len(unaffected) > min_unaffected else []

    def _clear(self, runner: Runner, fault: Fault, name: str) -> None:
        if fault.name == "instance_stopped" and runner.cluster.child(name).running:
            # A graceful shutdown lasts as long as its streams and must not be
            # interrupted by the restart.
            self._reactor.callLater(POLL_INTERVAL_S, self._clear, runner, fault, name)
            return
        fault.clear(runner, name)
        self._affected.discard(name)


class SoakScenario(BenchScenario):
    """Counts violations under random faults.

    Parameters
    ----------
    name : str
    seed : int
        Seed of the requests and faults.
    """

    def __init__(self, name: str, *, seed: int = 1):
        super().__init__(name)
        self._seed = seed

    async def run(self, reactor: Any, size: Size) -> dict[str, Any]:
        """See `BenchScenario.run`."""
        plan = PLANS[size]
        generator = random.Random(self._seed)
        deployment = _make_deployment(self._seed)
        injector = FaultInjector(
            reactor=reactor,
            names={
                FaultTarget.ENGINE: [item.name for item in deployment.engines],
                FaultTarget.INSTANCE: list(deployment.instances),
                FaultTarget.PLATFORM: [PLATFORM],
            },
            generator=generator,
        )
        actions = _draw_fault_actions(plan, injector, generator)
        actions += _make_change_actions(plan, size, deployment)
        scenario = Scenario(
            arrivals=_draw_arrivals(plan, size, generator),
            actions=actions,
            limits=CallerLimits(total_timeout_s=CALLER_TIMEOUT_S),
            seed=self._seed,
        )
        with Cluster() as cluster:
            start_deployment(cluster, deployment)
            runner = Runner(
                reactor=reactor,
                cluster=cluster,
                instances=list(deployment.instances),
                scenario=scenario,
                on_update=_print_progress,
            )
            evidence = await runner.run()
            await injector.wait_until_cleared()
        return _summarize(evidence, injector)


def _print_progress(item: object) -> None:
    if isinstance(item, str):
        print(item, flush=True)


def _summarize(evidence, injector: FaultInjector) -> dict[str, Any]:
    report = check(evidence)
    for violation in report.violations:
        print(f"broken: {violation.kind} {violation.subject}: {violation.detail}")
    outcomes = collections.Counter(record["outcome"] for record in evidence.records)
    reasons = collections.Counter(
        f"{record['outcome']} at {end['step']}: {end['reason']}"
        for record in evidence.records
        if (end := record["connections"][-1])["outcome"] != "completed"
    )
    crashes = sum(line.event == "crash" for line in evidence.lines)
    return {
        "broken": len(report.violations),
        "faults": dict(sorted(injector.counts.items())),
        "fault_count": sum(injector.counts.values()) - injector.counts["skipped"],
        "outcomes": dict(outcomes),
        "reasons": dict(reasons.most_common(12)),
        "engine_crashes": crashes,
        **report.summarize(),
    }


def _make_deployment(seed: int) -> Deployment:
    centres = ("dc-a", "dc-b", "dc-c")
    engines = [
        ServerSpec(name=f"s{number + 1:02d}", data_centre=centres[number % 3])
        for number in range(ENGINE_COUNT)
    ]
    return Deployment(
        region="r1",
        instances={f"n{n + 1}": centres[n % 3] for n in range(INSTANCE_COUNT)},
        engines=engines,
        workspaces=WORKSPACES,
        uses_fault_proxy=True,
        seed=seed,
    )


def _draw_arrivals(
    plan: SoakPlan, size: Size, generator: random.Random
) -> list[Arrival]:
    arrivals = [
        Arrival(generator.uniform(0.0, plan.duration_s), _draw_request(generator))
        for _ in range(plan.streams)
    ]
    for _ in range(CRASHING_REQUEST_COUNTS[size]):
        request = _draw_request(generator)
        crashing = attrs.evolve(request, prompt=f"{request.prompt}[[crash]]")
        arrivals.append(Arrival(generator.uniform(1.0, plan.duration_s), crashing))
    return arrivals


def _draw_request(generator: random.Random) -> CompletionRequest:
    is_analysis = generator.random() < ANALYSIS_SHARE
    characters_range = (2000, 6000) if is_analysis else (100, 400)
    tokens_range = ANALYSIS_TOKENS_RANGE if is_analysis else LOOK_UP_TOKENS_RANGE
    return CompletionRequest(
        workspace=generator.choice(WORKSPACES),
        request_class=ANALYSIS if is_analysis else LOOK_UP,
        prompt=make_prompt(generator, *characters_range),
        max_tokens=generator.randint(*tokens_range),
        repeatable=generator.random() >= NOT_REPEATABLE_SHARE,
    )


def _draw_fault_actions(
    plan: SoakPlan, injector: FaultInjector, generator: random.Random
) -> list[TimedAction]:
    actions: list[TimedAction] = []
    while len(actions) < plan.faults:
        at_s = generator.uniform(1.0, plan.duration_s)
        count = 2 if generator.random() < FAULT_PAIR_SHARE else 1
        actions += [TimedAction(at_s, injector.inject)] * count
    return actions


def _make_change_actions(
    plan: SoakPlan, size: Size, deployment: Deployment
) -> list[TimedAction]:
    count = CONFIGURATION_CHANGE_COUNTS[size]
    interval_s = plan.duration_s / (count + 1)
    return [
        TimedAction(interval_s * (number + 1), _make_change(deployment, number))
        for number in range(count)
    ]


def _make_change(deployment: Deployment, number: int):
    declaration = deployment.make_declaration()
    declaration["classes"][ANALYSIS]["may_wait_ms"] += 1000 * (number + 1)

    def change(runner: Runner) -> None:
        acceptance = threads.deferToThread(runner.cluster.declare, declaration)
        acceptance.addCallback(
            lambda version: runner.timeline.add(
                TimelineKind.CONFIGURATION_ACCEPTED, "operator", version=version
            )
        )
        # If the call fails, for example in a platform outage, it is unknown whether
        # the declaration was accepted; nothing is recorded.
        acceptance.addErrback(lambda _: None)

    return change
