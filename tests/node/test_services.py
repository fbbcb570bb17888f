from __future__ import annotations

import contextlib
import io
import time
import types

from ebonyhaven_decisions import PoolKind
from ebonyhaven_decisions.forwarding import ServerLimiter
from ebonyhaven_node._service_crashes import ServiceCrashes, compute_content
from ebonyhaven_node._services import MAX_BUFFERED_RESPONSE_BYTES, ServiceRelay
from twisted.internet import defer, reactor, task
from twisted.internet.protocol import Factory, Protocol
from twisted.web.test.requesthelper import DummyRequest

from tests.reactor_thread import run_in_reactor

CHECK_DEADLINE_S = 10.0
CHECK_POLL_S = 0.01


class ClosingService(Protocol):
    """Sends a part of an answer without a length and closes the connection."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.transport.write(b"HTTP/1.1 200 OK\r\n\r\nthe first half")
        self.transport.loseConnection()


class FakeServer:
    name = "s-1"
    identity = "1"
    data_centre = "dc-a"
    in_flight = 0

    is_lost = leaving = False

    def __init__(self, address):
        self.address = address
        self.limiter = ServerLimiter()

    def record_limits(self, limits):
        pass

    def record_rest(self, rest_s, now):
        pass

    def accepts_work(self, now):
        return not self.is_lost

    def record_unreachable(self, now):
        self.is_lost = True

    def record_answer(self):
        pass


def make_relay(*servers, crashes=None) -> ServiceRelay:
    pool = types.SimpleNamespace(name="p", kind=PoolKind.SERVICE, service="desk")
    declaration = types.SimpleNamespace(pools={"p": pool})
    return ServiceRelay(
        configuration=types.SimpleNamespace(require=lambda: declaration),
        servers=types.SimpleNamespace(list_in_pools=lambda pools: servers),
        scheduling=types.SimpleNamespace(
            adopt=lambda server: types.SimpleNamespace(release=lambda: None)
        ),
        crashes=crashes or ServiceCrashes(reactor),
        reactor=reactor,
    )


async def wait_for_crashes(crashes: ServiceCrashes, content: str, count: int) -> None:
    """Wait until that many losses of servers were checked and count as crashes."""
    deadline = reactor.seconds() + CHECK_DEADLINE_S
    while crashes._history.count_crashes(content, time.monotonic()) < count:
        assert reactor.seconds() < deadline, "the losses were not counted"
        await task.deferLater(reactor, CHECK_POLL_S)


def make_request(method=b"POST", repeatable=None) -> DummyRequest:
    request = DummyRequest([b"x"])
    request.method, request.uri = method, b"/x"
    if repeatable is not None:
        request.requestHeaders.setRawHeaders("Ebonyhaven-Repeatable", [repeatable])
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


class CrashingService(Protocol):
    """Ends its server at the content ``x``, and answers all others."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.factory.calls.append(data)
        if not data.startswith(b"GET /x "):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        self.factory.port.stopListening()
        self.transport.abortConnection()


def start_crashing_service(name, calls) -> FakeServer:
    factory = Factory.forProtocol(CrashingService)
    factory.calls = calls
    factory.port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    server = FakeServer(f"127.0.0.1:{factory.port.getHost().port}")
    server.name, server.data_centre, server.identity = name, "dc-a", "1"
    server.leaving, server.port = False, factory.port
    return server


def test_call_that_crashes_servers_is_not_sent_to_a_fourth():
    # Guards against calls that crash one server of their service after the other.
    async def check():
        calls = []
        servers = [start_crashing_service(f"s-{each}", calls) for each in range(6)]
        relay = make_relay(*servers)
        codes = []
        for _ in range(3):
            request = make_request(b"GET")
            await relay.relay(request, "desk", "x")
            codes.append(request.responseCode)
        assert len(calls) == 3
        assert codes[1:] == [422, 422]
        request = make_request(b"GET")
        await relay.relay(request, "desk", "other")
        assert request.responseCode == 200
        for server in servers:
            await defer.maybeDeferred(server.port.stopListening)

    run_in_reactor(check)


def test_call_that_must_not_be_repeated_is_held_responsible_as_well():
    async def check():
        calls = []
        servers = [start_crashing_service(f"s-{each}", calls) for each in range(6)]
        crashes = ServiceCrashes(reactor)
        relay = make_relay(*servers, crashes=crashes)
        content = compute_content(b"GET", "desk", "x", b"{}")
        for count in range(1, 4):
            request = make_request(b"GET", repeatable="no")
            await relay.relay(request, "desk", "x")
            assert request.responseCode == 502
            await wait_for_crashes(crashes, content, count)
        request = make_request(b"GET", repeatable="no")
        await relay.relay(request, "desk", "x")
        assert request.responseCode == 422
        assert len(calls) == 3
        for server in servers:
            await defer.maybeDeferred(server.port.stopListening)

    run_in_reactor(check)


async def _await(deferred) -> None:
    await deferred


class LongService(Protocol):
    """Sends a long body whose end does not come."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n")
        self.transport.write(b"x" * 3_000_000)


def test_bodies_of_all_calls_together_are_bounded():
    async def check():
        factory = Factory.forProtocol(LongService)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        server = FakeServer(f"127.0.0.1:{port.getHost().port}")
        relay = make_relay(server)
        server.accepts_work = lambda now: True
        requests = [make_request() for _ in range(4)]
        calls = [
            defer.ensureDeferred(relay.relay(each, "desk", "x")) for each in requests
        ]
        while not any(each.responseCode for each in requests):
            await task.deferLater(reactor, 0.01)
        assert relay._response_bytes.used_bytes <= MAX_BUFFERED_RESPONSE_BYTES
        assert {each.responseCode for each in requests} <= {None, 502}
        for call in calls:
            call.addErrback(lambda _: None)
            call.cancel()
        await defer.maybeDeferred(port.stopListening)

    run_in_reactor(check)
