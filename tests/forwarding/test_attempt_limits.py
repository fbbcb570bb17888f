"""Limits on the servers that run one request."""

from __future__ import annotations

from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    event,
    stream_head,
)

MAX_ATTEMPTS = 5  # of the harness's streams
TOKEN_COUNT_HEADER = {"X_Token_Count": "8000,700"}


# Places in their runs at which servers are lost for reasons of their own.
PLACES = (9, 30, 14, 60, 20, 100, 250, 500, 1000, 2000)


def break_off_streams(harness, *, ends_server, places=(10,) * 10) -> int:
    """Break off each attempt at a stream; return the number of attempts."""
    count, delivered = 0, 0
    while harness.count_waiting() and count < 2 * MAX_ATTEMPTS:
        server, _, _ = harness.take_request()
        numbers = range(delivered + 1, delivered + places[count] + 1)
        delivered += places[count]
        events = b"".join(chunk(event(number)) for number in numbers)
        server.receive(stream_head("r1") + events)
        if ends_server:
            harness.refused.add(server.address)
        server.reset()
        harness.advance(0.3)
        count += 1
    return count


def silence_servers(harness, *, ends_server) -> int:
    """Have each server of a stream fall silent in turn; return the number of runs."""
    count = 0
    while harness.count_waiting() and count < 2 * MAX_ATTEMPTS:
        count += 1
        server, _, _ = harness.take_request()
        server.receive(stream_head("r1") + chunk(event(count)))
        harness.advance(0.0)
        if ends_server:
            harness.silent.add(server.address)
            harness.advance(0.6)
            harness.unlist(server.address)
        harness.advance(1.5)
    return count


def test_silent_servers_that_ended_do_not_count():
    # Guards against a stream that is cut as data centres fall silent one by one.
    harness = ForwardingHarness(engines=30)
    harness.copier.handle = None
    caller = harness.open_caller()
    caller.request("/stream/x", **TOKEN_COUNT_HEADER)
    assert silence_servers(harness, ends_server=True) > MAX_ATTEMPTS
    assert not caller.transport.aborted


def test_silent_servers_that_accept_connections_count():
    harness = ForwardingHarness(engines=30)
    harness.copier.handle = None
    harness.open_caller().request("/stream/x", **TOKEN_COUNT_HEADER)
    assert silence_servers(harness, ends_server=False) <= MAX_ATTEMPTS


def test_stream_runs_on_no_more_servers_than_its_route_allows():
    # Guards against a stream whose connections are reset, by servers that go on, and
    # that runs on one server after the other.
    harness = ForwardingHarness(engines=30)
    harness.copier.handle = None
    caller = harness.open_caller()
    caller.request("/stream/x", **TOKEN_COUNT_HEADER)
    assert break_off_streams(harness, ends_server=False) == MAX_ATTEMPTS
    assert caller.transport.aborted


def test_servers_that_ended_do_not_count():
    harness = ForwardingHarness(engines=30)
    harness.copier.handle = None
    harness.open_caller().request("/stream/x", **TOKEN_COUNT_HEADER)
    count = break_off_streams(harness, ends_server=True, places=PLACES)
    assert count > MAX_ATTEMPTS
