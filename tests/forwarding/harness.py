"""Harness with one instance, in-memory connections and a simulated clock."""

from __future__ import annotations

import random

import h11
from ebonyhaven_adapter._headers import PlatformBackendDialect, PlatformCallerDialect
from ebonyhaven_decisions.forwarding import (
    BackendEntry,
    BackendState,
    EngineTraits,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    ServiceShare,
    Workspace,
    group_routes,
)
from ebonyhaven_node.forwarding import Gateway, GatewayBuilders
from ebonyhaven_standins.memory_connections import (
    MemoryServerConnection,
    MemoryTransport,
    make_gateway_settings,
)
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionRefusedError,
)
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from tests.forwarding.fakes import (
    FakeCopier,
    FakeLossStore,
    FakeMembership,
    FakeRecordStore,
    FakeVersionStore,
    FixedInspector,
    StaticStateSource,
)

HOST = "work.example"
KEY = "secret-key"
END_CHECK_S = 0.1  # until it is known whether a server has ended with its response
STAMP = "stamp-1"
STEP_S = 0.005


def decode_headers(request: h11.Request) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in request.headers}


def answer(request_id, body=b"ok", status=200, **headers) -> bytes:
    """Return an encoded, complete response of a server."""
    fields = {
        "X-Attempt-Id": request_id,
        "X-Server-Stamp": STAMP,
        "Content-Length": str(len(body)),
        "Keep-Alive": "timeout=30",
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def refusal(request_id, status=503, **headers) -> bytes:
    """Return an encoded response that proves that the request was not run."""
    return answer(
        request_id, b"", status, X_Server_Stamp=None, X_Not_Executed="1", **headers
    )


def stream_head(request_id, stamp=STAMP, **headers) -> bytes:
    more = [f"{name.replace('_', '-')}: {each}\r\n" for name, each in headers.items()]
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Attempt-Id: {request_id}\r\n"
        f"X-Server-Stamp: {stamp}\r\n"
        f"{''.join(more)}"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


STREAM_END = b"0\r\n\r\n"


def encode_request(path, request_id="r1", method="POST", body=b"{}", **headers):
    """Return an encoded request of a caller; empty headers are left out."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "25000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
    }
    fields.update({name.replace("_", "-"): each for name, each in headers.items()})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {each}" for name, each in fields.items() if each]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Caller:
    """Connection of a caller."""

    def __init__(self, harness, protocol):
        self.harness = harness
        self.protocol = protocol
        self.transport = MemoryTransport()
        protocol.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.protocol.dataReceived(data)
        self.harness.advance(0.0)

    def request(self, path, request_id="r1", **options):
        """Send a request, see `encode_request`."""
        self.send(encode_request(path, request_id, **options))

    def disconnect(self) -> None:
        self.protocol.connectionLost(Failure(ConnectionDone()))
        self.harness.advance(0.0)

    @property
    def received(self) -> bytes:
        return self.transport.value()

    def read_answer(self) -> tuple[int, dict[str, str], bytes, bool]:
        """Return status, headers, body so far, and whether the response is complete."""
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        codec.send(h11.EndOfMessage())
        codec.receive_data(self.received)
        status, headers, body = 0, {}, b""
        while True:
            each = codec.next_event()
            if isinstance(each, h11.Response):
                status, headers = each.status_code, decode_headers(each)
            elif isinstance(each, h11.Data):
                body += bytes(each.data)
            elif isinstance(each, h11.EndOfMessage):
                return status, headers, body, True
            else:
                return status, headers, body, False


def make_route(name, kind, **options) -> Route:
    values = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 0.8,
        "target_latency_s": 0.2,
        "target_gap_s": 0.0,
        "priority": 1,
        "shares": (ServiceShare("plain", 1.0),),
        "max_attempts": 2,
        "is_anonymous": False,
        "is_resumable": False,
    }
    values.update(options)
    return Route(**values)


def make_configuration(version=1, routes=None) -> RoutingConfiguration:
    stream = {
        "shares": (ServiceShare("engines", 1.0),),
        "timeout_s": 25.0,
        "target_latency_s": 4.5,
        "target_gap_s": 0.7,
        "max_attempts": 5,
    }
    routes = routes or [
        make_route("once", RequestKind.NON_IDEMPOTENT, max_attempts=1),
        make_route("repeat", RequestKind.IDEMPOTENT),
        make_route("stream", RequestKind.STREAM, is_resumable=True, **stream),
        make_route("fixed", RequestKind.STREAM, **stream),
        make_route("open", RequestKind.IDEMPOTENT, is_anonymous=True),
    ]
    return RoutingConfiguration(
        version=version,
        routes=group_routes(routes),
        services={
            "plain": Service("plain", 100, None),
            "engines": Service(
                "engines", 100, EngineTraits(64, 88000, True, True, 4.0)
            ),
        },
        workspaces={KEY: Workspace("studio-a", None)},
        requires_keys=True,
        limits=RequestLimits(),
    )


def make_entry(server_id, service="plain", data_centre="dc-a", **options):
    number = int(server_id.rpartition("-")[2])
    port = (8000 if service == "plain" else 9000) + number
    values = {
        "server_id": server_id,
        "started_ms": 1,
        "service": service,
        "address": f"10.0.0.{number}:{port}",
        "data_centre": data_centre,
        "slots": 6,
        "state": BackendState.READY,
        "software_version": "v1",
    }
    values.update(options)
    return BackendEntry(**values)


class ForwardingHarness:
    """An instance with simulated callers and backend servers.

    Parameters
    ----------
    configuration : RoutingConfiguration, False or None
        The usual one for None, none for False.
    plain, engines : int
        Numbers of servers.
    versions : tuple of str
        Software versions of the engines, in turn.
    knows_past : bool
        Whether the store tells which versions were in use before.

    Attributes
    ----------
    refused : set of str
        Addresses that refuse connections.
    silent : set of str
        Addresses at which connection attempts time out.
    is_accepting : bool
        Whether connection attempts proceed; otherwise they wait.
    connections : list of MemoryServerConnection
        Connections accepted by servers.
    """

    def __init__(
        self,
        configuration=None,
        plain=3,
        engines=3,
        versions=("v1",),
        knows_past=True,
    ):
        self.reactor = MemoryReactorClock()
        self.source = StaticStateSource()
        self.copier = FakeCopier()
        self.record_store = FakeRecordStore()
        self.loss_store = FakeLossStore()
        self.version_store = FakeVersionStore()
        self.version_store.is_down = not knows_past
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.inspector = FixedInspector(self.reactor, self.silent)
        self.is_accepting = True
        self._accepted_count = 0
        self.connections: list[MemoryServerConnection] = []
        self.gateway = Gateway(
            settings=make_gateway_settings("dc-a"),
            reactor=self.reactor,
            builders=GatewayBuilders(
                caller_dialect=PlatformCallerDialect(),
                backend_dialect=PlatformBackendDialect(),
                build_source=lambda state, pool: self.source,
                build_inspector=lambda pool: self.inspector,
                build_copier=lambda pool: self.copier,
                build_record_store=lambda pool: self.record_store,
                build_loss_store=lambda pool: self.loss_store,
                build_version_store=lambda pool: self.version_store,
            ),
            rng=random.Random(7),
            clock=self.reactor.seconds,
        )
        self.state = self.gateway.state
        self.reactor.advance(100.0)
        if configuration is not False:
            self.state.apply_configuration(configuration or make_configuration())
        entries = [make_entry(f"p-{number}") for number in range(plain)]
        entries += [
            make_entry(
                f"e-{number}",
                "engines",
                f"dc-{'abc'[number % 3]}",
                software_version=versions[number % len(versions)],
            )
            for number in range(engines)
        ]
        self.state.replace_backends({each.server_id: each for each in entries})
        self.gateway._version_recorder.start(lambda: True)
        self.gateway.watch_servers()

    def leave(self, membership=None, asked_at=None) -> Deferred:
        """Begin the graceful shutdown of the instance."""
        self.gateway.membership = membership or FakeMembership()
        return ensureDeferred(self.gateway.leave(asked_at))

    def open_caller(self) -> Caller:
        return Caller(self, self.gateway.server.buildProtocol(None))

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of `STEP_S`; servers accept connections."""
        self._accept()
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            remaining_s = end - self.reactor.seconds()
            self.reactor.advance(min(STEP_S, remaining_s))
            self._accept()

    def _accept(self) -> None:
        while self.is_accepting and self._accepted_count < len(self.reactor.tcpClients):
            number = self._accepted_count
            host, port, factory, _, _ = self.reactor.tcpClients[number]
            self._accepted_count += 1
            address = f"{host}:{port}"
            if address in self.refused:
                failure = Failure(ConnectionRefusedError("refused"))
                factory.clientConnectionFailed(None, failure)
            elif address not in self.silent:
                protocol = factory.buildProtocol(None)
                self.connections.append(MemoryServerConnection(address, protocol))

    def take_request(self) -> tuple[MemoryServerConnection, h11.Request, bytes]:
        """Return the only pending request and the connection that received it."""
        waiting = [each for each in self.connections if each.has_request()]
        assert len(waiting) == 1, [each.address for each in waiting]
        head, body = waiting[0].read_request()
        return waiting[0], head, body

    def count_waiting(self) -> int:
        """Return the number of connections with a request that no test has read."""
        return sum(each.has_request() for each in self.connections)

    def unlist(self, address: str) -> None:
        """Remove the server at an address from the list."""
        self.state.replace_backends(
            {
                each.server_id: each.entry
                for each in self.state.backends
                if each.entry.address != address
            }
        )

    def find_address(self, server_id: str) -> str:
        return self.state.backends.find(server_id).entry.address
