"""Servers that leave while a request is on its way to them."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState

from tests.forwarding.harness import (
    ForwardingHarness,
    decode_headers,
)
from tests.forwarding.streaming import SIZE_HEADERS


def announce_leave(harness, server_id):
    entry = harness.state.backends.find(server_id).entry
    harness.state.put_backend(entry._replace(state=BackendState.LEAVING))


def unlist(harness, server_id):
    harness.state.remove_backend(server_id)


def request_with_held_connection(harness, path, **headers):
    """Send a request; return its caller and the server that it is connecting to."""
    harness.is_accepting = False
    caller = harness.open_caller()
    caller.request(path, **headers)
    host, port, *_ = harness.reactor.tcpClients[-1]
    server_id = next(
        each.server_id
        for each in harness.state.backends
        if each.entry.address == f"{host}:{port}"
    )
    return caller, server_id


def test_request_goes_elsewhere_if_its_server_leaves_while_connecting():
    for path, headers in (("/once/x", {}), ("/fixed/x", SIZE_HEADERS)):
        for leave in (announce_leave, unlist):
            harness = ForwardingHarness()
            _, left = request_with_held_connection(harness, path, **headers)
            leave(harness, left)
            harness.is_accepting = True
            harness.advance(0.05)
            _, head, _ = harness.take_request()
            assert decode_headers(head)["x-expect-instance"] != left


def test_request_goes_elsewhere_if_its_server_restarts_while_connecting():
    harness = ForwardingHarness()
    _, restarted = request_with_held_connection(harness, "/once/x")
    entry = harness.state.backends.find(restarted).entry
    harness.state.put_backend(entry._replace(address="10.0.0.99:8000", started_ms=2))
    harness.is_accepting = True
    harness.advance(0.05)
    server, _, _ = harness.take_request()
    assert server.address != entry.address


def test_request_to_the_last_server_is_refused_as_not_run_if_it_leaves():
    harness = ForwardingHarness(plain=1)
    caller, left = request_with_held_connection(harness, "/once/x")
    announce_leave(harness, left)
    harness.is_accepting = True
    harness.advance(0.3)
    assert harness.count_waiting() == 0
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert float(headers["retry-after"]) > 0
