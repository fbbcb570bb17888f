"""Tests of the exchange of engine use and retry budgets between instances."""

from __future__ import annotations

import random
import time

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import EngineUse, PeerEngineUse, ServiceRetryBudget
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node.forwarding._engine_use_exchange import EngineUseExchange
from twisted.internet.task import Clock

from tests.forwarding.harness import ForwardingHarness
from tests.forwarding.peers import FakeChannels, FakeMembership


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
    payload = [{"e-0": [8700, 0, 8000]}, ["e-1"], {}, True]
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
    assert membership.sent[-1][2] == [{}, [], {}, True]
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


def test_use_of_the_retry_budget_is_told_with_each_report():
    harness, exchange, membership, _, clock, _, _, budget = build_use_exchange("n2")
    harness.state.backends.find("e-0").run_tokens = 5
    budget.record_request("engines", time.monotonic())
    assert budget.acquire_retry("engines", time.monotonic())
    exchange.schedule_report()
    clock.advance(0.02)
    assert membership.sent[-1][2][2] == {"engines": (1, 1)}


def test_instance_that_starts_beside_others_does_not_know_that_they_just_did():
    _, _, _, channels, _, _, _, budget = build_use_exchange("n2", "n3")
    receive = channels.handlers[FrameKind.ENGINE_USE]
    for name, payload, is_settled in (
        ("n2", [{}, [], {}, False], False),
        ("n3", [{}, [], {}, True], True),
        ("n4", [{}, [], {}], True),  # an earlier release
    ):
        receive(Frame(FrameKind.ENGINE_USE, name, 1, payload))
        assert budget._peers[name].is_settled is is_settled


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
