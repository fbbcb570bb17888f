"""Instances send a brittle server together no more than it survives to refuse."""

from __future__ import annotations

import math
import random
from collections import deque

from ebonyhaven_decisions.forwarding import (
    CONFIRMATION_TTL_S,
    NO_LIMITS,
    BackendDirectory,
    BackendEntry,
    BackendState,
    RefusalLimiter,
    ServerLimits,
)

SLOTS = 6
MAX_REFUSALS = 4
STEP_S = 0.005
TELL_DELAY_S = 0.02


def make_entry(server_id):
    return BackendEntry(
        server_id=server_id,
        started_ms=1,
        service="plain",
        address=f"10.0.0.{server_id[2:]}:80",
        data_centre="dc-a",
        slots=SLOTS,
        state=BackendState.READY,
    )


class Group:
    """A brittle server and instances that send it all they may."""

    def __init__(self, count, *, slots, seed, limit=MAX_REFUSALS):
        self.rng = random.Random(seed)
        self.limiters = [RefusalLimiter() for _ in range(count)]
        for rank, limiter in enumerate(self.limiters):
            limiter.set_limit(limit, slots=slots)
            limiter.set_share(rank=rank, instances=count)
        self.running = []
        self.refused_at = []
        self.served = 0
        self.told = deque()

    def step(self, now, *, work_s, held_slots, demand):
        for end, limiter in list(self.running):
            if now >= end:
                self.running.remove((end, limiter))
                limiter.record_ended()
                self.served += 1
        while self.told and self.told[0][0] <= now:
            _, refused_at = self.told.popleft()
            for limiter in self.limiters:
                limiter.record_told_refused(refused_at)
        for limiter in self.rng.sample(self.limiters, len(self.limiters)):
            while self.rng.random() < demand and limiter.may_send(now):
                self.send(limiter, now, work_s, held_slots)

    def send(self, limiter, now, work_s, held_slots):
        limiter.record_sent()
        if len(self.running) < SLOTS - held_slots:
            self.running.append((now + work_s, limiter))
            return
        limiter.record_ended()
        limiter.record_refused(now, self.rng.random())
        self.refused_at.append(now)
        self.told.append((now + TELL_DELAY_S, now))

    def count_falls(self, seconds):
        """Return in how many seconds the server refused more than it survives."""
        times = self.refused_at
        return sum(
            sum(start <= at < start + 1.0 for at in times) > MAX_REFUSALS
            for start in range(math.ceil(seconds))
        )


def test_instances_do_not_overfill_a_server_with_known_slots():
    for count in (1, 3, 9, 60):
        group = Group(count, slots=SLOTS, seed=1)
        for step in range(2000):
            group.step(step * STEP_S, work_s=0.045, held_slots=0, demand=0.9)
        assert not group.refused_at, count
        assert group.served > 500, count


def test_server_that_survives_more_refusals_than_it_has_slots_is_not_overfilled():
    # Guards against a server that stands idle, as each refusal keeps instances away.
    for count in (1, 9):
        group = Group(count, slots=SLOTS, seed=1, limit=2 * SLOTS)
        for step in range(2000):
            group.step(step * STEP_S, work_s=0.045, held_slots=0, demand=0.9)
        assert not group.refused_at, count


def test_server_with_less_room_than_slots_survives():
    # Requests that were cancelled, and new connections, hold slots as well.
    for count in (1, 3, 9, 60):
        for seed in range(5):
            group = Group(count, slots=SLOTS, seed=seed)
            for step in range(4000):
                held = 3 if (step // 400) % 2 else 0
                group.step(step * STEP_S, work_s=0.3, held_slots=held, demand=0.5)
            assert group.count_falls(20.0) <= 2, (count, seed)


def test_server_whose_room_is_unknown_survives():
    for count in (1, 3, 9, 60):
        group = Group(count, slots=0, seed=3)
        for step in range(4000):
            group.step(step * STEP_S, work_s=2.0, held_slots=0, demand=0.5)
        assert group.count_falls(20.0) == 0, count
        assert group.served


def test_instance_without_a_share_leaves_the_server_to_others():
    limiter = RefusalLimiter()
    limiter.set_limit(MAX_REFUSALS, slots=SLOTS)
    limiter.set_share(rank=6, instances=9)
    assert math.isinf(limiter.find_next(10.0))
    limiter.set_limit(None, slots=SLOTS)
    assert limiter.may_send(10.0)


def test_refused_instance_leaves_the_server_alone_for_more_than_a_second():
    limiter = RefusalLimiter()
    limiter.set_limit(MAX_REFUSALS, slots=SLOTS)
    limiter.record_refused(10.0, 0.0)
    assert not limiter.may_send(11.0)
    assert limiter.find_next(10.0) == 11.1
    assert limiter.may_send(11.1)


def test_new_process_of_a_brittle_service_is_taken_for_brittle():
    # Guards against servers that fall over as soon as they are back: nothing they said
    # has arrived yet, and all instances send what has waited for them.
    directory = BackendDirectory()
    first = directory.put(make_entry("s-1"), 10.0)
    directory.limits.record_limits(first, ServerLimits(refusals_per_s=3), 10.0)
    restarted = directory.put(make_entry("s-2"), 11.0)
    assert restarted.limiter.limits == ServerLimits(refusals_per_s=3)
    directory.limits.record_limits(restarted, NO_LIMITS, 11.1)
    assert directory.put(make_entry("s-3"), 11.2).limiter.limits == NO_LIMITS


def test_service_is_not_taken_for_brittle_long_after_it_said_so():
    directory = BackendDirectory()
    first = directory.put(make_entry("s-1"), 10.0)
    directory.limits.record_limits(first, ServerLimits(refusals_per_s=3), 10.0)
    later = directory.put(make_entry("s-2"), 10.1 + CONFIRMATION_TTL_S)
    other = directory.put(make_entry("s-3")._replace(service="other"), 10.0)
    assert later.limiter.limits == other.limiter.limits == NO_LIMITS
