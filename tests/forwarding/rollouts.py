"""Instances that decide on roll-outs beside a store in memory."""

from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding.rollouts import (
    ExposureLimits,
    RolloutOrder,
    StoredStage,
    VersionQuality,
    VersionVerdict,
)
from ebonyhaven_node.forwarding import ForwardingState
from ebonyhaven_node.forwarding.interfaces import (
    RecordStoreError,
    RolloutRecordStore,
    StageConflict,
)
from ebonyhaven_node.forwarding.rollouts import RolloutController, StageSection
from ebonyhaven_node.forwarding.rollouts._metrics import RolloutMetrics
from prometheus_client import CollectorRegistry
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.forwarding.harness import make_entry

LIMITS = ExposureLimits(share=0.1, slack=50.0, rollback_s=5.0)
ORDER = RolloutOrder("1.17", "plain", "v2", 12.0, 0.0)


class StoredRollouts:
    """The rows of all stages, and what operators are told."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 20
        self.rows = {}
        self.status = []
        self.calls = 0

    def write(self, stage, row_version, *, tells_operators):
        service = stage.order.service
        current = self.rows.get(service)
        if (current.row_version if current else 0) != row_version:
            version = current.row_version if current else 0
            raise StageConflict(current, version)
        self.version += 1
        self.rows[service] = StoredStage(stage, self.version)
        if tells_operators:
            self.status.append((stage.state.value, stage.order.version))
        return self.version


class FakeStore(RolloutRecordStore):
    """One instance's way to the store.

    It fails while ``is_down``, answers nothing while ``is_silent`` and loses answers
    to what it has done while ``loses_answers``.
    """

    def __init__(self, stored):
        self._stored = stored
        self.is_down = self.is_silent = self.loses_answers = False
        self.offset_s = 0.0
        self.calls = 0

    def read_time_s(self):
        return self._stored.clock.seconds() + self.offset_s

    async def read(self):
        await self._call()
        return list(self._stored.rows.values())

    async def write(self, stage, *, row_version, tells_operators):
        await self._call()
        version = self._stored.write(
            stage, row_version, tells_operators=tells_operators
        )
        if self.loses_answers:
            raise RecordStoreError("no answer")
        return version

    async def _call(self):
        self._stored.calls += 1
        self.calls += 1
        if self.is_down:
            raise RecordStoreError("status 503")
        if self.is_silent:
            timeout = Deferred()
            self._stored.clock.callLater(0.6, timeout.callback, None)
            await timeout
            raise RecordStoreError("no answer")


class FixedEvidence:
    """Evidence on which all instances agree."""

    def __init__(self):
        self.quality = VersionQuality.UNDECIDED
        self.active = 0

    def judge(self, order, old_versions, now):
        return VersionVerdict(self.quality, 40, 3, 400, 20, "figures")

    def count_active(self, service, versions, now):
        return self.active


class FollowedStages:
    """What the gate of an instance was told last."""

    def __init__(self):
        self.orders, self.stages, self.withdrawn = {}, {}, []
        self.unordered = self
        self.has_orders = False

    def record_orders_read(self):
        self.has_orders = True

    def apply_order(self, order, now):
        self.orders[order.service] = order

    def apply_stage(self, stage, now):
        self.stages[stage.order.service] = stage

    def withdraw(self, service, now):
        self.withdrawn.append(service)


class DecidingInstance:
    """One instance; ``is_cut`` keeps the messages of others from it."""

    def __init__(self, name, rollouts):
        self.name = name
        self.is_cut = False
        self.is_frozen = False
        self.is_preferred = name == "n1"
        clock = rollouts.clock
        self.state = ForwardingState(clock.seconds)
        self.book = self.state.rollouts
        self.store = FakeStore(rollouts.stored)
        self.section = StageSection(self.book, lambda: ["n1", "n2", "n3"])
        self.slept_s = 0.0
        self.gate = FollowedStages()
        self.controller = RolloutController(
            instance=name,
            limits=LIMITS,
            state=self.state,
            gate=self.gate,
            board=rollouts.evidence,
            store=self.store,
            metrics=RolloutMetrics(CollectorRegistry(), self.book),
            reactor=clock,
            rng=random.Random(name),
            clock=clock.seconds,
            pause_clock=lambda: clock.seconds() + self.slept_s,
        )
        self.controller.start(
            lambda _: self.is_preferred, lambda: rollouts.send_news(self)
        )

    @property
    def stage(self):
        return self.book.find_stage("plain")

    def freeze(self):
        """Stop its timers, as a machine does that is suspended."""
        self.is_cut = True
        self.controller._timer.cancel()

    def wake(self, slept_s):
        self.is_cut = False
        self.slept_s += slept_s
        self.controller._timer = None
        self.controller._tick()


class PlayedInstances:
    """Three instances that are told of an order."""

    def __init__(self, *, versions=("v1", "v2")):
        self.clock = Clock()
        self.stored = StoredRollouts(self.clock)
        self.evidence = FixedEvidence()
        self.instances = [DecidingInstance(f"n{each}", self) for each in (1, 2, 3)]
        self.list_servers(*versions)

    def list_servers(self, *versions):
        for each in self.instances:
            entries = [
                make_entry(f"s-{version[1:]}", software_version=version)
                for version in versions
            ]
            each.state.replace_backends({entry.server_id: entry for entry in entries})

    def order(self, *orders):
        for each in self.instances:
            if not each.is_cut:
                each.book.replace_orders(orders)

    def send_news(self, sender):
        sender.section.announce()
        self.clock.callLater(0.01, self._deliver, sender)

    def _deliver(self, sender):
        if sender.is_cut:
            return
        payload = sender.section.collect(self.clock.seconds())
        for each in self.instances:
            if each is not sender and not each.is_cut and payload is not None:
                each.section.merge(sender.name, payload, self.clock.seconds())

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    @property
    def row(self):
        return self.stored.rows["plain"].stage
