"""Answers that their server breaks off at any byte never reach a caller as whole."""

from __future__ import annotations

from tests.forwarding.harness import (
    STAMP,
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    event,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS
from tests.forwarding.test_cut_off import CutOffHarness

PLAIN_PATHS = ("/once/x", "/repeat/x")
STREAM_PATHS = ("/stream/x", "/fixed/x")
BODY = b"0123456789"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CHUNKED_HEAD = (
    f"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: {STAMP}\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
CHUNKS = b"4;name=value\r\n0123\r\n6\r\n456789\r\n0\r\nX-Trailer: one\r\n\r\n"
UNDELIMITED_HEAD = answer("r1", b"", Content_Length=None, Keep_Alive=None)
STREAM = stream_head("r1") + chunk(event(1)) + chunk(event(2)) + STREAM_END
ENDS = ("close", "reset")


def call(path, harness=None):
    """Send a request; return its harness, its caller and the server that got it."""
    harness = harness or ForwardingHarness()
    caller = harness.open_caller()
    caller.request(path, **(SIZE_HEADERS if path in STREAM_PATHS else {}))
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    return harness, caller, server


def call_on_kept_connection(path):
    """Send a request over the connection of an earlier answer."""
    harness = ForwardingHarness(plain=1, engines=1)
    earlier = harness.open_caller()
    stream = path in STREAM_PATHS
    options = SIZE_HEADERS if stream else {}
    earlier.request(path, "r0", **options)
    first, _, _ = harness.take_request()
    first.receive(STREAM.replace(b"r1", b"r0") if stream else answer("r0"))
    harness.advance(0.01)
    caller = harness.open_caller()
    caller.request(path, **options)
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    assert server is first
    return harness, caller, server


def break_off(harness, server, data, end) -> None:
    """Deliver the beginning of an answer and end the connection.

    Whoever is asked next refuses by its end of the connection.
    """
    if data:
        server.receive(data)
    getattr(server, end)()
    harness.advance(0.01)
    for each in harness.connections:
        if each is not server and each.has_request():
            each.read_request()
            each.reset()
    harness.advance(0.01)


def list_cuts(whole, first=0):
    return [(whole[:at], end) for at in range(first, len(whole)) for end in ENDS]


def check_failure(caller, cut) -> None:
    """Fail unless the caller is told that its request may have run."""
    status, headers, _, is_whole = caller.read_answer()
    assert (status, is_whole) == (502, True), cut
    assert "x-server-stamp" not in headers


def check_no_success(caller, cut) -> None:
    """Fail if the caller was told of a success that is whole."""
    if caller.received:
        status, _, _, is_whole = caller.read_answer()
        assert not (is_whole and 200 <= status < 300), cut


def test_answer_with_a_length_that_is_broken_off_is_no_success():
    for path in PLAIN_PATHS:
        for cut in list_cuts(INTERIM + answer("r1", BODY)):
            harness, caller, server = call(path)
            break_off(harness, server, *cut)
            check_failure(caller, cut)


def test_answer_on_a_kept_connection_that_is_broken_off_is_no_success():
    for path in PLAIN_PATHS:
        for cut in list_cuts(answer("r1", BODY), first=1):
            harness, caller, server = call_on_kept_connection(path)
            break_off(harness, server, *cut)
            check_failure(caller, cut)


def test_chunked_answer_that_is_broken_off_is_no_success():
    for path in PLAIN_PATHS:
        for cut in list_cuts(CHUNKED_HEAD + CHUNKS):
            harness, caller, server = call(path)
            break_off(harness, server, *cut)
            check_failure(caller, cut)
        harness, caller, server = call(path)
        server.receive(CHUNKED_HEAD + CHUNKS)
        harness.advance(0.01)
        assert caller.read_answer()[2:] == (BODY, True)


def test_head_without_a_length_that_is_broken_off_is_no_success():
    for path in PLAIN_PATHS:
        for cut in list_cuts(INTERIM + UNDELIMITED_HEAD):
            harness, caller, server = call(path)
            break_off(harness, server, *cut)
            check_failure(caller, cut)


def test_stream_that_is_broken_off_is_not_told_as_complete():
    for path in STREAM_PATHS:
        for cut in list_cuts(INTERIM + STREAM):
            harness, caller, server = call(path)
            break_off(harness, server, *cut)
            check_no_success(caller, cut)


def test_stream_on_a_kept_connection_that_is_broken_off_is_not_told_as_complete():
    for path in STREAM_PATHS:
        for cut in list_cuts(STREAM, first=1):
            harness, caller, server = call_on_kept_connection(path)
            break_off(harness, server, *cut)
            check_no_success(caller, cut)


def test_head_of_a_stream_without_a_length_that_is_broken_off_is_no_success():
    head = stream_head("r1").replace(b"Transfer-Encoding: chunked\r\n", b"")
    for path in STREAM_PATHS:
        for cut in (*list_cuts(head), (head, "close"), (head, "reset")):
            harness, caller, server = call(path)
            break_off(harness, server, *cut)
            check_no_success(caller, cut)


def call_by_relay(path):
    """Send a request that another instance takes, as this one reaches no server."""
    harness = CutOffHarness()
    harness.lose_contact()
    return call(path, harness)


def test_answer_that_another_instance_breaks_off_is_no_success():
    for path, whole in (
        ("/once/x", INTERIM + answer("r1", BODY)),
        ("/repeat/x", CHUNKED_HEAD + CHUNKS),
        ("/stream/x", STREAM),
    ):
        for cut in list_cuts(whole):
            harness, caller, peer = call_by_relay(path)
            break_off(harness, peer, *cut)
            check_no_success(caller, cut)


def test_answer_without_a_length_from_another_instance_is_no_success():
    for end in ENDS:
        for body in (b"", BODY):
            harness, caller, peer = call_by_relay("/once/x")
            break_off(harness, peer, UNDELIMITED_HEAD + body, end)
            check_no_success(caller, (end, body))


def test_switch_of_protocols_is_no_success():
    for path in PLAIN_PATHS + STREAM_PATHS:
        for end in ENDS:
            harness, caller, server = call(path)
            data = (
                b"HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: r1\r\n\r\n" + BODY
            )
            break_off(harness, server, data, end)
            check_no_success(caller, (path, end))
