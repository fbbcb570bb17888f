"""Runs the requests and faults of a scenario against a cluster."""

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
    """Request and the time in seconds from the start at which it is sent."""

    at_s: float
    request: CompletionRequest


class Progress(NamedTuple):
    """Request and token counts at a time in seconds from the start."""

    at_s: float
    waiting: int
    streaming: int
    finished: int
    tokens: int


class TimedAction(NamedTuple):
    """Action on the processes and its time in seconds from the start."""

    at_s: float
    act: Callable[[Runner], None]


@attrs.frozen(kw_only=True)
class Scenario:
    """Requests and actions to run against a deployment.

    Parameters
    ----------
    arrivals : sequence of Arrival
        Requests to send.
    actions : sequence of TimedAction
        Fault injections and other actions.
    limits : CallerLimits
        Timeouts and backoff of the callers.
    sends_received : bool
        Whether resuming requests carry the token texts received so far.
    seed : int
        Seed of the random choices of the callers.
    """

    arrivals: Sequence[Arrival]
    actions: Sequence[TimedAction] = ()
    limits: CallerLimits = attrs.Factory(CallerLimits)
    sends_received: bool = True
    seed: int = 1


class Runner:
    """Runs one scenario and collects its evidence.

    Parameters
    ----------
    reactor : object
        Twisted reactor.
    cluster : Cluster
        Started processes.
    instances : sequence of str
        Names of the instances that callers use as bootstrap addresses.
    scenario : Scenario
        Scenario to run.
    on_update : callable
        Called with `Progress` every ``PROGRESS_INTERVAL_S`` and with a text for
        each action.
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
        self._on_update = on_update
        self.timeline = Timeline()
        self._callers: dict[str, Caller] = {}
        self._records: list[RequestRecord] = []

    def run(self) -> defer.Deferred[Evidence]:
        """Run the scenario until its last request and action have finished.

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
            progress_loop = task.LoopingCall(
                self._report_progress, self._reactor.seconds()
            )
            progress_loop.clock = self._reactor
            stack.callback(progress_loop.stop)
            progress_loop.start(PROGRESS_INTERVAL_S, now=False)
            await self._run_schedule()
        lines = read_execution_logs(self.cluster.execution_logs.values())
        return Evidence(self._records, lines, self.timeline.events)

    def list_open_records(self) -> list[RequestRecord]:
        """Return the records of the requests without an outcome."""
        return [
            record
            for caller in self._callers.values()
            for record in caller.open_records
        ]

    def find_busiest_engine(self) -> str:
        """Return the engine with the most open streams.

        Raises
        ------
        ProcessError
            If no stream is open.
        """
        return self._find_busiest(lambda _, token: token.server)

    def find_busiest_instance(self) -> str:
        """Return the instance with the most open streams.

        Raises
        ------
        ProcessError
            If no stream is open.
        """
        names = {self.cluster.addresses[name]: name for name in self.instances}

        def get_name(record: RequestRecord, _: ReceivedToken) -> str:
            return names[record["connections"][-1]["address"]]

        return self._find_busiest(get_name)

    def report_action(self, text: str) -> None:
        """Report the description of an action."""
        self._on_update(text)

    def _find_busiest(
        self, get_name: Callable[[RequestRecord, ReceivedToken], str]
    ) -> str:
        counts = collections.Counter(
            get_name(record, record["tokens"][-1])
            for record in self.list_open_records()
            if record["tokens"]
        )
        if not counts:
            raise ProcessError(step="choose", peer="callers", reason="no open stream")
        return counts.most_common(1)[0][0]

    def _make_callers(self, history: HistoryWriter) -> None:
        rng = random.Random(self._scenario.seed)
        names = {item.request.workspace for item in self._scenario.arrivals}
        for name in sorted(names):
            bootstrap_addresses = [
                self.cluster.addresses[item] for item in self.instances
            ]
            rng.shuffle(bootstrap_addresses)
            self._callers[name] = Caller(
                reactor=self._reactor,
                bootstrap_addresses=bootstrap_addresses,
                history=history,
                rng=random.Random(rng.random()),
                limits=self._scenario.limits,
                sends_received=self._scenario.sends_received,
            )

    async def _run_schedule(self) -> None:
        deferreds = [
            task.deferLater(self._reactor, arrival.at_s, self.send, arrival.request)
            for arrival in self._scenario.arrivals
        ]
        deferreds += [
            task.deferLater(self._reactor, action.at_s, action.act, self)
            for action in self._scenario.actions
        ]
        await defer.gatherResults(deferreds, consumeErrors=True)

    def send(self, request: CompletionRequest) -> defer.Deferred[RequestRecord]:
        """Send a request from the caller of its workspace and store its record.

        Parameters
        ----------
        request : CompletionRequest

        Returns
        -------
        Deferred of RequestRecord
        """
        completing = self._callers[request.workspace].complete(request)
        return completing.addCallback(self._store_record)

    def _store_record(self, record: RequestRecord) -> RequestRecord:
        self._records.append(record)
        return record

    def _report_progress(self, started_at: float) -> None:
        records = self.list_open_records()
        streaming = sum(bool(record["tokens"]) for record in records)
        tokens = sum(len(item["tokens"]) for item in [*records, *self._records])
        self._on_update(
            Progress(
                at_s=self._reactor.seconds() - started_at,
                waiting=len(records) - streaming,
                streaming=streaming,
                finished=len(self._records),
                tokens=tokens,
            )
        )


def kill_busiest_engine(runner: Runner) -> None:
    """Kill the engine with the most open streams."""
    name = runner.find_busiest_engine()
    runner.report_action(f"killing engine {name}")
    runner.timeline.add(TimelineKind.ENGINE_KILLED, name)
    runner.cluster.kill(name)


def kill_busiest_instance(runner: Runner) -> None:
    """Kill the instance with the most open streams."""
    name = runner.find_busiest_instance()
    runner.report_action(f"killing instance {name}")
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_KILLED, address)
    runner.cluster.kill(name)


def terminate_busiest_instance(runner: Runner) -> None:
    """Send SIGTERM to the instance with the most open streams."""
    name = runner.find_busiest_instance()
    runner.report_action(f"shutting down instance {name}")
    address = runner.cluster.addresses[name]
    runner.timeline.add(TimelineKind.INSTANCE_TERMINATED, address)
    runner.cluster.terminate(name)
