"""Limits on the size of requests, while they are unknown and when they change."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import RequestLimits

from tests.forwarding.harness import (
    ForwardingHarness,
    answer,
    encode_request,
    make_configuration,
)

DEFAULT = RequestLimits()
LONG_VALUE = "x" * (DEFAULT.max_header_bytes + 4096)
LONG_BODY = b"x" * (DEFAULT.max_body_bytes + 4096)


def set_header_limit(harness, version, limit):
    limits = DEFAULT._replace(max_header_bytes=limit)
    configuration = make_configuration(version)._replace(limits=limits)
    harness.state.apply_configuration(configuration)


def set_idle_timeout(harness, version, timeout_s):
    limits = DEFAULT._replace(idle_timeout_s=timeout_s)
    configuration = make_configuration(version)._replace(limits=limits)
    harness.state.apply_configuration(configuration)


def send_long_head(caller):
    """Send a head beyond the default limit, whose end comes by itself."""
    request = encode_request("/once/x", X_Long=LONG_VALUE)
    caller.send(request[:-100])
    caller.send(request[-100:])


def test_request_beyond_default_limits_is_not_refused_as_wrong_without_configuration():
    harness = ForwardingHarness(configuration=False)
    for options in ({"X_Long": LONG_VALUE}, {"body": LONG_BODY}):
        caller = harness.open_caller()
        request = encode_request("/once/x", **options)
        caller.send(request[:-100])
        status, headers, _, _ = caller.read_answer()
        assert status == 503
        assert "retry-after" in headers


def test_open_connection_takes_heads_as_long_as_a_newer_configuration_allows():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    set_header_limit(harness, 2, 64 * 1024)
    send_long_head(caller)
    harness.advance(0.01)
    assert harness.count_waiting() == 1


def test_open_connection_takes_no_heads_longer_than_a_newer_configuration_allows():
    harness = ForwardingHarness()
    set_header_limit(harness, 2, 64 * 1024)
    caller = harness.open_caller()
    set_header_limit(harness, 3, DEFAULT.max_header_bytes)
    send_long_head(caller)
    assert caller.read_answer()[0] == 431


def test_open_connection_stays_as_long_as_a_newer_configuration_allows():
    # Guards against closing connections that callers use again, by a limit in force
    # when they became idle.
    harness = ForwardingHarness()
    set_idle_timeout(harness, 2, 2.0)
    caller = harness.open_caller()
    harness.advance(1.0)
    set_idle_timeout(harness, 3, 10.0)
    harness.advance(7.0)  # callers use connections within four fifths of the limit
    assert not caller.transport.disconnecting
    caller.request("/once/x")
    assert harness.count_waiting() == 1
    server, _, _ = harness.take_request()
    server.receive(answer("r1"))
    harness.advance(9.5)
    assert not caller.transport.disconnecting
    set_idle_timeout(harness, 4, 1.0)
    harness.advance(1.0)
    assert caller.transport.disconnecting
