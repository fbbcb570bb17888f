from __future__ import annotations

from tests.forwarding.harness import (
    HOST,
    KEY,
    ForwardingHarness,
    decode_headers,
    make_configuration,
    make_route,
)
from tests.forwarding.streaming import record_durations


def send_request(harness, path="/once/x", **options):
    caller = harness.open_caller()
    caller.request(path, **options)
    return caller


def test_unknown_route_and_unknown_key_get_different_statuses():
    harness = ForwardingHarness()
    assert send_request(harness, "/nothing/x").read_answer()[0] == 404
    assert send_request(harness, Authorization="Bearer wrong").read_answer()[0] == 401
    assert send_request(harness, Authorization=None).read_answer()[0] == 401
    assert harness.count_waiting() == 0


def test_anonymous_route_needs_no_key_and_drops_a_forged_workspace():
    harness = ForwardingHarness()
    send_request(harness, "/open/x", Authorization=None, X_Tenant_Name="forged")
    _, head, _ = harness.take_request()
    assert "x-tenant-name" not in decode_headers(head)


def test_longest_matching_prefix_selects_the_route():
    plain = make_configuration().routes[HOST][0]
    routes = [
        make_route("outer", plain.kind, path_prefix="/a/"),
        make_route("inner", plain.kind, path_prefix="/a/b/"),
    ]
    configuration = make_configuration(routes=routes)
    assert configuration.find_route(HOST.upper(), "/a/b/c").name == "inner"
    assert configuration.find_route(HOST, "/a/bc").name == "outer"
    assert configuration.find_route("other", "/a/b/c") is None


def test_older_configuration_never_replaces_a_newer_one():
    harness = ForwardingHarness()
    harness.state.apply_configuration(make_configuration(version=5))
    harness.state.apply_configuration(make_configuration(version=4))
    assert harness.state.configuration.version == 5


def test_request_with_length_and_chunked_encoding_is_rejected():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.send(
        f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\nGET /open/ HTTP/1.1\r\n\r\n".encode()
    )
    assert caller.read_answer()[0] == 400
    assert harness.count_waiting() == 0
    harness.advance(1.0)
    assert caller.transport.is_closed


def test_oversized_header_and_body_are_rejected():
    harness = ForwardingHarness()
    limits = harness.state.limits
    caller = harness.open_caller()
    caller.send(b"GET / HTTP/1.1\r\nX: " + b"a" * (limits.max_header_bytes + 100))
    assert caller.read_answer()[0] == 431
    caller = harness.open_caller()
    length = limits.max_body_bytes + 1
    head = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n\r\n"
    caller.send(head.encode() + b"a" * length)
    assert caller.read_answer()[0] == 413


def test_request_without_an_id_is_rejected():
    harness = ForwardingHarness()
    assert send_request(harness, X_Attempt_Id=None).read_answer()[0] == 400
    assert harness.count_waiting() == 0


def test_idle_connection_is_closed_after_the_idle_timeout():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    harness.advance(0.9 * harness.state.limits.idle_timeout_s)
    assert not caller.transport.is_closed
    harness.advance(0.2 * harness.state.limits.idle_timeout_s)
    assert caller.transport.is_closed


def test_leaving_instance_closes_connections_after_the_response():
    harness = ForwardingHarness()
    harness.leave()
    caller = send_request(harness, "/nothing/x")
    _, headers, _, _ = caller.read_answer()
    assert headers["connection"] == "close"
    assert caller.transport.is_closed


def test_leaving_instance_accepts_streams_only_while_they_can_complete():
    harness = ForwardingHarness()
    record_durations(harness, "stream", 2.0)
    harness.leave()
    send_request(harness, "/stream/x")
    assert harness.count_waiting() == 1
    harness.advance(2.5)  # exceeds a quarter of the grace period of 8 s
    status, headers, _, _ = send_request(
        harness, "/stream/x", request_id="r2"
    ).read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == 0


def test_leaving_instance_accepts_calls_only_while_they_can_complete():
    # Guards against accepting a request that is aborted when the process exits, as
    # happened to one accepted 7.65 s after the signal.
    harness = ForwardingHarness()
    harness.leave()
    harness.advance(6.5)
    send_request(harness)  # its route timeout is 0.8 s; the instance stops after 7.4 s
    assert harness.count_waiting() == 1
    harness.advance(0.2)
    status, headers, _, _ = send_request(harness, request_id="r2").read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == 0


def test_time_to_a_rejection_is_counted_by_step():
    harness = ForwardingHarness()
    send_request(harness, "/nothing/x")
    text = harness.gateway.render_metrics().decode()
    assert 'ebonyhaven_refusal_seconds_count{step="route"} 1.0' in text
