"""Stand-ins for backend servers of the platform, on loopback, and what they need."""

from __future__ import annotations

import attrs
from ebonyhaven_standins.cluster import allocate_address
from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread
from twisted.web import resource, server

from tests.reactor_thread import run_in_reactor

HOST = "work.example"
KEY = "k1"


def call_in_reactor(function, *arguments):
    """Call a function in the reactor thread and return its result."""

    async def do_nothing():
        return None

    run_in_reactor(do_nothing)  # starts the reactor
    return blockingCallFromThread(reactor, function, *arguments)


class BackendServerStandIn(resource.Resource):
    """Backend server that answers plain requests and streams events on demand.

    A request with the header ``X-Token-Count`` opens a stream, which the test feeds
    and closes. Any other request is answered at once.

    Attributes
    ----------
    received_headers : list of dict
        Headers of the requests received.
    open_streams : list of Request
        Open streams.
    drops_next_request : bool
        Whether the connection of the next request is aborted without a response.
    crashes_on_request : bool
        Whether the next request ends the server, which then accepts no connection.
    """

    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self, server_id):
        super().__init__()
        self.server_id = server_id
        self.received_headers: list[dict[str, str]] = []
        self.open_streams: list[server.Request] = []
        self.drops_next_request = False
        self.crashes_on_request = False
        self.port = None

    def render(self, request):
        headers = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.received_headers.append(headers)
        request.setHeader("X-Attempt-Id", headers.get("x-attempt-id", ""))
        request.setHeader("X-Server-Stamp", f"stamp-{self.server_id}")
        request.notifyFinish().addErrback(lambda _: self._forget(request))
        if self.crashes_on_request:
            self.port.stopListening()
        if self.drops_next_request or self.crashes_on_request:
            self.drops_next_request = False
            reactor.callLater(0, request.transport.abortConnection)
            return server.NOT_DONE_YET
        if "x-token-count" not in headers:
            return b"answer of " + self.server_id.encode()
        request.setHeader("Content-Type", "text/event-stream")
        self.open_streams.append(request)
        return server.NOT_DONE_YET

    def send_events(self, first, last):
        for number in range(first, last + 1):
            self.open_streams[-1].write(
                f"id: {number}\ndata: piece {number}\n\n".encode()
            )

    def finish(self):
        self.open_streams.pop().finish()

    def abort_stream(self):
        self.open_streams.pop().transport.abortConnection()

    def _forget(self, request):
        if request in self.open_streams:
            self.open_streams.remove(request)


@attrs.define
class ListeningStandIn:
    """A stand-in with its listening port."""

    stand_in: resource.Resource
    address: str
    port: object

    def stop(self):
        call_in_reactor(self.port.stopListening)


def listen(stand_in) -> ListeningStandIn:
    address = allocate_address()
    host, _, port = address.rpartition(":")
    site = server.Site(stand_in)
    listening_port = call_in_reactor(
        lambda: reactor.listenTCP(int(port), site, interface=host)
    )
    stand_in.port = listening_port
    return ListeningStandIn(stand_in, address, listening_port)


def make_configuration(version=1, routes=("once", "stream")):
    available_routes = {
        "once": {
            "name": "once",
            "host": HOST,
            "pathPrefix": "/once/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "maxAttempts": 1,
            "service": "plain",
        },
        "stream": {
            "name": "stream",
            "host": HOST,
            "pathPrefix": "/stream/",
            "kind": "streaming",
            "timeoutMs": 25000,
            "targetLatencyMs": 4500,
            "targetItlMs": 700,
            "maxAttempts": 5,
            "streamResume": True,
            "service": "engines",
        },
    }
    available_routes["fixed"] = {
        **available_routes["stream"],
        "name": "fixed",
        "pathPrefix": "/fixed/",
        "maxAttempts": 1,
        "streamResume": False,
    }
    engine = {"slots": 8, "kvCapacityTokens": 88000, "backups": True}
    return {
        "version": version,
        "routes": [available_routes[name] for name in routes],
        "services": [
            {"name": "plain", "maxConnections": 100},
            {"name": "engines", "maxConnections": 100, "engine": engine},
        ],
        "limits": {},
        "tenants": [{"name": "studio-a", "apiKeys": [KEY]}],
    }


def make_entry(service, address, data_centre="dc-a"):
    return {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1000,
    }
