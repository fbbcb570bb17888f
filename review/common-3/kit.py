"""Stand-ins for scripts of this review: store, servers, callers, and instances.

Everything listens on loopback addresses. The stand-ins run in the process of the
script; the instances are processes of the program of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DISTURBED = os.environ.get("TROUBLE", "1") != "0"
HOST = "work.example"
KEY = "key-1"
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def find_free_address(host: str = "127.0.0.1") -> str:
    """Return an address that no process listens at."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Record:
    """What was sent, answered and run; written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, *parts: object) -> None:
        """Add a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._lines.append(f"{elapsed_s:8.3f} " + " ".join(map(str, parts)))

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: list[tuple[str, str]]):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = {name.lower(): value for name, value in headers}
        self.body = b""

    @property
    def id(self) -> str:
        """Id of the attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    fields = [line.partition(":")[::2] for line in lines if line]
    return first, [(name, value.strip()) for name, value in fields]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request, whose body has a length or chunks."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    request = Request(method, target, headers)
    if "chunked" in request.headers.get("transfer-encoding", ""):
        request.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(request.headers.get("content-length", "0"))
        request.body = await reader.readexactly(length)
    return request


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raise if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Listener:
    """Accepts connections at an address, and can end like a killed process."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str) -> None:
        """Start to accept connections."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._handle, host, port, reuse_address=True, limit=1 << 20
        )

    async def end(self) -> None:
        """Stop to listen and close all connections."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _handle(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store: rows with versions, a feed, transactions.

    While `is_down`, each call is answered with 503 and nothing is done.
    """

    def __init__(self, record: Record):
        super().__init__()
        self.address = find_free_address()
        self.is_down = False
        self.era = 1
        self.version = 10
        self._record = record
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._changes: list[tuple[str, str, str | None, int]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: object | None) -> None:
        """Write a row, or remove it if the document is None."""
        self.version += 1
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self._rows[table, key] = (value, self.version)
        elif self._rows.pop((table, key), None) is None:
            return
        self._changes.append((table, key, value, self.version))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put_if_up(self, table: str, key: str, document: object | None) -> bool:
        """Write a row as a server does; return False while the store is down."""
        if self.is_down:
            return False
        self.put(table, key, document)
        return True

    async def serve(self, reader, writer) -> None:
        """See `Listener.serve`."""
        while True:
            request = await read_request(reader)
            status, document = 503, {}
            if not self.is_down:
                status, document = await self._answer(request)
            if self.is_down:
                status, document = 503, {}
            headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            body = json.dumps(document).encode()
            writer.write(encode_answer(status, headers, body))
            await writer.drain()

    async def _answer(self, request: Request) -> tuple[int, dict]:
        if request.path == "/rows-get":
            return 200, self._describe_table(request)
        if request.path == "/rows-feed":
            return await self._follow(request)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _describe_table(self, request: Request) -> dict:
        table = request.query["tableName"]
        start = request.query.get("from", "")
        rows = [
            self._describe(name, key, value, version)
            for (name, key), (value, version) in sorted(self._rows.items())
            if name == table and key >= start
        ]
        return self._wrap(rows)

    async def _follow(self, request: Request) -> tuple[int, dict]:
        table, after = request.query["tableName"], int(request.query["after"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                self._describe(*change)
                for change in self._changes
                if change[0] == table and change[3] > after
            ]
            remaining_s = until - time.monotonic()
            if rows or remaining_s <= 0 or self.is_down:
                return 200, self._wrap(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(remaining_s, 0.1))

    def _transact(self, body: dict) -> tuple[int, dict]:
        for each in body.get("expect", ()):
            held = self._rows.get((each["tableName"], each["key"]))
            if (held[1] if held else 0) != each["rowVersion"]:
                return 412, self._wrap([])
        for row in body.get("write", ()):
            content = json.loads(base64.b64decode(row["value"]))
            self.put(row["tableName"], row["key"], content)
        for row in body.get("remove", ()):
            self.put(row["tableName"], row["key"], None)
        return 200, self._wrap([])

    def _describe(self, table, key, value, version) -> dict:
        row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def _wrap(self, rows: list) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": now_ms,
        }


class Server(Listener):
    """One process of a backend server, which registers itself in the store.

    Each stream sends ``events`` events, one each ``gap_s``; each call is answered
    after ``work_s``. Subclasses change `answer`.
    """

    def __init__(
        self,
        server_id: str,
        *,
        store: Store,
        record: Record,
        service: str,
        zone: str = "dc-a",
        version: str = "v1",
        address: str | None = None,
        slots: int = 16,
    ):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.version = version
        self.address = address or find_free_address()
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_s = 0.02
        self.events = 40
        self.gap_s = 0.1
        self.running = 0
        self.runs: list[tuple[str, float]] = []  # ids of requests that it ran
        self.reaches_store = True
        self.store = store
        self.record = record
        self._sequence = 0
        self._written_at = 0.0
        self._beat_task: asyncio.Task | None = None

    @property
    def name(self) -> str:
        """Identifies the process in the record."""
        return f"{self.server_id}({self.version}, born {self.born})"

    async def start(self) -> Server:
        """Listen and register."""
        await self.listen(self.address)
        self.record.add("server starts", self.name, self.address)
        self._write_entry()
        self._beat_task = asyncio.create_task(self._beat())
        return self

    async def crash(self) -> None:
        """End like a killed process; its entry lapses."""
        self.record.add("server crashes", self.name)
        if self._beat_task is not None:
            self._beat_task.cancel()
        await self.end()

    def restart(self, version: str | None = None) -> Server:
        """Return the next process under the same id and address."""
        return type(self)(
            self.server_id,
            store=self.store,
            record=self.record,
            service=self.service,
            zone=self.zone,
            version=version or self.version,
            address=self.address,
            slots=self.slots,
        )

    def lapse(self) -> None:
        """Remove the entry, as the platform does after three missed heartbeats."""
        self.store.put_if_up("servers", self.server_id, None)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.reaches_store:
            self.store.put_if_up("servers", self.server_id, entry)

    # -- requests ----------------------------------------------------------

    async def serve(self, reader, writer) -> None:
        """See `Listener.serve`."""
        while True:
            request = await read_request(reader)
            if request.path == "/report":
                self._send_report(writer)
            elif request.path == "/health":
                headers = {"X-Instance-Id": self.server_id}
                writer.write(encode_answer(200, headers, b""))
            elif not request.id:
                writer.write(encode_answer(400, {"X-Not-Executed": "1"}, b""))
            elif request.headers.get("x-expect-instance") != self.server_id:
                self.record.add("refused with 421 by", self.name, request.id)
                self.refuse(writer, request, 421)
            else:
                await self.answer(request, reader, writer)
            await writer.drain()

    def refuse(self, writer, request: Request, status: int, **headers: str) -> None:
        """Answer that the request was not run."""
        fields = {"X-Attempt-Id": request.id, "X-Not-Executed": "1"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        writer.write(encode_answer(status, fields, b""))

    def make_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that was run."""
        load = f"{self.running},0,{self.slots}"
        return {
            "X-Attempt-Id": request.id,
            "X-Server-Stamp": f"{self.server_id}.{self.version}.{self.born}",
            "X-Server-Load": load,
        }

    def add_run(self, request: Request) -> None:
        """Record that the server begins to run a request."""
        self.runs.append((request.id, time.monotonic()))
        position = request.headers.get("last-event-id", "-")
        self.record.add("run of", request.id, "at", self.name, "after event", position)

    async def answer(self, request: Request, reader, writer) -> None:
        """Run a request and answer it."""
        self.running += 1
        self.add_run(request)
        try:
            if "x-token-count" in request.headers:
                await self.stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"answer to {request.id}".encode()
                writer.write(encode_answer(200, self.make_headers(request), body))
        finally:
            self.running -= 1

    def count_events(self, request: Request) -> int:
        """Return how many events the stream of a request has."""
        return self.events

    async def stream(self, request: Request, writer) -> None:
        """Send a stream, from the event after the last one received."""
        first = int(request.headers.get("last-event-id") or 0) + 1
        headers = {
            **self.make_headers(request),
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        await asyncio.sleep(self.work_s)
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(first, self.count_events(request) + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")

    def _send_report(self, writer) -> None:
        report = {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self._sequence,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 88000,
            "kvHandles": 0,
            "state": self.state,
            "runs": [],
            "born": self.born,
        }
        headers = {"Content-Type": "application/json"}
        writer.write(encode_answer(200, headers, json.dumps(report).encode()))


class Instance:
    """A process of the program of the deploy file."""

    def __init__(
        self,
        name: str,
        store_address: str,
        *,
        seeds: tuple[str, ...] = (),
        zone: str = "dc-a",
    ):
        self.name = name
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.addresses = {
            kind: find_free_address()
            for kind in ("frontend", "readiness", "controlPlane", "directory")
        }
        metrics_port = split_address(find_free_address())[1]
        bounds = {
            "contactMs": 3000,
            "drainMs": 2000,
            "graceS": 8,
            "configApplyMs": 2000,
            "retryBudgetRatio": 0.8,
            "budgetWindowS": 10,
            "retrySlack": 150,
            "recoveryS": 12,
            "ttl_max_s": 5,
        }
        self.settings = {
            "nodeName": name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r1",
            "zones": {"dc-a": "r1", "dc-b": "r1", "dc-c": "r1"},
            "listen": self.addresses,
            "internalPorts": [metrics_port, metrics_port],
            "seedNodes": [self.addresses["controlPlane"], *seeds],
            "bootstrap": True,
            "bounds": bounds,
            "platform": {"address": store_address, "form": "table"},
        }
        self.process: subprocess.Popen | None = None
        self._log = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.directory / "node.json"
        path.write_text(json.dumps(self.settings))
        self._log = (self.directory / "log").open("ab")
        self.process = subprocess.Popen(
            [os.environ.get("REVIEW_PYTHON", "python3"), "-m", "ebonyhaven_adapter"],
            cwd=ROOT,
            env={
                **{k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ},
                "EBONYHAVEN_NODE_FILE": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and remove its files."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
            self._log.close()
        if "KEEP" in os.environ:
            print(f"{self.name}: {self.directory / 'log'}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def read_log(self) -> list[dict]:
        """Return the lines of the log."""
        text = (self.directory / "log").read_text(errors="replace")
        return [json.loads(each) for each in text.splitlines() if each[:1] == "{"]

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                address = split_address(self.addresses["readiness"])
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first + " ":
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")


class Answer:
    """What a caller got to one attempt."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers and versions of the whole events of a stream."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            fields = dict(
                line.split(": ", 1) for line in event.decode().splitlines() if line
            )
            found.append((int(fields["id"]), fields["data"].split()[0]))
        return found


class Connection:
    """A caller's connection to an instance."""

    def __init__(self, address: str, record: Record):
        self._address = split_address(address)
        self._record = record
        self.reader = self.writer = None

    async def send(
        self,
        request_id: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        deadline_ms: int = 25000,
        key: str | None = KEY,
        **headers: str,
    ) -> Answer:
        """Send one request and return its answer, which may be broken off."""
        answer = Answer(request_id)
        fields = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
        }
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"{name}: {value}" for name, value in fields.items()]
        self._record.add("sent", request_id, method, path)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    *self._address, limit=1 << 20
                )
            first_line = f"{method} {path} HTTP/1.1"
            self.writer.write("\r\n".join([first_line, *lines, "", ""]).encode() + body)
            await self._read(answer)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._record.add("broken off", request_id, repr(error))
            self.close()
        events = answer.events if "x-token-count" in map(str.lower, fields) else []
        self._record.add(
            "answered",
            request_id,
            answer.status,
            "whole" if answer.is_whole else "not whole",
            f"{len(events)} events" if events else answer.body[:80],
        )
        return answer

    async def _read(self, answer: Answer) -> None:
        first, headers = await read_head(self.reader)
        answer.status = int(first.split(" ")[1])
        answer.headers = {name.lower(): value for name, value in headers}
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)
        answer.is_whole = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def make_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with calls and streams."""
    streams = {
        "name": "draft",
        "host": HOST,
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "timeoutMs": 25000,
        "targetLatencyMs": 4500,
        "targetItlMs": 700,
        "priority": 1,
        "maxAttempts": 5,
        "streamResume": True,
        "service": "engines",
        "sessionAffinity": True,
    }
    lookups = {
        "name": "lookup",
        "host": HOST,
        "pathPrefix": "/lookup/",
        "kind": "idempotent",
        "timeoutMs": 800,
        "targetLatencyMs": 150,
        "priority": 2,
        "maxAttempts": 2,
        "service": "plain",
    }
    orders = {
        **lookups,
        "name": "order",
        "pathPrefix": "/order/",
        "kind": "non_idempotent",
        "maxAttempts": 1,
    }
    engine = {"slots": 16, "kvCapacityTokens": 88000}
    return {
        "version": version,
        "routes": [streams, lookups, orders],
        "services": [
            {"name": "engines", "maxConnections": 500, "engine": engine},
            {"name": "plain", "maxConnections": 110, "healthPath": "/health"},
        ],
        "limits": {},
        "tenants": [{"name": "office", "apiKeys": [KEY]}],
        **changes,
    }


class Deployment:
    """Store and instances of one script."""

    def __init__(self, record: Record, instances: int = 3):
        self.record = record
        self.store = Store(record)
        self.instances: list[Instance] = []
        zones = ("dc-a", "dc-b", "dc-c")
        for number in range(instances):
            seeds = tuple(each.addresses["controlPlane"] for each in self.instances[:2])
            zone = zones[number % len(zones)]
            instance = Instance(
                f"n{number + 1}", self.store.address, seeds=seeds, zone=zone
            )
            self.instances.append(instance)

    async def start(self, configuration: dict | None = None) -> None:
        """Start all, and wait until the instances know each other."""
        await self.store.listen(self.store.address)
        self.store.put("op", "config", configuration or make_configuration())
        for each in self.instances:
            each.start()
        for each in self.instances:
            await each.wait_ready()
        await asyncio.sleep(3.0)  # `contactMs`

    def connect(self, number: int = 0) -> Connection:
        """Return a new connection of a caller to an instance."""
        return Connection(self.instances[number].addresses["frontend"], self.record)

    async def end(self) -> None:
        """End all processes."""
        for each in self.instances:
            each.end()
        await self.store.end()


def run(folder: str, play, instances: int = 3) -> None:
    """Play a script and exit with its result.

    `play` is a coroutine function of a `Deployment`, which returns what broke the
    rule, as text; an empty text if the rule was held.
    """
    record = Record(pathlib.Path(folder))

    async def main() -> int:
        deployment = Deployment(record, instances)
        try:
            problem = await asyncio.wait_for(play(deployment), 110.0)
        finally:
            await deployment.end()
        record.add("rule broken:" if problem else "rule held", problem)
        print("rule broken: " + problem if problem else "rule held")
        return BROKEN if problem else HELD

    try:
        result = asyncio.run(main())
    except Exception as error:
        record.add("could not run:", repr(error))
        print("could not run:", repr(error))
        result = COULD_NOT_RUN
    finally:
        record.write()
    sys.exit(result)
