"""Stand-ins for the store and backend servers of the platform, on loopback."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs
from ebonyhaven_standins.cluster import allocate_address
from twisted.internet import reactor
from twisted.internet.threads import blockingCallFromThread
from twisted.web import resource, server

from tests.reactor_thread import run_in_reactor
from tests.waiting import wait_until

HOST = "work.example"
KEY = "k1"


def call_in_reactor(function, *arguments):
    """Call a function in the reactor thread and return its result."""

    async def do_nothing():
        return None

    run_in_reactor(do_nothing)  # starts the reactor
    return blockingCallFromThread(reactor, function, *arguments)


class StoreStandIn(resource.Resource):
    """In-memory store with versioned rows and a change feed.

    It responds with status 503 while ``is_down`` is set, and holds back the answers to
    polls that wait for changes while ``holds_polls`` is. `forget_history` has it answer
    410 to those that follow an older version. `restore` brings back an older
    copy, as after the loss of the latest writes.
    """

    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self):
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[str, str, str | None, int]] = []
        self.version = 10
        self._oldest_version = 0
        self.is_down = False
        self.holds_polls = False
        self.era = 1
        self._pending_polls: list[tuple[server.Request, str, int]] = []

    def put(self, table: str, key: str, document) -> None:
        content = None if document is None else json.dumps(document).encode()
        self.put_bytes(table, key, content)

    def put_bytes(self, table: str, key: str, content: bytes | None) -> None:
        """Write a row of any content, or remove it."""
        self.version += 1
        value = None
        if content is None:
            self.rows.pop((table, key), None)
        else:
            value = base64.b64encode(content).decode()
            self.rows[table, key] = (value, self.version)
        self.changes.append((table, key, value, self.version))
        if self.holds_polls:
            return
        polls, self._pending_polls = self._pending_polls, []
        for request, name, after in polls:
            self._answer_feed(request, name, after)

    def forget_history(self) -> None:
        """Drop the changes up to now."""
        self._oldest_version = self.version
        self.changes.clear()

    def take_copy(self):
        """Return a copy for `restore`."""
        return dict(self.rows), list(self.changes), self.version

    def restore(self, copy) -> None:
        """Lose all writes since the copy was taken; polls in progress are answered."""
        rows, changes, self.version = copy
        self.rows, self.changes = dict(rows), list(changes)
        self.era += 1
        polls, self._pending_polls = self._pending_polls, []
        for request, name, after in polls:
            self._set_era(request)
            if after > self.version:
                request.setResponseCode(410)
                request.finish()
            else:
                self._answer_feed(request, name, after)

    def _set_era(self, request):
        request.setHeader("Store-Era", str(self.era))

    def render(self, request):
        self._set_era(request)
        if self.is_down:
            request.setResponseCode(503)
            return b"{}"
        call = request.path.decode().strip("/")
        return getattr(self, f"_{call.replace('-', '_')}")(request)

    def _rows_get(self, request):
        table = request.args[b"tableName"][0].decode()
        rows = [
            self._describe(table, key, value, version)
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table
        ]
        return self._encode(rows)

    def _rows_feed(self, request):
        table = request.args[b"tableName"][0].decode()
        after = int(request.args[b"after"][0])
        if after > self.version or after < self._oldest_version:
            request.setResponseCode(410)
            return b"{}"
        wait_s = int(request.args[b"waitMs"][0]) / 1000
        is_held = self.holds_polls and wait_s > 0.0
        has_changes = any(
            change[0] == table and change[3] > after for change in self.changes
        )
        if has_changes and not is_held:
            return self._encode(self._list_changes(table, after))
        entry = (request, table, after)
        self._pending_polls.append(entry)
        reactor.callLater(wait_s, self._expire, entry)
        return server.NOT_DONE_YET

    def _rows_tx(self, request):
        for row in json.loads(request.content.read())["write"]:
            content = json.loads(base64.b64decode(row["value"]))
            self.put(row["tableName"], row["key"], content)
        return self._encode([])

    def _expire(self, entry):
        if entry in self._pending_polls and not self.holds_polls:
            self._pending_polls.remove(entry)
            self._answer_feed(*entry)

    def _answer_feed(self, request, table, after):
        if not request._disconnected:
            request.write(self._encode(self._list_changes(table, after)))
            request.finish()

    def _list_changes(self, table, after):
        return [
            self._describe(table, key, value, version)
            for name, key, value, version in self.changes
            if name == table and version > after
        ]

    def _describe(self, table, key, value, version):
        row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def _encode(self, rows):
        body = {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": int(reactor.seconds() * 1000),
        }
        return json.dumps(body).encode()


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


class NodeProcess:
    """Process that runs the program with its settings file and log file."""

    def __init__(self, store_address, **changes):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-"))
        self.addresses = {
            name: allocate_address()
            for name in ("frontend", "readiness", "controlPlane", "directory")
        }
        self.metrics_address = allocate_address()
        host, _, port = self.metrics_address.rpartition(":")
        settings = {
            "nodeName": "n1",
            "zone": "dc-a",
            "region": "r1",
            "ip": host,
            "listen": self.addresses,
            "internalPorts": [int(port), int(port)],
            "seedNodes": [],
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "retrySlack": 150,
                "ttl_max_s": 5,
            },
            "platform": {"address": store_address},
            **changes,
        }
        self.settings_path = self.directory / "node.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = self.directory / "n1.log"
        self._log = self.log_path.open("wb")
        self.process = self._start()

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", "ebonyhaven_adapter"],
            env={**os.environ, "EBONYHAVEN_NODE_FILE": str(self.settings_path)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def read_log(self) -> list[dict]:
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def find_lines(self, event, **fields) -> list[dict]:
        return [
            line
            for line in self.read_log()
            if line.get("event") == event
            and all(line.get(name) == value for name, value in fields.items())
        ]

    def wait_for_line(self, event, **fields) -> dict:
        wait_until(lambda: self.find_lines(event, **fields))
        return self.find_lines(event, **fields)[0]

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(30)
        self._log.close()


class StartingNodeProcess(NodeProcess):
    """Process that reads its settings from a pipe, and waits for them."""

    def _start(self) -> subprocess.Popen:
        self._settings = self.settings_path.read_bytes()
        self.settings_path.unlink()
        os.mkfifo(self.settings_path)
        return super()._start()

    def open_settings(self) -> int:
        """Return the writing end of the pipe once the process waits for it."""
        descriptors = []

        def is_open() -> bool:
            with contextlib.suppress(OSError):
                flags = os.O_WRONLY | os.O_NONBLOCK
                descriptors.append(os.open(self.settings_path, flags))
            return bool(descriptors)

        wait_until(is_open)
        return descriptors[0]

    def write_settings(self, descriptor: int) -> None:
        """Give the process its settings; the same are in the file from then on."""
        replacement = self.settings_path.with_suffix(".new")
        replacement.write_bytes(self._settings)
        replacement.replace(self.settings_path)
        os.write(descriptor, self._settings)
        os.close(descriptor)
