"""Numbers in headers and events that can't be read, or are too large to use."""

from __future__ import annotations

from ebonyhaven_adapter._headers import PlatformBackendDialect, PlatformCallerDialect
from ebonyhaven_node.forwarding import RequestHead
from structlog.testing import capture_logs

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

MANY_DIGITS = b"1" * 5000
ODD_NUMBERS = (MANY_DIGITS, b"1" + b"0" * 400, b"\xb2", b"-1", b"1e999", b"")
UNREAD_LOADS = "ebonyhaven_unread_server_loads_total"
ODD_EVENT_IDS = ("\u00b2", MANY_DIGITS.decode(), "1" + "0" * 400)


def test_odd_numbers_in_headers_of_callers_count_as_absent():
    for odd in ODD_NUMBERS:
        headers = (
            (b"x-attempt-id", b"r1"),
            (b"x-deadline-ms", odd),
            (b"x-token-count", odd + b"," + odd),
        )
        head = RequestHead(b"POST", b"/x", headers)
        request = PlatformCallerDialect().read_request(head, b"", 0.0)
        assert request.timeout_s is None
        assert request.size is None


def test_odd_numbers_in_headers_of_servers_count_as_absent():
    for odd in ODD_NUMBERS:
        headers = (
            (b"x-server-load", b",".join([odd] * 3)),
            (b"server-limit", b"nan"),
            (b"server-brittle", odd),
        )
        head = PlatformBackendDialect().read_head(200, headers)
        assert head.load is None
        assert head.limits == (None, None)


def test_answer_with_an_odd_load_of_its_server_reaches_the_caller():
    for odd in ODD_NUMBERS[:2]:
        harness = ForwardingHarness()
        caller = harness.open_caller()
        caller.request("/repeat/x")
        server, _, _ = harness.take_request()
        load = ",".join([odd.decode("latin-1")] * 3)
        keep_alive = f"timeout={odd.decode()}"
        server.receive(answer("r1", X_Server_Load=load, Keep_Alive=keep_alive))
        harness.advance(0.01)
        assert caller.read_answer()[::2] == (200, b"ok")


def test_loads_in_an_unknown_form_are_counted_and_logged_once_a_server():
    harness = ForwardingHarness()
    with capture_logs() as logs:
        for _ in range(3):
            caller = harness.open_caller()
            caller.request("/repeat/x")
            server, _, _ = harness.take_request()
            server.receive(answer("r1", X_Server_Load="busy"))
            harness.advance(0.01)
            assert caller.read_answer()[0] == 200
    assert harness.gateway.registry.get_sample_value(UNREAD_LOADS) == 3
    unread = [each for each in logs if each["event"] == "server_load_unread"]
    assert unread
    assert len({each["server"] for each in unread}) == len(unread)


def test_request_with_an_odd_deadline_is_served():
    for odd in ODD_NUMBERS[:2]:
        harness = ForwardingHarness()
        caller = harness.open_caller()
        caller.request("/repeat/x", X_Deadline_Ms=odd.decode())
        server, _, _ = harness.take_request()
        server.receive(answer("r1"))
        harness.advance(0.01)
        assert caller.read_answer()[0] == 200


def test_stream_with_odd_event_ids_is_delivered():
    for first in ODD_EVENT_IDS:
        for second in (*ODD_EVENT_IDS, "2"):
            if first == second:
                continue
            harness = ForwardingHarness()
            caller = harness.open_caller()
            caller.request("/stream/x", **SIZE_HEADERS)
            server, _, _ = harness.take_request()
            events = [
                f"id: {each}\ndata: piece\n\n".encode("latin-1")
                for each in (first, second)
            ]
            server.receive(stream_head("r1") + chunk(events[0]))
            harness.advance(0.01)
            server.receive(chunk(events[1]) + STREAM_END)
            harness.advance(0.01)
            assert caller.read_answer()[2:] == (b"".join(events), True)


def test_retry_from_an_odd_position_gets_an_answer():
    for position in ODD_EVENT_IDS:
        harness = ForwardingHarness()
        caller = harness.open_caller()
        headers = {**SIZE_HEADERS, "Last_Event_Id": position, "Resumes": "r0"}
        caller.request("/stream/x", body=b"", **headers)
        harness.advance(0.05)
        server, _, _ = harness.take_request()
        event = b"id: 7\ndata: piece\n\n"
        server.receive(stream_head("r1") + chunk(event) + STREAM_END)
        harness.advance(0.01)
        assert caller.read_answer()[0] == 200
