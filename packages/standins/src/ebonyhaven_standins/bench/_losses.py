"""Resume latency and extra resource use after the loss of one part."""

from __future__ import annotations

import enum
import random
import statistics
import time
from collections import defaultdict
from typing import Any, NamedTuple

from twisted.internet import task

from ebonyhaven_standins.bench._catalogue import BenchScenario, Size
from ebonyhaven_standins.bench._loss_measures import (
    LossEvent,
    ResumeSample,
    measure_resumes,
    summarize_resumes,
)
from ebonyhaven_standins.bench._restarts import RestartingRunner
from ebonyhaven_standins.caller import CallerLimits, CompletionRequest
from ebonyhaven_standins.checker import Evidence, TimelineKind, check
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    LOOK_UP,
    Arrival,
    Deployment,
    Scenario,
    ServerSpec,
    TimedAction,
    start_deployment,
)

SEEDS = {Size.SHORT: (1,), Size.FULL: (1, 2, 3, 4, 5)}
PAUSE_S = {Size.SHORT: 4.0, Size.FULL: 30.0}
PAUSED_STREAM_TOKENS = {Size.SHORT: 300, Size.FULL: 1400}
STREAM_TOKENS = 250
LOSS_S = 3.0
ARRIVAL_SPAN_S = 1.0
STREAMS_A_CLASS = 18
ENGINES = 6
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
WORKSPACES = ("studio-a", "studio-b", "licences")
# Characters of a prompt, least and most.
PROMPT_CHARS = {LOOK_UP: (200, 800), ANALYSIS: (4000, 8000)}
MODES = ("continue", "restart")


class Loss(enum.StrEnum):
    """What is lost; the value names the scenario."""

    ENGINE_KILLED = "engine-killed"
    ENGINE_PAUSED = "engine-paused"
    CONNECTION_SILENT = "connection-silent"
    INSTANCE_KILLED = "instance-killed"
    ENGINE_AND_INSTANCE = "engine-and-instance"


class TrialResult(NamedTuple):
    """Measures of one deployment with one loss."""

    samples: list[ResumeSample]
    extra_resource_ratio: float
    span_s: float
    broken: int


class LossScenario(BenchScenario):
    """Measures one kind of loss, beside the baseline that begins again.

    Parameters
    ----------
    loss : Loss
    """

    def __init__(self, loss: Loss):
        super().__init__(str(loss))
        self._loss = loss

    async def run(self, reactor: Any, size: Size) -> dict[str, Any]:
        """See `BenchScenario.run`."""
        results: dict[str, list[TrialResult]] = {}
        for mode in MODES:
            results[mode] = [
                await run_trial(reactor, self._loss, mode, size, seed)
                for seed in SEEDS[size]
            ]
        # The baseline sends one content under several keys, which the checker
        # cannot tell apart: what it finds there is shown and not counted.
        broken = sum(item.broken for item in results["continue"])
        summaries = {mode: _summarize(results[mode]) for mode in MODES}
        return {"seeds": len(SEEDS[size]), "broken": broken, **summaries}


async def run_trial(
    reactor: Any, loss: Loss, mode: str, size: Size, seed: int
) -> TrialResult:
    """Run one deployment with one loss and measure it.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    loss : Loss
    mode : str
        Value of the node's setting ``resume``.
    size : Size
    seed : int

    Returns
    -------
    TrialResult
    """
    deployment = make_deployment(mode, seed)
    injector = LossInjector(loss, PAUSE_S[size])
    tokens = STREAM_TOKENS
    if loss is Loss.ENGINE_PAUSED:
        tokens = PAUSED_STREAM_TOKENS[size]
    scenario = Scenario(
        arrivals=make_arrivals(seed, tokens),
        actions=[TimedAction(LOSS_S, injector.inject)],
        limits=CallerLimits(total_timeout_s=0.0 if mode == "restart" else 60.0),
        seed=seed,
    )
    with Cluster() as cluster:
        start_deployment(cluster, deployment)
        runner = RestartingRunner(
            reactor=reactor,
            cluster=cluster,
            instances=list(deployment.instances),
            scenario=scenario,
        )
        evidence = await runner.run()
        await injector.wait_for_return(reactor)
    report = check(evidence)
    classes = deployment.make_declaration()["classes"]
    targets_s = {name: item["resume_ms"] / 1000 for name, item in classes.items()}
    samples = measure_resumes(runner.chains, injector.event, evidence.lines, targets_s)
    for violation in report.violations:
        print(f"broken: {violation.kind} {violation.subject}: {violation.detail}")
    return TrialResult(
        samples,
        report.extra_resource_ratio,
        _measure_span_s(evidence),
        len(report.violations),
    )


class LossInjector:
    """Causes a loss where most streams are hit.

    Parameters
    ----------
    loss : Loss
    pause_s : float
        Time after which a paused engine returns.
    """

    def __init__(self, loss: Loss, pause_s: float):
        self._loss = loss
        self._pause_s = pause_s
        self._return = None
        self.event: LossEvent | None = None

    def inject(self, runner: RestartingRunner) -> None:
        """Cause the loss.

        Parameters
        ----------
        runner : RestartingRunner
        """
        loss = self._loss
        hits_instance = loss in (Loss.INSTANCE_KILLED, Loss.ENGINE_AND_INSTANCE)
        engine = "" if loss is Loss.INSTANCE_KILLED else runner.find_busiest_engine()
        instance = runner.find_busiest_instance() if hits_instance else ""
        address = runner.cluster.addresses[instance] if instance else ""
        is_silent = loss in (Loss.ENGINE_PAUSED, Loss.CONNECTION_SILENT)
        self.event = LossEvent(time.time(), engine, address, is_silent)
        if loss is Loss.ENGINE_PAUSED:
            self._pause(runner, engine)
        elif loss is Loss.CONNECTION_SILENT:
            runner.cluster.set_fault("silence_open", link=f"link-{engine}")
        elif engine:
            runner.timeline.add(TimelineKind.ENGINE_KILLED, engine)
            runner.cluster.kill(engine)
        if instance:
            runner.timeline.add(TimelineKind.INSTANCE_KILLED, address)
            runner.cluster.kill(instance)

    async def wait_for_return(self, reactor: Any) -> None:
        """Wait until a paused engine has returned.

        Parameters
        ----------
        reactor : object
            Twisted reactor.
        """
        while self._return is not None and self._return.active():
            await task.deferLater(reactor, 0.1)

    def _pause(self, runner: RestartingRunner, engine: str) -> None:
        runner.cluster.pause(engine)
        self._return = runner.call_later(
            self._pause_s, lambda: runner.cluster.resume(engine)
        )


def make_deployment(mode: str, seed: int) -> Deployment:
    """Return six engines behind the fault proxy and three instances.

    Parameters
    ----------
    mode : str
        Value of the node's setting ``resume``.
    seed : int

    Returns
    -------
    Deployment
    """
    engines = [
        ServerSpec(name=f"s{number + 1:02d}", data_centre=DATA_CENTRES[number % 3])
        for number in range(ENGINES)
    ]
    return Deployment(
        region="r1",
        instances={f"n{n + 1}": name for n, name in enumerate(DATA_CENTRES)},
        engines=engines,
        workspaces=WORKSPACES,
        uses_fault_proxy=True,
        node_settings={"resume": mode},
        seed=seed,
    )


def make_arrivals(seed: int, tokens: int) -> list[Arrival]:
    """Return streams of both classes that begin within a second.

    Parameters
    ----------
    seed : int
    tokens : int
        Length of each answer.

    Returns
    -------
    list of Arrival
    """
    generator = random.Random(seed)
    return [
        Arrival(
            generator.uniform(0.0, ARRIVAL_SPAN_S),
            CompletionRequest(
                workspace=generator.choice(WORKSPACES),
                request_class=name,
                prompt=make_prompt(generator, *PROMPT_CHARS[name]),
                max_tokens=tokens,
            ),
        )
        for name in (LOOK_UP, ANALYSIS)
        for _ in range(STREAMS_A_CLASS)
    ]


def make_prompt(generator: random.Random, least: int, most: int) -> str:
    """Return a prompt that no other shares, of least to most characters.

    Parameters
    ----------
    generator : random.Random
    least, most : int

    Returns
    -------
    str
    """
    length = generator.randint(least, most)
    head = f"File {generator.getrandbits(64):016x}: "
    return (head + "the stall plan shows a tree pit and a gas bottle; " * length)[
        :length
    ]


def _summarize(results: list[TrialResult]) -> dict[str, Any]:
    by_class: dict[str, list[ResumeSample]] = defaultdict(list)
    for result in results:
        for sample in result.samples:
            by_class[sample.request_class].append(sample)
    summary: dict[str, Any] = {}
    for name, samples in sorted(by_class.items()):
        figures = summarize_resumes(samples)
        summary[name] = {
            **{key: _round(value) for key, value in figures._asdict().items()},
            "p95_over_floor": round(figures.over_floor, 2),
        }
    ratios = [item.extra_resource_ratio for item in results]
    summary["extra_resource_ratio"] = round(statistics.mean(ratios), 4)
    a_minute = [item.extra_resource_ratio * item.span_s / 60.0 for item in results]
    summary["extra_at_one_loss_a_minute"] = round(statistics.mean(a_minute), 4)
    return summary


def _measure_span_s(evidence: Evidence) -> float:
    """Return the time in which the requests ran, seconds."""
    ends = [record["finished_at"] for record in evidence.records]
    return max(ends) - min(record["started_at"] for record in evidence.records)


def _round(value: float) -> float:
    return round(value, 4)
