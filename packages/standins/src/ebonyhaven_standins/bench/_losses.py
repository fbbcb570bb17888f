"""Resume latency and extra resource use after the loss of an engine or instance."""

from __future__ import annotations

import enum
import random
import statistics
import time
from collections import defaultdict
from typing import Any, NamedTuple

from twisted.internet import task

from ebonyhaven_standins.bench._bench_scenario import BenchScenario, Size
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
LOSS_AT_S = 3.0
ARRIVAL_SPAN_S = 1.0
STREAMS_PER_CLASS = 18
ENGINE_COUNT = 6
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
WORKSPACES = ("studio-a", "studio-b", "licences")
PROMPT_CHARACTERS_RANGE = {LOOK_UP: (200, 800), ANALYSIS: (4000, 8000)}
RESUME_MODES = ("continue", "restart")


class Loss(enum.StrEnum):
    """Kind of loss; the value is the name of the scenario."""

    ENGINE_KILLED = "engine-killed"
    ENGINE_PAUSED = "engine-paused"
    CONNECTION_SILENT = "connection-silent"
    INSTANCE_KILLED = "instance-killed"
    ENGINE_AND_INSTANCE = "engine-and-instance"


class TrialResult(NamedTuple):
    """Measurements of one deployment with one loss."""

    samples: list[ResumeSample]
    extra_resource_ratio: float
    duration_s: float
    violation_count: int


class LossScenario(BenchScenario):
    """Measures one kind of loss, with continuation and with restart of streams.

    Restart is the baseline: callers resubmit incomplete requests under a new key.

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
        for mode in RESUME_MODES:
            results[mode] = [
                await run_trial(reactor, self._loss, mode, size, seed)
                for seed in SEEDS[size]
            ]
        # The baseline resubmits the same content under several keys, which the
        # checker cannot distinguish; its violations are printed but not counted.
        violation_count = sum(item.violation_count for item in results["continue"])
        summaries = {mode: _summarize(results[mode]) for mode in RESUME_MODES}
        return {"seeds": len(SEEDS[size]), "broken": violation_count, **summaries}


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
        Seed of the deployment and the requests.

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
        actions=[TimedAction(LOSS_AT_S, injector.inject)],
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
        await injector.wait_until_resumed(reactor)
    report = check(evidence)
    classes = deployment.make_declaration()["classes"]
    targets_s = {name: item["resume_ms"] / 1000 for name, item in classes.items()}
    samples = measure_resumes(
        runner.attempts_by_request, injector.event, evidence.lines, targets_s
    )
    for violation in report.violations:
        print(f"broken: {violation.kind} {violation.subject}: {violation.detail}")
    return TrialResult(
        samples,
        report.extra_resource_ratio,
        _measure_duration_s(evidence),
        len(report.violations),
    )


class LossInjector:
    """Injects a loss at the engine or instance with the most streams.

    Parameters
    ----------
    loss : Loss
    pause_s : float
        Time after which a paused engine is resumed, seconds.

    Attributes
    ----------
    event : LossEvent or None
        None until the loss has been injected.
    """

    def __init__(self, loss: Loss, pause_s: float):
        self._loss = loss
        self._pause_s = pause_s
        self._resume_call = None
        self.event: LossEvent | None = None

    def inject(self, runner: RestartingRunner) -> None:
        """Inject the loss and record it in `event`.

        Parameters
        ----------
        runner : RestartingRunner
        """
        loss = self._loss
        affects_instance = loss in (Loss.INSTANCE_KILLED, Loss.ENGINE_AND_INSTANCE)
        engine = "" if loss is Loss.INSTANCE_KILLED else runner.find_busiest_engine()
        instance = runner.find_busiest_instance() if affects_instance else ""
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

    async def wait_until_resumed(self, reactor: Any) -> None:
        """Wait until a paused engine has been resumed.

        Parameters
        ----------
        reactor : object
            Twisted reactor.
        """
        while self._resume_call is not None and self._resume_call.active():
            await task.deferLater(reactor, 0.1)

    def _pause(self, runner: RestartingRunner, engine: str) -> None:
        runner.cluster.pause(engine)
        self._resume_call = runner.call_later(
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
        for number in range(ENGINE_COUNT)
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
    """Return streams of both classes that arrive within `ARRIVAL_SPAN_S`.

    Parameters
    ----------
    seed : int
    tokens : int
        Length of each answer in tokens.

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
                prompt=make_prompt(generator, *PROMPT_CHARACTERS_RANGE[name]),
                max_tokens=tokens,
            ),
        )
        for name in (LOOK_UP, ANALYSIS)
        for _ in range(STREAMS_PER_CLASS)
    ]


def make_prompt(
    generator: random.Random, min_characters: int, max_characters: int
) -> str:
    """Return a unique prompt of random length.

    Parameters
    ----------
    generator : random.Random
    min_characters, max_characters : int
        Range of the length.

    Returns
    -------
    str
    """
    length = generator.randint(min_characters, max_characters)
    prefix = f"File {generator.getrandbits(64):016x}: "
    return (prefix + "the stall plan shows a tree pit and a gas bottle; " * length)[
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
            "p95_over_floor": round(figures.p95_to_floor_ratio, 2),
        }
    ratios = [item.extra_resource_ratio for item in results]
    summary["extra_resource_ratio"] = round(statistics.mean(ratios), 4)
    # One loss occurred per trial; the ratios are scaled to one loss per minute.
    scaled_ratios = [
        item.extra_resource_ratio * item.duration_s / 60.0 for item in results
    ]
    summary["extra_at_one_loss_a_minute"] = round(statistics.mean(scaled_ratios), 4)
    return summary


def _measure_duration_s(evidence: Evidence) -> float:
    """Return the time from the first request's start to the last one's end, seconds."""
    ends = [record["finished_at"] for record in evidence.records]
    return max(ends) - min(record["started_at"] for record in evidence.records)


def _round(value: float) -> float:
    return round(value, 4)
