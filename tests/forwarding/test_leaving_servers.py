"""Servers that leave while a request is on its way to them."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState
from ebonyhaven_node.forwarding.interfaces import InspectedServer
from structlog.testing import capture_logs

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

LEAVING = {"Server_Leaving": "1"}


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


# -- servers that say in an answer that they leave ---------------------------


def stream_that_leaves(request_id):
    head = stream_head(request_id).replace(
        b"Transfer-Encoding", b"Server-Leaving: 1\r\nTransfer-Encoding"
    )
    return head + chunk(event(1)) + STREAM_END


LEAVING_ANSWERS = (
    ("/once/x", answer("r1", **LEAVING)),
    ("/once/x", refusal("r1", **LEAVING)),
    ("/once/x", refusal("r1", 429, **LEAVING)),
    ("/once/x", answer("r1", b"bad", 500, **LEAVING)),
    ("/once/x", answer("earlier", **LEAVING)),
    ("/stream/x", stream_that_leaves("r1")),
    ("/stream/x", refusal("r1", **LEAVING)),
    ("/stream/x", answer("r1", b"bad", 500, **LEAVING)),
)


def answer_request(path, response, **servers):
    """Answer the only request of a harness; return it and the id of the server."""
    harness = ForwardingHarness(**servers)
    harness.open_caller().request(path, **SIZE_HEADERS)
    server, head, _ = harness.take_request()
    server.receive(response)
    harness.advance(0.02)
    return harness, decode_headers(head)["x-expect-instance"]


def is_listed_ready(harness, server_id):
    return harness.state.backends.find(server_id).entry.state is BackendState.READY


def test_server_that_says_in_any_answer_that_it_leaves_gets_nothing_more():
    for path, response in LEAVING_ANSWERS:
        harness, left = answer_request(path, response)
        assert is_listed_ready(harness, left)
        for number in range(12):
            harness.open_caller().request(
                path, request_id=f"again{number}", body=b"%d" % number, **SIZE_HEADERS
            )
        harness.advance(0.1)
        heads = [
            each.read_request()[0] for each in harness.connections if each.has_request()
        ]
        expected = {decode_headers(each)["x-expect-instance"] for each in heads}
        assert expected, response
        assert left not in expected, response


def test_leave_told_by_an_answer_outlasts_what_the_list_says():
    harness, left = answer_request("/once/x", answer("r1", **LEAVING))
    backends = harness.state.backends
    entry = backends.find(left).entry
    harness.state.put_backend(entry._replace(slots=7))
    assert backends.find(left).is_leaving
    harness.state.remove_backend(left)
    harness.advance(4.0)
    harness.state.remove_backend("p-1")  # forgets those that were removed long ago
    harness.state.put_backend(entry)  # as with a restored store
    assert backends.find(left).is_leaving
    harness.state.put_backend(entry._replace(started_ms=2))
    assert not backends.find(left).is_leaving


def test_server_told_to_leave_by_another_process_at_its_address_is_not_leaving():
    response = refusal("r1", 421, X_Instance_Id="p-9", **LEAVING)
    harness, addressed = answer_request("/once/x", response)
    assert not harness.state.backends.find(addressed).is_leaving


def test_leave_told_by_answers_is_logged_once_and_not_passed_on():
    with capture_logs() as lines:
        harness = ForwardingHarness(plain=1)
        callers = [harness.open_caller() for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.request("/once/x", request_id=f"r{number}")
        waiting = [each for each in harness.connections if each.has_request()]
        for server in waiting:
            head, _ = server.read_request()
            request_id = decode_headers(head)["x-attempt-id"]
            server.receive(answer(request_id, **LEAVING))
    for caller in callers:
        status, headers, _, _ = caller.read_answer()
        assert status == 200
        assert "server-leaving" not in headers
    logged = [each for each in lines if each["event"] == "backend_leaving_told"]
    assert [each["server"] for each in logged] == ["p-0"]


def test_leave_told_by_a_report_is_taken():
    harness = ForwardingHarness(engines=2)
    harness.inspector.result = InspectedServer(True, 1, is_leaving=True)
    backend = harness.state.backends.find("e-0")
    backend.silence.record_sent(harness.reactor.seconds(), 0.1)
    harness.advance(1.0)
    assert backend.is_leaving


def test_request_is_refused_at_once_if_only_leaving_servers_are_left():
    for path in ("/once/x", "/repeat/x", "/stream/x", "/fixed/x"):
        harness = ForwardingHarness(plain=2, engines=2)
        for server_id in ("p-0", "p-1", "e-0", "e-1"):
            announce_leave(harness, server_id)
        caller = harness.open_caller()
        caller.request(path, **SIZE_HEADERS)
        harness.advance(0.05)
        assert caller.received, path
        status, headers, _, _ = caller.read_answer()
        assert status == 503
        assert float(headers["retry-after"]) >= 1.0


def test_stream_that_has_been_sent_waits_if_only_leaving_servers_are_left():
    harness = ForwardingHarness(engines=2)
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE_HEADERS)
    server, _, _ = harness.take_request()
    for server_id in ("e-0", "e-1"):
        announce_leave(harness, server_id)
    server.reset()
    harness.advance(0.5)
    entry = harness.state.backends.find("e-1").entry
    harness.state.put_backend(
        entry._replace(
            server_id="e-2", address="10.0.0.2:9002", state=BackendState.READY
        )
    )
    harness.advance(0.5)
    resumed, _, _ = harness.take_request()
    resumed.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    assert caller.read_answer()[2] == event(1)
