"""Random faults, alone and in pairs, while many streams run."""

from __future__ import annotations

import collections
import random
from typing import Any

import attrs
from twisted.internet import task, threads

from ebonyhaven_standins.bench._catalogue import BenchScenario, Size
from ebonyhaven_standins.bench._faults import Fault, Target, list_faults
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

ENGINES = 6
INSTANCES = 4
SPARED = 2
PAIR_SHARE = 0.3
NOT_REPEATABLE_SHARE = 0.3
ANALYSIS_SHARE = 0.5
CRASHING_REQUESTS = {"short": 1, "full": 4}
CONFIGURATION_CHANGES = {"short": 2, "full": 8}
LOOK_UP_TOKENS = (8, 60)
ANALYSIS_TOKENS = (80, 240)
WORKSPACES = ("studio-a", "studio-b", "licences")
PATIENCE_S = 60.0
POLL_S = 0.2


@attrs.frozen(kw_only=True)
class SoakPlan:
    """Extent of a soak.

    Parameters
    ----------
    streams : int
        Number of requests.
    faults : int
        Number of faults, those of pairs included.
    duration_s : float
        Time over which both are spread.
    """

    streams: int
    faults: int
    duration_s: float


PLANS = {
    Size.SHORT: SoakPlan(streams=80, faults=15, duration_s=18.0),
    Size.FULL: SoakPlan(streams=500, faults=100, duration_s=120.0),
}


class FaultInjector:
    """Draws faults and strikes processes that have none at the moment.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    names : dict of Target to list of str
        Processes by what they are.
    generator : random.Random
    """

    def __init__(
        self,
        *,
        reactor: Any,
        names: dict[Target, list[str]],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._names = names
        self._generator = generator
        self._struck: set[str] = set()
        self.counts: collections.Counter[str] = collections.Counter()

    def strike(self, runner: Runner) -> None:
        """Begin one fault drawn at random, if a process is left to strike.

        Parameters
        ----------
        runner : Runner
        """
        fault = self._generator.choice(list_faults())
        names = self._list_unstruck(fault.target)
        if not names:
            self.counts["skipped"] += 1
            return
        name = self._generator.choice(names)
        self._struck.add(name)
        self.counts[fault.name] += 1
        runner.report_action(f"{fault.name} {name}")
        fault.begin(runner, name)
        duration_s = fault.draw_duration_s(self._generator)
        self._reactor.callLater(duration_s, self._end, runner, fault, name)

    async def wait_until_over(self) -> None:
        """Wait until every fault has ended."""
        while self._struck:
            await task.deferLater(self._reactor, POLL_S)

    def _list_unstruck(self, target: Target) -> list[str]:
        names = self._names[target]
        unstruck = [name for name in names if name not in self._struck]
        spared = 0 if target is Target.PLATFORM else SPARED
        return unstruck if len(unstruck) > spared else []

    def _end(self, runner: Runner, fault: Fault, name: str) -> None:
        if fault.name == "instance_stopped" and runner.cluster.child(name).running:
            # A graceful stop takes as long as its streams: not to be cut here.
            self._reactor.callLater(POLL_S, self._end, runner, fault, name)
            return
        fault.end(runner, name)
        self._struck.discard(name)


class SoakScenario(BenchScenario):
    """Counts violations under random faults; ``seed`` makes the draw another."""

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
                Target.ENGINE: [item.name for item in deployment.engines],
                Target.INSTANCE: list(deployment.instances),
                Target.PLATFORM: [PLATFORM],
            },
            generator=generator,
        )
        actions = _draw_strikes(plan, injector, generator)
        actions += _draw_changes(plan, size, deployment)
        scenario = Scenario(
            arrivals=_draw_arrivals(plan, size, generator),
            actions=actions,
            limits=CallerLimits(total_timeout_s=PATIENCE_S),
            seed=self._seed,
        )
        with Cluster() as cluster:
            start_deployment(cluster, deployment)
            runner = Runner(
                reactor=reactor,
                cluster=cluster,
                instances=list(deployment.instances),
                scenario=scenario,
                on_update=_show,
            )
            evidence = await runner.run()
            await injector.wait_until_over()
        return _summarize(evidence, injector)


def _show(item: object) -> None:
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
        for number in range(ENGINES)
    ]
    return Deployment(
        region="r1",
        instances={f"n{n + 1}": centres[n % 3] for n in range(INSTANCES)},
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
    for _ in range(CRASHING_REQUESTS[size]):
        request = _draw_request(generator)
        crashing = attrs.evolve(request, prompt=f"{request.prompt}[[crash]]")
        arrivals.append(Arrival(generator.uniform(1.0, plan.duration_s), crashing))
    return arrivals


def _draw_request(generator: random.Random) -> CompletionRequest:
    is_analysis = generator.random() < ANALYSIS_SHARE
    chars = (2000, 6000) if is_analysis else (100, 400)
    tokens = ANALYSIS_TOKENS if is_analysis else LOOK_UP_TOKENS
    return CompletionRequest(
        workspace=generator.choice(WORKSPACES),
        request_class=ANALYSIS if is_analysis else LOOK_UP,
        prompt=make_prompt(generator, *chars),
        max_tokens=generator.randint(*tokens),
        repeatable=generator.random() >= NOT_REPEATABLE_SHARE,
    )


def _draw_strikes(
    plan: SoakPlan, injector: FaultInjector, generator: random.Random
) -> list[TimedAction]:
    strikes: list[TimedAction] = []
    while len(strikes) < plan.faults:
        at_s = generator.uniform(1.0, plan.duration_s)
        count = 2 if generator.random() < PAIR_SHARE else 1
        strikes += [TimedAction(at_s, injector.strike)] * count
    return strikes


def _draw_changes(
    plan: SoakPlan, size: Size, deployment: Deployment
) -> list[TimedAction]:
    count = CONFIGURATION_CHANGES[size]
    interval_s = plan.duration_s / (count + 1)
    return [
        TimedAction(interval_s * (number + 1), _make_change(deployment, number))
        for number in range(count)
    ]


def _make_change(deployment: Deployment, number: int):
    declaration = deployment.make_declaration()
    declaration["classes"][ANALYSIS]["may_wait_ms"] += 1000 * (number + 1)

    def change(runner: Runner) -> None:
        accepting = threads.deferToThread(runner.cluster.declare, declaration)
        accepting.addCallback(
            lambda version: runner.timeline.add(
                TimelineKind.CONFIGURATION_ACCEPTED, "operator", version=version
            )
        )
        # The platform may be down: then nothing was accepted as far as is known.
        accepting.addErrback(lambda _: None)

    return change
