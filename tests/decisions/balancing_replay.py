"""Replay of short requests of many instances at the servers of a service.

Nothing passes a network. Besides the rule of the product, one queue before all slots
and the rule of the releases before are played with the same load.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from ebonyhaven_decisions.forwarding import (
    Backend,
    BackendEntry,
    BackendState,
    ServerLoad,
    ServiceTimes,
    choose_backend,
)

ROUTE = "call"
WARM_UP_S = 3.0  # not counted
WORK_SHAPE = 4.0  # of the gamma distribution of work; its deviation is half the mean


def keep_pace(_at: float, _server: int) -> float:
    """Return the pace of servers that all work as usual."""
    return 1.0


def keep_steady(_at: float) -> float:
    """Return the share of the mean rate at which requests arrive: always all."""
    return 1.0


def rise_and_fall(at: float) -> float:
    """Return the share of the mean rate of a wave."""
    return 1.0 + 0.2 * math.sin(at)


def burst(at: float) -> float:
    """Return the share of the mean rate of bursts of half a second."""
    return 2.0 if at % 5.0 < 0.5 else 0.89


class Trace(NamedTuple):
    """Load of a replay.

    Parameters
    ----------
    instances, servers, slots : int
    work_s : float
        Mean time of a request at the usual pace, seconds.
    use : float
        Share of the slots that the requests would fill on usual servers.
    report_age_s : float or None
        Age of the reports that all instances have of all servers, seconds; None if
        each has those of its own answers only.
    pace, told_pace : callable
        Return the pace of a server at a time, and what it tells.
    rate : callable
        Returns the share of the mean rate at a time.
    tells_load : bool
        Whether answers state the load.
    duration_s : float
    """

    instances: int
    servers: int
    slots: int = 6
    work_s: float = 0.145
    use: float = 0.8
    report_age_s: float | None = None
    pace: Callable[[float, int], float] = keep_pace
    told_pace: Callable[[float, int], float] | None = None
    rate: Callable[[float], float] = keep_steady
    tells_load: bool = True
    duration_s: float = 15.0


class Figures(NamedTuple):
    """Result of a replay; times in milliseconds.

    Parameters
    ----------
    mean_wait, wait_p95, wait_p99 : float
        Time for which requests waited for a slot.
    time_p95, time_p99 : float
        Time to the answer.
    needless : float
        Share of the time in which a request waits at one server while half of the
        slots of another one are free.
    busiest : float
        Requests of the busiest server, relative to the mean.
    """

    mean_wait: float
    wait_p95: float
    wait_p99: float
    time_p95: float
    time_p99: float
    needless: float
    busiest: float


class Rule(NamedTuple):
    """Choice of a server, and what an instance keeps between choices.

    Parameters
    ----------
    choose : callable
        Returns the backend of those given, for `times`, the time and a `Random`.
    record : callable
        Called with a backend, its load, the time of the load, and whether it is
        shared.
    """

    choose: Callable[[list[Backend], ServiceTimes, float, random.Random], Backend]
    record: Callable[[Backend, ServerLoad, float, bool], None]


def _choose_now(backends, times, now, rng):
    return choose_backend(backends, data_centre="dc-a", now=now, rng=rng, times=times)


def _record_now(backend, load, at, is_shared):
    backend.load.record(load, in_flight=backend.in_flight, now=at, is_shared=is_shared)


def _choose_before(backends, _times, now, rng):
    """Choose as the releases did that read no paces."""

    def estimate_cost(backend: Backend) -> float:
        weight = max(0.0, 1.0 - (now - backend.load.reported_at))
        load = 1.0 + backend.in_flight + weight * backend.load.others
        cost = load / backend.entry.slots + backend.latency_s
        return cost * (1.0 + 0.1 * rng.random())

    return min(backends, key=estimate_cost)


RULE = Rule(_choose_now, _record_now)
EARLIER_RULE = Rule(_choose_before, _record_now)


class _Server:
    """One server that runs as many requests as it has slots."""

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.queue: deque[tuple[Any, ...]] = deque()
        self.history: deque[tuple[float, int, int]] = deque([(-math.inf, 0, 0)])

    def record(self, now: float, report_age_s: float) -> None:
        self.history.append((now, self.running, len(self.queue)))
        self.forget(now - report_age_s)

    def forget(self, before: float) -> None:
        while len(self.history) > 1 and self.history[1][0] <= before:
            self.history.popleft()

    def report(self, pace: float) -> ServerLoad:
        return ServerLoad(self.running, len(self.queue), self.slots, pace)


class _Instance:
    def __init__(self, trace: Trace, servers: int):
        self.times = ServiceTimes()
        self.backends = [
            Backend(
                BackendEntry(
                    server_id=f"s{index}",
                    started_ms=1,
                    service="calls",
                    address=f"10.0.0.{index}:80",
                    data_centre="dc-a",
                    slots=trace.slots,
                    state=BackendState.READY,
                )
            )
            for index in range(servers)
        ]


class Replay:
    """One run of a trace.

    Parameters
    ----------
    trace : Trace
    rule : Rule or None
        None for one queue before all slots, which no choice can do better than.
    seed : int
    """

    def __init__(self, trace: Trace, rule: Rule | None, seed: int):
        self._trace = trace
        self._rule = rule
        self._rng = random.Random(seed)
        self._choices = random.Random(seed + 1)
        is_central = rule is None
        self._servers = (
            [_Server(trace.slots * trace.servers)]
            if is_central
            else [_Server(trace.slots) for _ in range(trace.servers)]
        )
        self._instances = [
            _Instance(trace, len(self._servers)) for _ in range(trace.instances)
        ]
        self._events: list[tuple[Any, ...]] = []
        self._sequence = itertools.count()
        self._waits: list[float] = []
        self._times: list[float] = []
        self._counts = [0] * len(self._servers)
        self._needless_s = 0.0

    def play(self) -> Figures:
        """Return the figures of the run."""
        mean_rate = self._trace.use * self._trace.slots * self._trace.servers
        mean_rate /= self._trace.work_s
        self._push(0.0, None, None)
        last = WARM_UP_S
        while True:
            now, _, job, started_at = heapq.heappop(self._events)
            if now > self._trace.duration_s:
                break
            if now > last:
                self._needless_s += (now - last) * self._has_needless_wait()
                last = now
            if job is None:
                rate = mean_rate * self._trace.rate(now)
                self._push(now + self._rng.expovariate(rate), None, None)
                self._arrive(now)
            else:
                self._finish(job, started_at, now)
        return self._summarize()

    def _push(self, at: float, job: tuple[Any, ...] | None, started_at) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), job, started_at))

    def _has_needless_wait(self) -> bool:
        return any(each.queue for each in self._servers) and any(
            each.running <= each.slots / 2 for each in self._servers
        )

    def _arrive(self, now: float) -> None:
        instance = self._rng.choice(self._instances)
        work_s = self._rng.gammavariate(WORK_SHAPE, self._trace.work_s / WORK_SHAPE)
        index = 0
        if self._rule is not None:
            self._share_reports(instance, now)
            backend = self._rule.choose(
                instance.backends, instance.times, now, self._choices
            )
            backend.in_flight += 1
            index = instance.backends.index(backend)
        self._counts[index] += 1
        server = self._servers[index]
        job = (now, work_s, instance, index)
        if server.running < server.slots:
            self._start(job, now)
        else:
            server.queue.append(job)
        server.record(now, self._trace.report_age_s or 0.0)

    def _share_reports(self, instance: _Instance, now: float) -> None:
        age_s = self._trace.report_age_s
        if age_s is None:
            return
        for index, (server, backend) in enumerate(
            zip(self._servers, instance.backends, strict=True)
        ):
            server.forget(now - age_s)
            _, running, waiting = server.history[0]
            pace = self._tell_pace(now - age_s, index)
            load = ServerLoad(running, waiting, server.slots, pace)
            self._rule.record(backend, load, now - age_s, True)

    def _start(self, job: tuple[Any, ...], now: float) -> None:
        _, work_s, _, index = job
        self._servers[index].running += 1
        pace = self._trace.pace(now, index) if self._rule is not None else 1.0
        self._push(now + work_s * pace, job, now)

    def _finish(self, job: tuple[Any, ...], started_at: float, now: float) -> None:
        arrived_at, _, instance, index = job
        server = self._servers[index]
        server.running -= 1
        if server.queue:
            self._start(server.queue.popleft(), now)
        server.record(now, self._trace.report_age_s or 0.0)
        if arrived_at > WARM_UP_S:
            self._waits.append(started_at - arrived_at)
            self._times.append(now - arrived_at)
        if self._rule is None:
            return
        backend = instance.backends[index]
        if self._trace.tells_load and self._trace.report_age_s is None:
            load = server.report(self._tell_pace(now, index))
            self._rule.record(backend, load, now, False)
        backend.in_flight -= 1
        latency_s = now - arrived_at
        backend.record_result(succeeded=True, latency_s=latency_s)
        instance.times.record_answer(backend.load, route=ROUTE, latency_s=latency_s)

    def _tell_pace(self, at: float, index: int) -> float:
        return (self._trace.told_pace or self._trace.pace)(at, index)

    def _summarize(self) -> Figures:
        waits = sorted(1000.0 * each for each in self._waits)
        times = sorted(1000.0 * each for each in self._times)
        return Figures(
            mean_wait=sum(waits) / len(waits),
            wait_p95=waits[int(0.95 * len(waits))],
            wait_p99=waits[int(0.99 * len(waits))],
            time_p95=times[int(0.95 * len(times))],
            time_p99=times[int(0.99 * len(times))],
            needless=self._needless_s / (self._trace.duration_s - WARM_UP_S),
            busiest=max(self._counts) * len(self._counts) / sum(self._counts),
        )


def play_mean(trace: Trace, rule: Rule | None, seeds: range = range(1, 4)) -> Figures:
    """Return the means of the figures of some runs."""
    runs = [Replay(trace, rule, seed).play() for seed in seeds]
    return Figures(*(sum(each) / len(runs) for each in zip(*runs, strict=True)))
