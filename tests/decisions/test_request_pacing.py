"""Limits on requests that all instances keep together."""

from __future__ import annotations

import math
import random

from ebonyhaven_decisions.forwarding import (
    CONFIRMATION_TTL_S,
    NO_LIMITS,
    BackendDirectory,
    BackendEntry,
    BackendState,
    RequestPacer,
    ServerLimits,
)

SPAN_S = 4.0
STEP_S = 0.01
TELL_INTERVAL_S = 3.0
VIEW_DELAY_S = 1.0  # until all instances know of one that was lost or joined


def allow(limit):
    """Return how many requests a server that names a limit may get in a span."""
    return 1.5 * limit * SPAN_S + 5


def make_directory(servers=1):
    directory = BackendDirectory()
    for number in range(servers):
        entry = BackendEntry(
            server_id=f"p-{number}",
            started_ms=1,
            service="plain",
            address=f"10.0.0.{number}:80",
            data_centre="dc-a",
            slots=6,
            state=BackendState.READY,
            software_version="v1",
        )
        directory.put(entry, 0.0)
    return directory


class Group:
    """Instances that press as hard as they may, and hear late of each other."""

    def __init__(self, limit, count, seed):
        self.limits = ServerLimits(requests_per_s=limit)
        self.rng = random.Random(seed)
        self.directories = {}
        self.sent = []
        self.told_at = 0.0
        self.views = []  # (time, names) that the instances learn at random delays
        self.names = tuple(f"n{number}" for number in range(count))
        for name in self.names:
            self.add(name, self.names, 0.0)

    def add(self, name, names, now):
        directory = self.directories[name] = make_directory()
        directory.limits.set_instances(name, names, now)
        directory.limits.record_told_limits("p-0/1", self.limits, now)

    def change(self, now, *, lost=0, joined=0):
        """Lose and add some instances; each of the others learns it at its own time."""
        lost_names = self.rng.sample(sorted(self.directories), lost)
        for name in lost_names:
            del self.directories[name]
        new = [f"m{now}-{number}" for number in range(joined)]
        self.names = tuple(each for each in self.names if each not in lost_names)
        self.names += tuple(new)
        for name in self.directories:
            at = now + self.rng.uniform(0.0, VIEW_DELAY_S)
            self.views.append((at, name, self.names))
        for name in new:
            self.add(name, self.names, now)

    def tell(self, now):
        """Have all instances hear of an answer, not more often than is told."""
        if now - self.told_at >= TELL_INTERVAL_S:
            self.told_at = now
            for directory in self.directories.values():
                directory.limits.record_told_limits("p-0/1", self.limits, now)

    def press(self, now, demand):
        for at, name, names in list(self.views):
            if at <= now:
                self.views.remove((at, name, names))
                if name in self.directories:
                    self.directories[name].limits.set_instances(name, names, now)
        for name in sorted(self.directories):
            if self.rng.random() < demand:
                backend = self.directories[name].find("p-0")
                if backend.limiter.acquire(now):
                    self.sent.append(now)
                    self.tell(now)


def count_busiest(sent):
    return max(sum(at <= each < at + SPAN_S for each in sent) for at in sent)


def test_instances_keep_a_limit_together():
    for limit in (0.4, 2.0, 3.2, 20.0, 150.0):
        for count in (1, 9, 60):
            group = Group(limit, count, seed=1)
            for step in range(2000):
                group.press(step * STEP_S, demand=0.5)
            assert count_busiest(group.sent) <= allow(limit), (limit, count)
            served = min(limit, 0.5 * count / STEP_S)
            assert len(group.sent) >= 0.7 * served * 20.0, (limit, count)


def test_instances_that_were_idle_send_no_more_than_the_limit_at_once():
    for limit in (2.0, 20.0):
        group = Group(limit, 60, seed=2)
        for step in range(500):
            group.press(5.0 + step * STEP_S, demand=1.0)
        assert count_busiest(group.sent) <= allow(limit)


def test_limit_holds_while_instances_join_and_are_lost():
    for seed in range(10):
        group = Group(3.2, 9, seed)
        for step in range(2000):
            if step % 300 == 299:
                group.change(step * STEP_S, lost=2, joined=2)
            group.press(step * STEP_S, demand=0.5)
        assert count_busiest(group.sent) <= allow(3.2), seed


def test_few_requests_of_many_instances_find_that_a_limit_has_ended():
    # Guards against a limit that is never lifted, as those who may send get no callers.
    pacer = RequestPacer()
    pacer.set_limit(2.0, 0.0)
    pacer.set_share(rank=8, instances=400, now=0.0)
    assert not pacer.may_send(CONFIRMATION_TTL_S)
    assert math.isinf(pacer.find_next(CONFIRMATION_TTL_S))
    assert pacer.may_send(CONFIRMATION_TTL_S + 400 / 2.0)


def test_new_holder_saves_nothing_up_from_before():
    pacer = RequestPacer()
    pacer.set_limit(2.0, 0.0)
    pacer.set_share(rank=8, instances=9, now=0.0)
    pacer.set_share(rank=0, instances=9, now=1.0)
    assert not pacer.may_send(1.1)
    assert pacer.may_send(1.0 + 5 / 2.0)


def test_limit_of_a_server_that_is_not_listed_yet_holds_once_it_is():
    directory = BackendDirectory()
    directory.limits.set_instances("n1", ("n1", "n2"), 0.0)
    directory.limits.record_told_limits("p-0/1", ServerLimits(2.0), 0.0)
    entry = next(iter(make_directory())).entry
    assert directory.put(entry, 1.0).limiter.pacer.limit == 2.0


def test_restarted_server_has_no_limit_of_before():
    directory = make_directory()
    directory.limits.record_limits(directory.find("p-0"), ServerLimits(2.0), 0.0)
    entry = directory.find("p-0").entry._replace(started_ms=2)
    assert directory.put(entry, 1.0).limiter.pacer.limit is None


def test_end_of_the_limits_of_a_service():
    directory = make_directory(servers=2)
    directory.limits.set_instances("n1", ("n1",), 0.0)
    for backend in directory:
        directory.limits.record_limits(backend, ServerLimits(2.0), 0.0)
        assert backend.limiter.acquire(0.0)
    assert directory.limits.find_limit_end("plain", 0.0) == 0.5
    assert directory.limits.find_limit_end("plain", 0.0, ahead=4) == 1.5
    directory.limits.record_limits(directory.find("p-1"), NO_LIMITS, 0.1)
    assert directory.limits.find_limit_end("plain", 0.1) is None
