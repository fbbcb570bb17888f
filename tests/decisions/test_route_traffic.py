"""Routes that callers used before an order."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import TRAFFIC_SPAN_S, RouteTraffic


def test_requests_of_the_last_span_are_counted_by_route():
    traffic = RouteTraffic()
    for step in range(10):
        traffic.record("plain", "r0", 0.1 * step)
    traffic.record("plain", "r1", 1.0)
    traffic.record("other", "r0", 1.0)
    assert traffic.read("plain", 1.0) == {"r0": 10, "r1": 1}
    assert traffic.read("unknown", 1.0) == {}


def test_requests_are_kept_for_a_span_and_forgotten_after_two():
    traffic = RouteTraffic()
    traffic.record("plain", "r0", 0.0)
    assert traffic.read("plain", 0.9 * TRAFFIC_SPAN_S) == {"r0": 1}
    traffic.record("plain", "r1", 1.5 * TRAFFIC_SPAN_S)
    assert traffic.read("plain", 1.9 * TRAFFIC_SPAN_S) == {"r0": 1, "r1": 1}
    assert traffic.read("plain", 2.5 * TRAFFIC_SPAN_S) == {"r1": 1}
    assert traffic.read("plain", 9 * TRAFFIC_SPAN_S) == {}
