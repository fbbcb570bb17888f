"""Runs callers and faults against started processes."""

from __future__ import annotations

import collections
import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import attrs
from twisted.internet import defer, task

from ebonyhaven_standins.caller import (
    Caller,
    CallerLimits,
    CompletionRequest,
    HistoryWriter,
    ReceivedToken,
    RequestRecord,
)
from ebonyhaven_standins.checker import (
    Evidence,
    Timeline,
    TimelineKind,
    read_execution_logs,
)
from ebonyhaven_standins.cluster import Cluster, ProcessError
from ebonyhaven_standins.scenario._health import HealthSampler

PROGRESS_INTERVAL_S = 2.0


class Arrival(NamedTuple):
    """A request and the time in seconds at which its caller sends it."""

    at_s: float
    request: CompletionRequest


class Progress(NamedTuple):
    """How far a scenario has come."""

    at_s: float
    waiting: int
    streaming: int
    finished: int
    tokens: int


class TimedAction(NamedTuple):
    """Something done to the processes at a time in seconds."""

    at_s: float
    act: Callable[[Runner], None]


@attrs.frozen(kw_only=True)
class Scenario:
    """What happens while a deployment runs.

    Parameters
    ----------
    arrivals : sequence of Arrival
        Requests.
    actions : sequence of TimedAction
        Faults and other actions.
    limits : CallerLimits
        How long callers wait.
    sends_received : bool
        Whether reconnects carry the texts received so far.
    seed : int
        Seed of the callers.
    """

    arrivals: Sequence[Arrival]
    actions: Sequence[TimedAction] = ()
    limits: CallerLimits = attrs.Factory(CallerLimits)
    sends_received: bool = True
    seed: int = 1


class Runner:
    """Drives one scenario.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    cluster : Cluster
        Started processes.
    instances : sequence of str
        Names of the instances that callers know.
    scenario : Scenario
        What happens.
    on_update : callable
        Receives `Progress` every two seconds and text for each action.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        cluster: Cluster,
        instances: Sequence[str],
        scenario: Scenario,
        on_update: Callable[[Progress | str], None] = lambda _: None,
    ) -> None:
        self._reactor = reactor
        self.cluster = cluster
        self.instances = tuple(instances)
        self._scenario = scenario
        self._show = on_update
        self.timeline = Timeline()
        self._callers: dict[str, Caller] = {}
        self._records: list[RequestRecord] = []

    def run(self) -> defer.Deferred[Evidence]:
        """Run the scenario to the end of its last request.

        Returns
        -------
        Deferred of Evidence
        """
        return defer.Deferred.fromCoroutine(self._run())

    async def _run(self) -> Evidence:
        with contextlib.ExitStack() as stack:
            history = HistoryWriter(self.cluster.folder / "history.jsonl")
            stack.callback(history.close)
            self._make_callers(history)
            sampler = HealthSampler(
                reactor=self._reactor,
                cluster=self.cluster,
                instances=self.instances,
                timeline=self.timeline,
            )
            stack.callback(sampler.stop)
            sampler.start()
            ticker = task.LoopingCall(self._report, self._reactor.seconds())
            ticker.clock = self._reactor
            stack.callback(ticker.stop)
            ticker.start(PROGRESS_INTERVAL_S, now=False)
            await self._follow()
        lines = read_execution_logs(self.cluster.execution_logs.values())
        return Evidence(self._records, lines, self.timeline.events)

    def open_records(self) -> list[RequestRecord]:
        """Return the records of requests that have no outcome yet."""
        return [
            record
            for caller in self._callers.values()
            for record in caller.open_records
        ]

    def find_busiest_engine(self) -> str:
        """Return the backend server that streams to the most callers."""
        return self._find_busiest(lambda _, token: token.server)

    def find_busiest_instance(self) -> str:
        """Return the instance that streams to the most callers."""
        names = {self.cluster.addresses[name]: name for name in self.instances}

        def locate(record: RequestRecord, _: ReceivedToken) -> str:
            return names[record["connections"][-1]["address"]]

        return self._find_busiest(locate)

    def report_action(self, text: str) -> None:
        """Show what an action does."""
        self._show(text)

    def _find_busiest(
        self, locate: Callable[[RequestRecord, ReceivedToken], str]
    ) -> str:
        counts = collections.Counter(
            locate(record, record["tokens"][-1])
            for record in self.open_records()
            if record["tokens"]
        )
        if not counts:
            raise ProcessError(step="choose", peer="callers", reason="no open stream")
        return counts.most_common(1)[0][0]

    def _make_callers(self, history: HistoryWriter) -> None:
        generator = random.Random(self._scenario.seed)
        names = {item.request.workspace for item in self._scenario.arrivals}
        for name in sorted(names):
            known = [self.cluster.addresses[item] for item in self.instances]
            generator.shuffle(known)
            self._callers[name] = Caller(
                reactor=self._reactor,
                bootstrap_addresses=known,
                history=history,
                generator=random.Random(generator.random()),
                limits=self._scenario.limits,
                sends_received=self._scenario.sends_received,
            )

    async def _follow(self) -> None:
        ends = [
            task.deferLater(self._reactor, arrival.at_s, self.send, arrival.request)
            for arrival in self._scenario.arrivals
        ]
        ends += [
            task.deferLater(self._reactor, action.at_s, action.act, self)
            for action in self._scenario.actions
        ]
        await defer.gatherResults(ends, consumeErrors=True)

    def send(self, request: CompletionRequest) -> defer.Deferred[RequestRecord]:
        """Send one request from its workspace's caller and keep its record.

        Parameters
        ----------
        request : CompletionRequest

        Returns
        -------
        Deferred of RequestRecord
        """
        completing = self._callers[request.workspace].complete(request)
        return completing.addCallback(self._keep)

    def _keep(self, record: RequestRecord) -> RequestRecord:
        self._records.append(record)
        return record

    def _report(self, started_at: float) -> None:
        records = self.open_records()
        streaming = sum(bool(record["tokens"]) for record in records)
        tokens = sum(len(item["tokens"]) for item in [*records, *self._records])
        self._show(
            Progress(
                at_s=self._reactor.seconds() - started_at,
                waiting=len(records) - streaming,
                streaming=streaming,
                finished=len(self._records),
                tokens=tokens,
            )
        )


def kill_busiest_engine(runner: Runner) -> None:
    """Kill the engine that streams to the most callers."""
    name = runner.find_busiest_engine()
    runner.report_action(f"killing engine {name}")
    runner.timeline.add(TimelineKind.ENGINE_KILLED, name)
    runner.cluster.kill(name)


def kill_busiest_instance(runner: Runner) -> None:
    """Kill the instance that streams to the most callers."""
    name = runner.find_busiest_instance()
    runner.report_action(f"killing instance {name}")
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_KILLED, address)
    runner.cluster.kill(name)


def terminate_busiest_instance(runner: Runner) -> None:
    """Ask the instance that streams to the most callers to shut down."""
    name = runner.find_busiest_instance()
    runner.report_action(f"shutting down instance {name}")
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_TERMINATED, address)
    runner.cluster.terminate(name)
