"""Endless heads, bodies and skipped responses of servers."""

from __future__ import annotations

from ebonyhaven_node.forwarding._http_client import HttpConnection, HttpRequest
from ebonyhaven_standins.memory_connections import MemoryTransport
from twisted.internet.testing import MemoryReactorClock

from tests.forwarding.harness import ForwardingHarness, answer, chunk, stream_head

MIB = 1024 * 1024
# Of the 32 MiB of an instance, one response may take a small part.
MAX_BYTES_READ = 4 * MIB
PIECE = b"x" * 65536
TOKEN_COUNT_HEADER = {"X_Token_Count": "8000,700"}
GARBAGE_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def feed_until_closed(server, piece, limit=2 * MAX_BYTES_READ) -> int:
    """Send a piece again and again; return the bytes read when the node closes."""
    sent = 0
    while not server.is_closed and sent < limit:
        server.receive(piece)
        sent += len(piece)
    return sent


def open_request(path="/once/x", **headers):
    harness = ForwardingHarness(plain=1, engines=1)
    caller = harness.open_caller()
    caller.request(path, **headers)
    server, _, _ = harness.take_request()
    return harness, caller, server


def test_endless_body_is_cut():
    for framing in (b"Transfer-Encoding: chunked\r\n", b""):
        harness, caller, server = open_request()
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n"
        server.receive(head + framing + b"\r\n")
        piece = chunk(PIECE) if framing else PIECE
        assert feed_until_closed(server, piece) <= MAX_BYTES_READ
        harness.advance(0.0)
        assert caller.read_answer()[0] == 502


def test_endless_head_is_cut():
    for start, piece in (
        (b"HTTP/1.1 200 OK\r\n", b"X-Name: " + PIECE[:100] + b"\r\n"),
        (b"HTTP/1.1 200 ", PIECE),
        (b"", PIECE),
    ):
        harness, caller, server = open_request()
        server.receive(start)
        assert feed_until_closed(server, piece) <= MAX_BYTES_READ
        harness.advance(0.0)
        assert caller.read_answer()[0] == 502


def test_endless_interim_responses_are_cut():
    _, _, server = open_request()
    piece = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 1000
    assert feed_until_closed(server, piece) <= MAX_BYTES_READ


def test_endless_skipped_response_is_cut():
    # Guards against a response to an earlier request that is skipped for ever.
    for path in ("/once/x", "/stream/x"):
        headers = TOKEN_COUNT_HEADER if path == "/stream/x" else {}
        _, _, server = open_request(path, **headers)
        server.receive(GARBAGE_HEAD)
        assert feed_until_closed(server, chunk(PIECE)) <= MAX_BYTES_READ


def test_skipped_responses_one_after_the_other_are_cut():
    _, _, server = open_request()
    piece = answer("other", PIECE)
    assert feed_until_closed(server, piece) <= MAX_BYTES_READ


def test_endless_trailers_are_cut():
    _, _, server = open_request()
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    server.receive(head + b"0\r\n")
    assert feed_until_closed(server, b"X-Name: value\r\n" * 1000) <= MAX_BYTES_READ


def test_bytes_of_all_responses_together_are_bounded():
    # Each response alone is short enough to be read.
    harness = ForwardingHarness(plain=60)
    callers = [harness.open_caller() for _ in range(60)]
    for number, caller in enumerate(callers):
        caller.request("/once/x", request_id=f"r{number}", body=b"%d" % number)
    servers = [each for each in harness.connections if each.has_request()]
    assert len(servers) == 60
    kept = 0
    for server in servers:
        head, _ = server.read_request()
        request_id = dict(head.headers)[b"x-attempt-id"].decode()
        response = answer(request_id, b"y" * MIB)
        server.receive(response[:-1])
        kept += 0 if server.is_closed else len(response)
    assert kept <= 16 * MIB
    harness.advance(0.0)
    statuses = {caller.read_answer()[0] for caller in callers if caller.received}
    assert statuses == {502}
    harness.advance(1.0)  # ends the others


def test_bytes_without_a_request_close_the_connection():
    connection = HttpConnection(
        reactor=MemoryReactorClock(), on_idle=lambda _: None, on_lost=lambda _: None
    )
    transport = MemoryTransport()
    connection.makeConnection(transport)
    connection.dataReceived(PIECE)
    assert transport.aborted


def test_bytes_behind_a_response_close_the_connection():
    harness, caller, server = open_request()
    server.receive(answer("r1") + PIECE)
    harness.advance(0.0)
    assert server.is_closed
    assert caller.read_answer()[0] == 200


def test_limit_counts_anew_with_each_request():
    lost = []
    connection = HttpConnection(
        reactor=MemoryReactorClock(), on_idle=lambda _: None, on_lost=lost.append
    )
    connection.makeConnection(MemoryTransport())
    request = HttpRequest(method=b"GET", target=b"/", headers=((b"host", b"x"),))

    class Handler:
        def __init__(self):
            self.outcome = None

        def accept_head(self, status, headers):
            return True

        def handle_data(self, data):
            pass

        def complete(self, *, is_delimited):
            self.outcome = "complete"

        def fail(self, reason, *, is_connection_lost):
            self.outcome = reason

    for _ in range(8):
        handler = Handler()
        connection.send(request, handler)
        connection.dataReceived(answer("r1", b"z" * MIB))
        assert handler.outcome == "complete"


def test_endless_error_body_of_a_stream_is_cut():
    _, _, server = open_request("/stream/x", **TOKEN_COUNT_HEADER)
    server.receive(
        b"HTTP/1.1 500 No\r\nX-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    assert feed_until_closed(server, chunk(PIECE)) <= MIB


def test_endless_event_is_cut():
    _, _, server = open_request("/stream/x", **TOKEN_COUNT_HEADER)
    server.receive(stream_head("r1"))
    assert feed_until_closed(server, chunk(PIECE)) <= MIB


def test_endless_events_are_cut():
    _, _, server = open_request("/stream/x", **TOKEN_COUNT_HEADER)
    server.receive(stream_head("r1"))
    piece = chunk(b"data: " + PIECE[:50_000] + b"\n\n")
    assert feed_until_closed(server, piece, limit=64 * MIB) <= 32 * MIB


def test_caller_that_does_not_read_its_stream_is_cut():
    # Guards against what a fast server sends and its caller does not take.
    harness, caller, server = open_request("/stream/x", **TOKEN_COUNT_HEADER)
    server.receive(stream_head("r1"))
    caller.transport.stop_reading()
    number = 0
    while not caller.transport.aborted and number < 400:
        number += 1
        text = b"id: %d\ndata: %s\n\n" % (number, PIECE[:20_000])
        server.receive(chunk(text))
    harness.advance(0.01)
    assert caller.transport.aborted
    assert caller.transport.unsent_bytes <= 2 * MIB
    assert server.is_closed
