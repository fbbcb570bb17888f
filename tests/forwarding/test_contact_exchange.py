"""Instances tell each other which of them reach no server."""

from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node.forwarding._contact_exchange import (
    REPEAT_INTERVAL_S,
    REPORT_TTL_INTERVALS,
    ContactExchange,
)
from twisted.internet.task import Clock

from tests.forwarding.peers import FakeChannels, FakeMembership


class Instance:
    """An instance that takes part in the exchange."""

    def __init__(self, *others):
        self.clock = Clock()
        self.membership = FakeMembership(*others)
        self.channels = FakeChannels()
        self.changes = []
        self.exchange = ContactExchange(
            membership=self.membership,
            channels=self.channels,
            reactor=self.clock,
            clock=self.clock.seconds,
        )
        self.exchange.observe(lambda: self.changes.append(self.exchange.lost_names))

    def receive(self, payload, sender="n2"):
        frame = Frame(FrameKind.SERVER_CONTACT, sender, 1, payload)
        self.channels.handlers[FrameKind.SERVER_CONTACT](frame)

    def list_reaching(self):
        return [record.name for record in self.exchange.list_reaching()]


def test_lost_contact_is_told_to_all_until_it_is_back():
    instance = Instance("n2", "n3")
    instance.exchange.publish(is_lost=True)
    kind = FrameKind.SERVER_CONTACT
    assert instance.membership.sent == [("n2", kind, [False]), ("n3", kind, [False])]
    assert instance.membership.excluded_entries == {"n1"}
    instance.clock.advance(REPEAT_INTERVAL_S)
    assert len(instance.membership.sent) == 4
    instance.membership.sent.clear()
    instance.exchange.publish(is_lost=False)
    assert instance.membership.sent == [("n2", kind, [True]), ("n3", kind, [True])]
    instance.clock.advance(10 * REPEAT_INTERVAL_S)
    assert len(instance.membership.sent) == 2
    assert instance.membership.excluded_entries == frozenset()


def test_instance_that_reaches_no_server_takes_no_requests_of_others():
    instance = Instance("n2", "n3")
    assert instance.list_reaching() == ["n2", "n3"]
    instance.receive([False])
    assert instance.list_reaching() == ["n3"]
    assert instance.membership.excluded_entries == {"n2"}
    assert instance.changes == [{"n2"}]
    instance.receive([True])
    assert instance.list_reaching() == ["n2", "n3"]


def test_report_that_is_not_repeated_expires():
    instance = Instance("n2")
    instance.receive([False])
    instance.clock.pump([REPORT_TTL_INTERVALS * REPEAT_INTERVAL_S / 2] * 4)
    assert instance.list_reaching() == ["n2"]
    assert instance.changes[-1] == frozenset()


def test_instances_that_leave_or_died_take_no_requests():
    instance = Instance("n2", "n3")
    members = instance.membership.members
    members[1] = members[1]._replace(state=MemberState.LEAVING)
    members[2] = members[2]._replace(state=MemberState.DEAD)
    assert instance.list_reaching() == []


def test_malformed_reports_are_dropped():
    instance = Instance("n2")
    for payload in (None, [], [False, 1], 3):
        instance.receive(payload)
    assert instance.list_reaching() == ["n2"]


def test_messages_of_a_cut_off_instance_do_not_grow_with_the_instances():
    # Guards against an exchange that takes a few in a hundred of each core while a
    # third of a large fleet is cut off.
    sent_per_s = {}
    for count in (9, 79, 195, 390):
        instance = Instance(*(f"n{number}" for number in range(2, count + 1)))
        instance.exchange.publish(is_lost=True)
        instance.membership.sent.clear()
        instance.clock.pump([0.5] * 120)
        sent_per_s[count] = len(instance.membership.sent) / 60.0
    assert sent_per_s[9] >= 8 / 0.5 * 0.9
    assert max(sent_per_s.values()) <= 50.0


def test_regained_contact_is_told_twice_where_reports_hold_for_long():
    instance = Instance(*(f"n{number}" for number in range(2, 196)))
    instance.exchange.publish(is_lost=True)
    instance.membership.sent.clear()
    instance.exchange.publish(is_lost=False)
    instance.clock.pump([0.5] * 10)
    assert len(instance.membership.sent) == 2 * 194
    assert all(payload == [True] for _, _, payload in instance.membership.sent)
