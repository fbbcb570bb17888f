"""Tests of the comparison of configuration and server list between instances."""

from __future__ import annotations

from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node.forwarding._state_synchronization import (
    CONFIGURATION_DELAY_S,
    STATE_ANSWER_INTERVAL_S,
    StateSynchronizer,
)
from ebonyhaven_node.forwarding.interfaces import StateVersion

from tests.forwarding.harness import ForwardingHarness
from tests.forwarding.peers import FakeChannels, FakeMembership


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
