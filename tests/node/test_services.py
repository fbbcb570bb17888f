from __future__ import annotations

import contextlib
import io
import types

from ebonyhaven_decisions import PoolKind
from ebonyhaven_node._services import ServiceRelay
from twisted.internet import defer, reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.web.test.requesthelper import DummyRequest

from tests.reactor_thread import run_in_reactor


class ClosingService(Protocol):
    """Sends a part of an answer without a length and closes the connection."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.transport.write(b"HTTP/1.1 200 OK\r\n\r\nthe first half")
        self.transport.loseConnection()


class FakeServer:
    name = "s-1"
    in_flight = 0

    def __init__(self, address):
        self.address = address

    def accepts_work(self, now):
        return True

    def record_unreachable(self, now):
        pass

    def record_answer(self):
        pass


def make_relay(server) -> ServiceRelay:
    pool = types.SimpleNamespace(name="p", kind=PoolKind.SERVICE, service="desk")
    declaration = types.SimpleNamespace(pools={"p": pool})
    return ServiceRelay(
        configuration=types.SimpleNamespace(require=lambda: declaration),
        servers=types.SimpleNamespace(list_in_pools=lambda pools: [server]),
        scheduling=types.SimpleNamespace(
            adopt=lambda server: types.SimpleNamespace(release=lambda: None)
        ),
        reactor=reactor,
    )


def make_request() -> DummyRequest:
    request = DummyRequest([b"x"])
    request.method, request.uri = b"POST", b"/x"
    request.content = io.BytesIO(b"{}")
    return request


def test_answer_without_a_length_that_ends_with_its_connection_is_unknown():
    # Guards against a part of an answer that is returned as the whole.
    async def check():
        port = reactor.listenTCP(
            0, Factory.forProtocol(ClosingService), interface="127.0.0.1"
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(
                lambda: _await(defer.maybeDeferred(port.stopListening))
            )
            server = FakeServer(f"127.0.0.1:{port.getHost().port}")
            request = make_request()
            await make_relay(server).relay(request, "desk", "x")
        assert request.responseCode == 502
        assert b"the first half" not in b"".join(request.written)

    run_in_reactor(check)


async def _await(deferred) -> None:
    await deferred
