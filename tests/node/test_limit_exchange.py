"""Limits of servers are told to all instances, new ones included."""

from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import ServerLimits
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._limit_exchange import RENEWAL_S, LimitExchange
from twisted.internet.task import Clock

from tests.forwarding.harness import ForwardingHarness
from tests.forwarding.peers import FakeChannels, FakeMembership

PROCESS = "p-0/1"


class Instance:
    """An instance that takes part in the exchange."""

    def __init__(self, *others):
        self.clock = Clock()
        self.state = ForwardingHarness().state
        self.membership = FakeMembership(*others)
        self.channels = FakeChannels()
        self.exchange = LimitExchange(
            servers=self.state.backends.limits,
            membership=self.membership,
            channels=self.channels,
            reactor=self.clock,
            clock=self.clock.seconds,
            list_cut_off=lambda: self.cut_off,
        )
        self.cut_off = set()
        self.backend = self.state.backends.find("p-0")

    def hear(self, limit):
        """Take an answer of the server that names a limit or None."""
        now = self.clock.seconds()
        self.state.backends.limits.record_limits(self.backend, ServerLimits(limit), now)
        self.exchange.publish(self.backend)
        self.clock.advance(0.02)

    def receive(self, payload):
        frame = Frame(FrameKind.SERVER_LIMITS, "n2", 1, payload)
        self.channels.handlers[FrameKind.SERVER_LIMITS](frame)

    def take_sent(self):
        sent, self.membership.sent = self.membership.sent, []
        return sent


def test_a_limit_and_its_end_are_told_to_all_instances():
    instance = Instance("n2", "n3")
    instance.hear(2.0)
    told = FrameKind.SERVER_LIMITS, {PROCESS: [2.0, None, None]}
    assert instance.take_sent() == [("n2", *told), ("n3", *told)]
    instance.hear(None)
    ended = FrameKind.SERVER_LIMITS, {PROCESS: [None, None, None]}
    assert ("n2", *ended) in instance.take_sent()


def test_unchanged_limit_is_told_again_after_some_time_only():
    instance = Instance("n2")
    instance.hear(2.0)
    instance.clock.advance(1.0)  # the message is sent twice
    instance.take_sent()
    instance.hear(2.0)
    assert not instance.take_sent()
    instance.clock.advance(RENEWAL_S)
    instance.hear(2.0)
    assert instance.take_sent()


def test_told_limit_holds_and_ends():
    instance = Instance("n2")
    instance.receive({PROCESS: [2.5, None, None]})
    assert instance.backend.limiter.pacer.limit == 2.5
    instance.receive({PROCESS: [None, None, None]})
    assert instance.backend.limiter.pacer.limit is None


def test_malformed_limits_are_dropped():
    instance = Instance("n2")
    for payload in ([1], {PROCESS: ["many", None, None]}, {PROCESS: [1]}, None):
        instance.receive(payload)
    assert instance.backend.limiter.pacer.limit is None


def test_new_instance_is_told_all_limits():
    instance = Instance("n2", "n3")
    instance.hear(2.0)
    instance.clock.advance(1.0)
    instance.take_sent()
    joined = instance.membership.members[1]._replace(incarnation=2)
    for observer in instance.membership.observers:
        observer(joined)
    expected = ("n2", FrameKind.SERVER_LIMITS, {PROCESS: [2.0, None, None]})
    assert instance.take_sent() == [expected]


def test_share_follows_the_instances_that_are_not_dead():
    instance = Instance("n2")
    record = instance.membership.members[1]
    instance.membership.observers[-1](record)
    instance.hear(2.0)
    shared = instance.backend.limiter.pacer.compute_rate(instance.clock.seconds())
    instance.membership.members[1] = record._replace(state=MemberState.DEAD)
    instance.membership.observers[-1](record)
    alone = instance.backend.limiter.pacer.compute_rate(instance.clock.seconds())
    assert (shared, alone) == (1.0, 2.0)


def test_instance_that_reaches_no_server_has_no_share():
    instance = Instance("n2")
    instance.cut_off.add("n2")
    instance.exchange.update_instances()
    instance.hear(2.0)
    assert instance.backend.limiter.pacer.compute_rate(instance.clock.seconds()) == 2.0


def test_refusal_of_a_brittle_server_is_told():
    instance = Instance("n2")
    limits = ServerLimits(refusals_per_s=4)
    instance.state.backends.limits.record_limits(instance.backend, limits, 0.0)
    instance.exchange.publish(instance.backend)
    instance.clock.advance(1.0)
    instance.take_sent()
    instance.backend.record_refused(1.0, 0.5)
    instance.exchange.publish(instance.backend)
    instance.clock.advance(0.02)
    ((_, _, payload),) = instance.take_sent()
    assert payload == {PROCESS: [None, 4, 0.02]}
    other = Instance("n1")
    other.receive(payload)
    assert other.backend.limiter.limits == limits
    assert other.backend.limiter.refusals.refused_at == -0.02
