"""Responses without a length whose connection is reset, on real sockets."""

from __future__ import annotations

import contextlib
import select
import socket
import struct

from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._http_client import HttpRequest, ResponseHandler
from twisted.internet.epollreactor import EPollReactor

from tests.waiting import wait_until

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PART = b"id: 1\ndata: a\n\n"
UPLOAD_BYTES = 32 * 1024 * 1024  # more than the buffers of both ends take
TURN_S = 0.01


class RecordingHandler(ResponseHandler):
    """Records the body and how the response ended."""

    def __init__(self):
        self.body = b""
        self.end = None

    def accept_head(self, status, headers):
        return True

    def handle_data(self, data):
        self.body += data

    def complete(self, *, is_delimited):
        self.end = "complete"

    def fail(self, reason, *, is_connection_lost):
        self.end = "lost" if is_connection_lost else "malformed"


class Exchange:
    """A request over a real connection, whose server end the test plays itself."""

    def __init__(self, body=b""):
        self.reactor = EPollReactor()
        self.handler = RecordingHandler()
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        pool = ConnectionPool(self.reactor)
        opened = []
        pool.connect(f"{host}:{port}", on_connected=opened.append, on_failed=print)
        self.turn_until(lambda: opened)
        (self.connection,) = opened
        self.server, _ = self._listener.accept()
        request = HttpRequest(
            method=b"POST", target=b"/", headers=((b"host", b"x"),), body=body
        )
        self.connection.send(request, self.handler)
        if len(body) < UPLOAD_BYTES:
            self.read(len(body))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.connection.abort()
        self.turn(5)
        self.server.close()
        self._listener.close()
        self.reactor.removeAll()
        for delayed in self.reactor.getDelayedCalls():
            delayed.cancel()

    def turn(self, count=1):
        for _ in range(count):
            self.reactor.iterate(TURN_S)

    def turn_until(self, condition):
        def look():
            self.turn()
            return condition()

        wait_until(look)

    def read(self, size):
        """Read a request with a body of some bytes."""
        self.server.setblocking(False)
        received = b""
        while True:
            self.turn()
            with contextlib.suppress(BlockingIOError):
                received += self.server.recv(1 << 20)
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator and len(body) == size:
                return

    def answer(self):
        """Send the head and a part of the body, and wait for it to arrive."""
        self.server.setblocking(True)
        self.server.sendall(HEAD + PART)
        self.turn_until(lambda: self.handler.body == PART)

    def reset(self):
        """Reset the connection."""
        linger = struct.pack("ii", 1, 0)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.server.close()


def test_a_hang_up_with_a_pending_reset_is_no_end():
    # Guards against a reset that the reactor reports as closed in good order, when an
    # event has the hang-up alone.
    with Exchange() as exchange:
        exchange.answer()
        exchange.reset()
        transport = exchange.connection.transport
        descriptor = transport.fileno()
        exchange.reactor._doReadOrWrite(transport, descriptor, select.EPOLLHUP)
        exchange.turn(5)
        assert exchange.handler.end == "lost"


def test_a_reset_is_no_end():
    with Exchange() as exchange:
        exchange.answer()
        exchange.reset()
        exchange.turn_until(lambda: exchange.handler.end)
        assert exchange.handler.end == "lost"


def test_an_orderly_end_is_complete_at_once():
    with Exchange(b"x" * 1000) as exchange:
        exchange.answer()
        exchange.server.close()
        exchange.turn_until(lambda: exchange.handler.end)
        assert exchange.handler.end == "complete"
        assert exchange.handler.body == PART
        exchange.turn(5)
        assert exchange.connection.is_closed


def test_a_server_that_ends_its_side_and_resets_an_unfinished_upload_has_not_ended():
    # Guards against a part of an answer that is taken for the whole one: a server
    # answers early, ends its side, and is reset with the rest of the upload unread.
    with Exchange(b"x" * UPLOAD_BYTES) as exchange:
        exchange.answer()
        exchange.server.shutdown(socket.SHUT_WR)
        exchange.turn(20)
        assert exchange.handler.end is None
        exchange.reset()
        exchange.turn_until(lambda: exchange.handler.end)
        assert exchange.handler.end == "lost"


def test_a_reset_shortly_after_the_end_of_an_early_answer_is_noticed():
    # The rest of the upload is in the buffers of the server when it goes.
    with Exchange(b"x" * UPLOAD_BYTES) as exchange:
        exchange.answer()
        exchange.server.shutdown(socket.SHUT_WR)
        read_rest(exchange, leave=1000)
        assert exchange.handler.end is None
        exchange.server.close()  # which resets, as not all was read
        exchange.turn_until(lambda: exchange.handler.end)
        assert exchange.handler.end == "lost"


def test_an_early_answer_is_complete_once_the_server_has_the_whole_upload():
    with Exchange(b"x" * UPLOAD_BYTES) as exchange:
        exchange.answer()
        exchange.server.shutdown(socket.SHUT_WR)
        read_rest(exchange, leave=0)
        exchange.server.close()
        exchange.turn_until(lambda: exchange.handler.end)
        assert exchange.handler.end == "complete"


def test_an_idle_connection_that_the_server_ends_is_closed():
    with Exchange() as exchange:
        content = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"
        )
        exchange.server.setblocking(True)
        exchange.server.sendall(content)
        exchange.turn_until(lambda: exchange.handler.end)
        assert not exchange.connection.is_closed
        exchange.server.close()
        exchange.turn_until(lambda: exchange.connection.is_closed)
        exchange.turn(5)
        assert not exchange.connection.transport.connected


def read_rest(exchange, *, leave):
    """Read the upload but for some bytes at its end."""
    server = exchange.server
    server.setblocking(False)
    received = b""
    while b"\r\n\r\n" not in received:
        received += server.recv(1000)
    left = UPLOAD_BYTES - len(received.partition(b"\r\n\r\n")[2]) - leave
    while left:
        exchange.turn()
        with contextlib.suppress(BlockingIOError):
            left -= len(server.recv(left))
