"""Endless responses to the HTTP agents."""

from __future__ import annotations

import contextlib

import treq
from ebonyhaven_store import make_agent, read_body
from twisted.internet import defer, reactor, task
from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import HTTPConnectionPool

from tests.reactor_thread import run_in_reactor

MIB = 1024 * 1024
LIMIT_BYTES = 4 * MIB
PIECE = b"x" * 65536
TIMEOUT_S = 20.0


class EndlessServer(Protocol):
    """Answers each request with a start, and then with a piece again and again."""

    start = b""
    piece = PIECE
    sent_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.transport.write(self.start)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802 Twisted API
        type(self).sent_bytes += len(self.piece)
        self.transport.write(self.piece)

    def stopProducing(self) -> None:  # noqa: N802 Twisted API
        pass


def read_endless(start: bytes, piece: bytes = PIECE) -> tuple[object, int]:
    """Read an endless response; return the result and the bytes that were sent."""
    kind = type("Server", (EndlessServer,), {"start": start, "piece": piece})

    async def read():
        port = reactor.listenTCP(0, Factory.forProtocol(kind), interface="127.0.0.1")
        agent = make_agent(
            reactor, connect_timeout_s=1.0, max_response_bytes=LIMIT_BYTES
        )
        client = treq.client.HTTPClient(agent)
        url = f"http://127.0.0.1:{port.getHost().port}/"
        result = None
        with contextlib.suppress(Exception):
            call = client.get(url)
            call.addTimeout(TIMEOUT_S, reactor)
            response = await call
            body = read_body(response)
            body.addTimeout(TIMEOUT_S, reactor)
            result = await body
        await task.deferLater(reactor, 0.1)
        await defer.maybeDeferred(port.stopListening)
        return result

    return run_in_reactor(read), kind.sent_bytes


def test_endless_body_is_cut():
    for framing in (b"Content-Length: 1000000000\r\n", b""):
        result, sent = read_endless(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n")
        assert result is None
        assert sent <= 4 * LIMIT_BYTES  # with what the connection held on its way


def test_endless_head_is_cut():
    for start, piece in (
        (b"HTTP/1.1 200 OK\r\n", b"X-Name: value\r\n" * 1000),
        (b"", PIECE),
    ):
        result, sent = read_endless(start, piece)
        assert result is None
        assert sent <= 4 * LIMIT_BYTES


def test_limit_counts_anew_with_each_request():
    class Server(Protocol):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MIB
            self.transport.write(head + b"y" * MIB)

    async def read():
        port = reactor.listenTCP(0, Factory.forProtocol(Server), interface="127.0.0.1")
        pool = HTTPConnectionPool(reactor)
        agent = make_agent(
            reactor,
            connect_timeout_s=1.0,
            pool=pool,
            max_response_bytes=LIMIT_BYTES,
        )
        client = treq.client.HTTPClient(agent)
        sizes = []
        for _ in range(8):
            response = await client.get(f"http://127.0.0.1:{port.getHost().port}/")
            sizes.append(len(await read_body(response)))
        await pool.closeCachedConnections()
        await defer.maybeDeferred(port.stopListening)
        return sizes

    assert run_in_reactor(read) == [MIB] * 8
