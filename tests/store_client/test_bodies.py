from __future__ import annotations

import contextlib

import treq
from ebonyhaven_store import PlatformTransport, Unavailable, make_agent, read_body
from twisted.internet import defer, reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.web.http import PotentialDataLoss

from tests.reactor_thread import run_in_reactor

PART = b"the first half"


class ClosingServer(Protocol):
    """Sends a part of a response and closes the connection."""

    head = b"HTTP/1.1 200 OK\r\n\r\n"

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.transport.write(self.head + PART)
        self.transport.loseConnection()


class CountingServer(ClosingServer):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(PART)}\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def listen(protocol):
    port = reactor.listenTCP(0, Factory.forProtocol(protocol), interface="127.0.0.1")
    try:
        yield f"127.0.0.1:{port.getHost().port}"
    finally:
        await defer.maybeDeferred(port.stopListening)


async def fetch_body(address: str) -> bytes:
    client = treq.client.HTTPClient(make_agent(reactor, connect_timeout_s=5.0))
    return await read_body(await client.get(f"http://{address}/x"))


def test_body_without_a_length_that_ends_with_its_connection_is_incomplete():
    # Guards against a part of a body that is taken for the whole.
    async def check():
        async with listen(ClosingServer) as address:
            try:
                await fetch_body(address)
            except PotentialDataLoss:
                return
            raise AssertionError("the part was taken for the whole body")

    run_in_reactor(check)


def test_body_with_a_length_is_read_whole():
    async def check():
        async with listen(CountingServer) as address:
            assert await fetch_body(address) == PART

    run_in_reactor(check)


def test_platform_response_without_a_length_is_unavailable():
    async def check():
        async with listen(ClosingServer) as address:
            transport = PlatformTransport(reactor, address, timeout_s=5.0)
            try:
                await transport.exchange("GET", "/objects/o", step="objects.read")
            except Unavailable as error:
                assert "PotentialDataLoss" in error.reason
            else:
                raise AssertionError("the part was taken for the whole body")
            finally:
                await transport.close()

    run_in_reactor(check)
