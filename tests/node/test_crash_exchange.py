from __future__ import annotations

import json
from collections import Counter

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import SETTLE_S, CrashHistory, LossReport
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._crash_exchange import CrashExchange
from ebonyhaven_node._evidence_exchange import RESEND_DELAY_S, SEND_DELAY_S
from ebonyhaven_node._frames import encode_json
from twisted.internet.task import Clock

from tests.forwarding.losses import FakeNetworkMembership
from tests.forwarding.peers import FakeChannels, make_record

NAMES = ("n1", "n2", "n3", "n4", "n5")
CONTENT = "0123456789abcdef"
CONTACT_S = 3.0
STEP_S = 0.01
LINK_BYTES_PER_S = 625_000
LINK_DELAY_S = 0.05  # a quarter of what an event may take to its caller
SILENCE_FOUND_S = 2.0  # heartbeats are missed after 1 s, and a probe follows


class FakeNetwork:
    """Delivers messages between the exchanges of instances synchronously."""

    def __init__(self, clock, names=NAMES):
        self.clock = clock
        self.names = names
        self.channels = {}
        self.memberships = {}
        self.histories = {}
        self.exchanges = {}
        self.received = []

    def join(self, name):
        others = [each for each in self.names if each != name]
        self.channels[name] = FakeChannels()
        self.memberships[name] = FakeNetworkMembership(self, name, others)
        self.histories[name] = CrashHistory()
        self.exchanges[name] = CrashExchange(
            history=self.histories[name],
            membership=self.memberships[name],
            channels=self.channels[name],
            reactor=self.clock,
            clock=self.clock.seconds,
            on_received=lambda: self.received.append(name),
        )

    def lose_server(self, name, process, *contents):
        """Record the loss of a server at an instance, and report it."""
        requests = tuple((each,) for each in contents)
        report = LossReport(process, "dc-a", 0.0, requests)
        self.histories[name].add(report, self.clock.seconds())
        self.exchanges[name].publish_loss(process)

    def count_crashes(self, content=CONTENT):
        now = self.clock.seconds()
        return [each.count_crashes(content, now) for each in self.histories.values()]


def build_network(*names):
    network = FakeNetwork(Clock())
    for name in names or NAMES:
        network.join(name)
    return network


def test_losses_under_many_contents_reach_all_instances_at_once():
    # Guards against evidence that waits for its turn in heartbeats, which take one
    # content each: each request that a lost server was running makes one.
    network = build_network()
    contents = [f"{number:016x}" for number in range(30)]
    network.lose_server("n1", "s1", *contents)
    network.clock.advance(SEND_DELAY_S)
    for content in contents:
        assert network.count_crashes(content) == [1] * len(NAMES)


def test_losses_seen_by_different_instances_add_up_everywhere():
    network = build_network()
    for name, process in (("n1", "s1"), ("n2", "s2"), ("n3", "s3")):
        network.lose_server(name, process, CONTENT)
    network.clock.advance(SEND_DELAY_S)
    assert network.count_crashes() == [3] * len(NAMES)
    assert len(network.received) == 3 * (len(NAMES) - 1)


def test_report_that_was_lost_on_a_silent_connection_is_known_within_contact_time():
    # Guards against a request that crashes servers and that others do not know.
    network = build_network()
    channels = network.channels.pop("n2")
    network.lose_server("n1", "s1", CONTENT)
    network.clock.pump([STEP_S] * round(SILENCE_FOUND_S / STEP_S))
    network.channels["n2"] = channels
    network.clock.pump([STEP_S] * round((CONTACT_S - SILENCE_FOUND_S) / STEP_S))
    assert network.count_crashes() == [1] * len(NAMES)


def test_report_that_was_dropped_is_sent_again():
    network = build_network()
    channels = network.channels.pop("n2")
    network.lose_server("n1", "s1", CONTENT)
    network.clock.advance(SEND_DELAY_S)
    network.channels["n2"] = channels
    network.clock.advance(RESEND_DELAY_S)
    assert network.count_crashes() == [1] * len(NAMES)


def test_instance_that_joins_later_is_told_what_is_known():
    # Guards against an instance that starts, or was cut off, after the losses and
    # sends the content on because it never heard of them.
    network = build_network("n1", "n2", "n3", "n4")
    network.lose_server("n1", "s1", CONTENT)
    network.clock.advance(SEND_DELAY_S)
    network.join("n5")
    network.clock.advance(2 * RESEND_DELAY_S)
    joined = network.memberships["n1"].members[-1]
    assert joined.name == "n5"
    for name in ("n1", "n2", "n3", "n4"):
        network.memberships[name].observers[0](joined)
    assert network.count_crashes() == [1] * len(NAMES)
    assert len([name for name in network.received if name == "n5"]) <= 4


def test_instance_is_told_again_only_if_it_was_gone_or_is_new():
    network = build_network()
    network.lose_server("n1", "s1", CONTENT)
    network.clock.advance(10 * RESEND_DELAY_S)
    for name in NAMES[:4]:
        membership = network.memberships[name]
        joined = next(each for each in membership.members if each.name == "n5")
        observer = membership.observers[0]
        observer(joined)
        membership.sent.clear()
        observer(joined)
        assert membership.sent == []
    senders = 0
    for name in NAMES[:4]:
        membership = network.memberships[name]
        joined = next(each for each in membership.members if each.name == "n5")
        observer = membership.observers[0]
        observer(joined._replace(state=MemberState.DEAD))
        observer(joined)
        senders += len(membership.sent)
    assert senders == 3


def test_malformed_report_is_ignored():
    network = build_network("n1")
    receive = network.channels["n1"].handlers[FrameKind.SERVER_LOSSES]
    for payload in (
        None,
        5,
        [[1], []],
        [[["s", "dc", 0, [[CONTENT]]]], "x"],
        [[["s", "dc", 0, [CONTENT]]], []],
    ):
        receive(Frame(FrameKind.SERVER_LOSSES, "n2", 1, payload))
    assert network.count_crashes() == [0]
    assert network.received == []


def test_report_is_a_short_message():
    network = build_network("n1")
    network.lose_server("n1", "i-69aae6ef7a/1773215223417", CONTENT)
    network.clock.advance(SEND_DELAY_S)
    _, kind, payload = network.memberships["n1"].sent[0]
    assert kind is FrameKind.SERVER_LOSSES
    assert len(json.dumps(payload)) < 100


def test_loss_of_a_data_centre_leaves_the_link_to_the_streams_of_callers():
    # Guards against streams that are late although no instance waits: each instance
    # told 66 others of all 29 lost servers, 170 KB at once, on links of 5 Mbit/s.
    others = [f"edge-{number}" for number in range(66)]
    network = FakeNetwork(Clock())
    network.join("n1")
    membership = network.memberships["n1"]
    membership.members = [membership.own, *map(make_record, others)]
    for number in range(29):
        process = f"i-{number:010x}/1773215223417"
        report = LossReport(process, "dc-a", 0.0, ((f"{number:016x}",),))
        network.histories["n1"].add(report, network.clock.seconds())
    network.exchanges["n1"].publish_loss("i-0000000000/1773215223417")
    most = 0
    for _ in range(round(CONTACT_S / LINK_DELAY_S)):
        membership.sent.clear()
        network.clock.pump([STEP_S] * round(LINK_DELAY_S / STEP_S))
        sent = [encode_json(payload) for _, _, payload in membership.sent]
        most = max(most, sum(map(len, sent)))
    assert 0 < most < LINK_BYTES_PER_S * LINK_DELAY_S


def test_many_instances_tell_a_lost_data_centre_from_a_content_that_crashes_servers():
    # Each instance tells what it found and little of what was lost beside it; a content
    # crashes servers before, at the moment of and after the loss of a data centre.
    names = [f"edge-{number}" for number in range(30)]
    network = FakeNetwork(Clock(), names)
    for name in names:
        network.join(name)
    network.lose_server(names[0], "s0", CONTENT)
    network.clock.pump([STEP_S] * 100)
    for number, name in enumerate(names):
        lost = ("part", f"{number:016x}")
        report = LossReport(f"a{number}", "dc-a", 0.0, (lost,))
        network.histories[name].add(report, network.clock.seconds())
        network.exchanges[name].publish_loss(report.process)
    network.lose_server(names[1], "a31", CONTENT)
    network.clock.pump([STEP_S] * 100)
    now = network.clock.seconds()
    for history in network.histories.values():
        assert history.count_crashes("part", now) == 1
        assert history.count_crashes(CONTENT, now) == 2
        assert history.find_blocked_trait((CONTENT,), now) is None
    network.lose_server(names[2], "s2", CONTENT)
    network.clock.pump([STEP_S] * round((SEND_DELAY_S + SETTLE_S) / STEP_S + 1))
    now = network.clock.seconds()
    for history in network.histories.values():
        assert history.find_blocked_trait(("part", CONTENT), now) == CONTENT
        assert history.find_blocked_trait(("part", "new"), now) is None


def test_repeats_reach_many_instances_within_contact_time():
    others = [f"edge-{number}" for number in range(390)]
    network = FakeNetwork(Clock())
    network.join("n1")
    membership = network.memberships["n1"]
    membership.members = [membership.own, *map(make_record, others)]
    network.lose_server("n1", "s1", CONTENT)
    network.clock.pump([STEP_S] * round(CONTACT_S / STEP_S))
    receivers = Counter(name for name, _, _ in membership.sent)
    assert receivers == dict.fromkeys(others, 3)


def test_survival_of_a_content_is_told_to_all_instances():
    network = build_network()
    network.lose_server("n1", "s1", CONTENT)
    network.clock.advance(1.0)
    history = network.histories["n3"]
    assert history.add_survival(CONTENT, network.clock.seconds())
    network.exchanges["n3"].publish_survival(CONTENT)
    network.clock.advance(SEND_DELAY_S)
    assert network.count_crashes() == [0] * len(NAMES)
    network.clock.advance(1.0)
    network.lose_server("n2", "s2", CONTENT)
    network.clock.advance(SEND_DELAY_S)
    assert network.count_crashes() == [1] * len(NAMES)


def test_what_a_trait_survived_is_told_with_the_losses_that_it_was_present_at():
    # Guards against blaming a part that all prompts have: an instance that gets few of
    # them does not know that servers run it all the time.
    network = build_network()
    now = network.clock.seconds()
    network.histories["n1"].add_survival("shared", now)
    network.clock.advance(1.0)
    for number in range(4):
        report = LossReport(
            f"s{number}", f"dc-{number}", 0.0, (("bad", "shared", f"c{number}"),)
        )
        network.histories["n1"].add(report, network.clock.seconds())
        network.exchanges["n1"].publish_loss(report.process)
    network.clock.advance(SEND_DELAY_S + SETTLE_S)
    now = network.clock.seconds()
    for history in network.histories.values():
        assert history.find_blocked_trait(("shared", "other"), now) is None
        assert history.find_blocked_trait(("bad", "shared", "new"), now) == "bad"
