"""Requests that one instance relays to another, whose configuration may differ."""

from __future__ import annotations

from tests.forwarding.harness import (
    ForwardingHarness,
    answer,
    decode_headers,
    make_configuration,
)
from tests.forwarding.test_cut_off import OTHER, PEER, CutOffHarness


def start_relay(path):
    """Have an instance that reaches no server relay a request to the first of two."""
    harness = CutOffHarness(peers=(PEER, OTHER))
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request(path, request_id="r2")
    harness.advance(0.01)
    peer, head, _ = harness.take_request()
    return harness, caller, peer, head


def relay_from_other(harness, path, *, configuration=1, runs=0):
    """Send a request as an instance that reaches no server relays it."""
    caller = harness.open_caller()
    origin = f"n4;configuration={configuration};runs={runs}"
    caller.request(path, request_id="r1", Ebonyhaven_Relayed_By=origin)
    harness.advance(0.01)
    return caller


def test_denial_of_an_instance_with_another_configuration_reaches_no_caller():
    for status in (401, 404):
        harness, caller, peer, _ = start_relay("/once/x")
        peer.receive(answer("r2", b"", status, X_Server_Stamp=None))
        harness.advance(0.01)
        other, _, _ = harness.take_request()
        assert other.address != peer.address
        other.receive(answer("r2", b"whole"))
        harness.advance(0.0)
        assert caller.read_answer()[0] == 200


def test_relayed_request_is_refused_by_an_instance_that_is_behind():
    # Guards against an older version that comes back at the instance that relays.
    harness = ForwardingHarness()
    caller = relay_from_other(harness, "/once/x", configuration=2)
    assert caller.read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_relayed_request_is_handled_under_a_newer_configuration():
    harness = ForwardingHarness()
    harness.state.apply_configuration(make_configuration(version=3))
    relay_from_other(harness, "/once/x", configuration=2)
    assert harness.count_waiting() == 1


def test_relayed_request_is_not_counted_again_and_its_repeat_is():
    harness = ForwardingHarness()
    relay_from_other(harness, "/repeat/x", runs=1)
    assert harness.count_waiting() == 1
    use = harness.gateway._budget.read_uses(harness.reactor.seconds())
    assert [tuple(each) for each in use.values()] == [(0, 1)]


def test_relayed_request_runs_on_no_more_servers_than_its_route_allows():
    harness = ForwardingHarness()
    caller = relay_from_other(harness, "/repeat/x", runs=2)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 502


def test_run_at_an_instance_that_was_lost_is_told_to_the_next_one():
    # Guards against more runs than attempts of the route, over two relays.
    harness, _, peer, head = start_relay("/repeat/x")
    assert decode_headers(head)["ebonyhaven-relayed-by"].endswith("runs=0")
    peer.reset()
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["ebonyhaven-relayed-by"].endswith("runs=1")
