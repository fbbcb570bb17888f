from __future__ import annotations

import random
import time

from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import EngineUse, PeerEngineUse, ServiceRetryBudget
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node.forwarding._sharing import (
    CONFIGURATION_DELAY_S,
    STATE_ANSWER_INTERVAL_S,
    EngineUseExchange,
    StateSynchronizer,
)
from ebonyhaven_node.forwarding.interfaces import StateVersion
from twisted.internet.task import Clock

from tests.forwarding.harness import ForwardingHarness


class FakeChannels:
    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler


def make_record(name) -> MemberRecord:
    return MemberRecord(
        incarnation=1,
        state=MemberState.LIVE,
        name=name,
        control_address=f"{name}:1",
        caller_address=f"{name}:2",
        data_centre="dc-a",
        region="r1",
    )


class FakeMembership:
    def __init__(self, *names):
        self.own = make_record("n1")
        self.members = [self.own, *map(make_record, names)]
        self.sent = []
        self.digests = []
        self.excluded_entries = frozenset()
        self.observers = []

    def observe(self, observer):
        self.observers.append(observer)

    def send(self, name, kind, payload):
        self.sent.append((name, kind, payload))
        return True

    def add_digest(self, digest):
        self.digests.append(digest)

    def set_excluded_entries(self, names, *, reason, may_exclude_all=True):
        self.excluded_entries = frozenset(names)


def build_use_exchange(*names):
    harness = ForwardingHarness()
    membership, channels, clock = FakeMembership(*names), FakeChannels(), Clock()
    lost_servers = []
    peers = PeerEngineUse(ttl_s=3.0)
    budget = ServiceRetryBudget(ratio=0.8, window_s=10.0, slack=150.0)
    exchange = EngineUseExchange(
        state=harness.state,
        peers=peers,
        budget=budget,
        membership=membership,
        channels=channels,
        reactor=clock,
        rng=random.Random(1),
        on_peer_use=lambda: None,
        on_loss=lost_servers.append,
    )
    return harness, exchange, membership, channels, clock, lost_servers, peers, budget


def test_engine_use_and_losses_are_sent_to_all_instances_in_one_message():
    harness, exchange, membership, _, clock, _, _, _ = build_use_exchange("n2", "n3")
    engine = harness.state.backends.find("e-0")
    engine.run_tokens, engine.prefill_tokens = 8700, 8000
    exchange.schedule_report()
    exchange.report_lost_server(harness.state.backends.find("e-1"))
    clock.advance(0.02)
    payload = [{"e-0": [8700, 0, 8000]}, ["e-1"], {}]
    assert sorted(membership.sent) == [
        ("n2", FrameKind.ENGINE_USE, payload),
        ("n3", FrameKind.ENGINE_USE, payload),
    ]


def test_retry_budget_is_shared_by_all_instances_that_are_not_dead():
    _, _, membership, _, _, _, _, budget = build_use_exchange("n2", "n3")
    membership.observers[0](membership.members[1])
    assert budget.instances == 3
    membership.members[2] = membership.members[2]._replace(state=MemberState.DEAD)
    membership.observers[0](membership.members[2])
    assert budget.instances == 2


def test_nonzero_use_is_resent_periodically_and_zero_use_once():
    harness, exchange, membership, _, clock, _, _, _ = build_use_exchange("n2")
    engine = harness.state.backends.find("e-0")
    engine.run_tokens = 5
    exchange.schedule_report()
    clock.advance(0.02)
    clock.advance(1.1)
    assert len(membership.sent) == 2
    engine.run_tokens = 0
    exchange.schedule_report()
    clock.advance(0.02)
    assert membership.sent[-1][2] == [{}, [], {}]
    clock.pump([1.0] * 5)
    assert len(membership.sent) == 3


def test_reports_of_a_peer_are_recorded_unless_malformed():
    _, _, _, channels, _, lost_servers, peers, _ = build_use_exchange("n2")
    receive = channels.handlers[FrameKind.ENGINE_USE]
    receive(
        Frame(FrameKind.ENGINE_USE, "n2", 1, [{"e-0": [1, 2, 3]}, ["e-2", "unknown"]])
    )
    now = peers._reports["n2"][0]
    assert peers.sum_by_server(now) == {"e-0": EngineUse(1, 2, 3)}
    assert [each.server_id for each in lost_servers] == ["e-2"]
    receive(Frame(FrameKind.ENGINE_USE, "n2", 1, "nonsense"))
    assert peers.sum_by_server(now) == {"e-0": EngineUse(1, 2, 3)}


def test_reports_of_a_silent_peer_expire():
    peers = PeerEngineUse(ttl_s=3.0)
    peers.record("n2", {"e-0": EngineUse(1, 0, 0)}, 10.0)
    assert peers.sum_by_server(12.9)
    assert peers.sum_by_server(13.1) == {}


def build_state_synchronizer():
    harness = ForwardingHarness()
    membership, channels = FakeMembership("n2"), FakeChannels()
    StateSynchronizer(
        source=harness.source,
        membership=membership,
        channels=channels,
        reactor=harness.reactor,
        clock=harness.reactor.seconds,
    )
    return harness, membership, channels


def test_newer_state_is_requested_only_while_the_store_is_unresponsive():
    harness, membership, _ = build_state_synchronizer()
    digest = membership.digests[0]
    digest.merge("n2", [2, 0, 9])
    assert membership.sent == []
    harness.source.unresponsive = True
    digest.merge("n2", [1, 0, 1])
    assert membership.sent == []
    digest.merge("n2", [1, 0, 9])
    assert membership.sent == [("n2", FrameKind.STATE_REQUEST, [1, 0, 1])]


def test_instance_without_state_is_excluded_from_entry_lists():
    _, membership, _ = build_state_synchronizer()
    digest = membership.digests[0]
    digest.merge("n2", [0, 0, 0])
    assert membership.excluded_entries == {"n2"}
    digest.merge("n2", [3, 0, 7])
    assert membership.excluded_entries == frozenset()


def test_configuration_is_read_again_if_a_peer_has_a_newer_one_for_some_time():
    # A poll can wait on a connection that has fallen silent.
    harness, membership, _ = build_state_synchronizer()
    digest = membership.digests[0]
    digest.merge("n2", [2, 0, 1])
    harness.reactor.advance(CONFIGURATION_DELAY_S / 2)
    assert harness.source.refresh_count == 0
    harness.reactor.advance(CONFIGURATION_DELAY_S)
    assert harness.source.refresh_count == 1
    digest.merge("n2", [2, 0, 1])
    harness.source.versions = StateVersion(2, 0, 1)
    harness.reactor.advance(CONFIGURATION_DELAY_S)
    assert harness.source.refresh_count == 1


def test_peer_is_asked_for_a_configuration_that_the_store_does_not_hold():
    # Guards against an instance that starts while a restored store is behind.
    harness, membership, _ = build_state_synchronizer()
    for _ in range(2):
        membership.digests[0].merge("n2", [2, 0, 1])
        harness.reactor.advance(CONFIGURATION_DELAY_S)
    assert harness.source.refresh_count == 1
    assert membership.sent == [("n2", FrameKind.STATE_REQUEST, [1, 0, 1])]


def test_state_of_a_later_era_is_newer_whatever_its_version():
    harness, membership, _ = build_state_synchronizer()
    harness.source.unresponsive = True
    membership.digests[0].merge("n2", [1, 1, 0])
    assert [kind for _, kind, _ in membership.sent] == [FrameKind.STATE_REQUEST]


def test_use_of_the_retry_budget_is_told_with_each_report():
    harness, exchange, membership, _, clock, _, _, budget = build_use_exchange("n2")
    harness.state.backends.find("e-0").run_tokens = 5
    budget.record_request("engines", time.monotonic())
    assert budget.acquire_retry("engines", time.monotonic())
    exchange.schedule_report()
    clock.advance(0.02)
    assert membership.sent[-1][2][2] == {"engines": (1, 1)}


def test_use_of_the_retry_budget_by_peers_is_recorded_unless_malformed():
    _, _, _, channels, _, _, _, budget = build_use_exchange("n2")
    budget.instances = 195
    receive = channels.handlers[FrameKind.ENGINE_USE]
    for number in range(20):
        receive(Frame(FrameKind.ENGINE_USE, f"n{number}", 1, [{}, [], {"x": [3, 0]}]))
    for payload in ([{}, [], 5], [{}, [], {"x": ["many", 0]}], [{}, [], {"x": 1}]):
        receive(Frame(FrameKind.ENGINE_USE, "n30", 1, payload))
    now = time.monotonic()
    assert all(budget.acquire_retry("x", now) for _ in range(3))


def test_answers_with_the_state_are_spread_over_time():
    # Guards against a link of a few Mbit/s that whole states fill while the store is
    # away, so that changes of the server list wait for seconds behind them.
    harness, membership, channels = build_state_synchronizer()
    ask = channels.handlers[FrameKind.STATE_REQUEST]
    for number in range(20):
        ask(Frame(FrameKind.STATE_REQUEST, f"n{number}", 1, [0, 0, 0]))
    assert [name for name, _, _ in membership.sent] == ["n0"]
    harness.reactor.advance(STATE_ANSWER_INTERVAL_S)
    ask(Frame(FrameKind.STATE_REQUEST, "n3", 1, [0, 0, 0]))
    assert [name for name, _, _ in membership.sent] == ["n0", "n3"]


def test_malformed_requests_for_the_state_are_dropped():
    _, membership, channels = build_state_synchronizer()
    for payload in (None, [1], ["a", 0, 0], 5):
        frame = Frame(FrameKind.STATE_REQUEST, "n2", 1, payload)
        channels.handlers[FrameKind.STATE_REQUEST](frame)
    assert membership.sent == []
