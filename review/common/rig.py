"""Stand-ins for the review's scripts: store, servers, callers, and real instances.

Standard library only. Each instance is a process of its own, started with the command
of deploy/system.toml. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVER_PORTS = (12_000, 32_000)


_taken_ports: set[int] = set()


def free_port(ip: str) -> int:
    """Return a free port below the range that the kernel gives to callers."""
    while True:
        port = random.randint(*SERVER_PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path: str):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def __call__(self, *words: object) -> None:
        at = time.monotonic() - self._start
        self._file.write(f"{at:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self._file.flush()


class Message:
    """A request or a response: first line, headers in lower case, body."""

    def __init__(self, line: str, headers: list[tuple[str, str]], body: bytes = b""):
        self.line = line
        self.items = headers
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines]
    return Message(first, headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    names = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in names.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """An HTTP/1.1 server; `handle` serves one request on a connection."""

    def __init__(self, ip: str):
        self.ip = ip
        self.address = ""
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int | None = None) -> None:
        port = port or free_port(self.ip)
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.address = f"{self.ip}:{port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, request: Message, reader, writer) -> bool:
        raise NotImplementedError


class Store(Listener):
    """The platform's store: rows with versions, a feed, transactions."""

    def __init__(self, ip: str = "127.0.0.1"):
        super().__init__(ip)
        self.version = 100
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[str, str, str | None, int]] = []
        self._changed = asyncio.Event()
        self._began = time.monotonic()

    def put(self, table: str, key: str, document) -> None:
        self.version += 1
        self._set(table, key, base64.b64encode(json.dumps(document).encode()).decode())
        self._notify()

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self._set(table, key, base64.b64encode(value).decode())
        self._notify()

    def drop(self, table: str, key: str) -> None:
        self.version += 1
        self._set(table, key, None)
        self._notify()

    def _set(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.changes.append((table, key, value, self.version))

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request: Message, reader, writer) -> bool:
        _, target, _ = request.line.split(" ")
        path, _, query = target.partition("?")
        from urllib.parse import parse_qs

        fields = {name: values[0] for name, values in parse_qs(query).items()}
        status, answer = 404, {}
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            status, answer = 200, {"rows": self._list(fields), "hasMore": False}
        elif path == "/rows-feed":
            status, answer = 200, {"rows": await self._feed(fields)}
        elif path == "/rows-tx":
            status, answer = self._transact(json.loads(request.body))
        answer["rowVersion"] = self.version
        answer["nowMs"] = int((time.monotonic() - self._began) * 1000)
        body = json.dumps(answer).encode()
        writer.write(
            encode_response(status, {"Content-Type": "application/json"}, body)
        )
        await writer.drain()
        return True

    def _describe(self, table, key, value, version) -> dict:
        row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def _list(self, fields) -> list[dict]:
        return [
            self._describe(table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == fields["tableName"] and key >= fields.get("from", "")
        ]

    async def _feed(self, fields) -> list[dict]:
        end = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        while True:
            rows = [
                self._describe(*change)
                for change in self.changes
                if change[0] == fields["tableName"] and change[3] > int(fields["after"])
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return rows
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, document) -> tuple[int, dict]:
        for row in document.get("expect", []):
            known = self.rows.get((row["tableName"], row["key"]), ("", 0))[1]
            if known != row["rowVersion"]:
                return 412, {"rows": []}
        self.version += 1
        for row in document.get("write", []):
            self._set(row["tableName"], row["key"], row["value"])
        for row in document.get("remove", []):
            self._set(row["tableName"], row["key"], None)
        self._notify()
        return 200, {}


class Server(Listener):
    """A back end: `work` answers a request; a closed channel ends its work."""

    def __init__(self, name: str, ip: str, record: Record, work):
        super().__init__(ip)
        self.name = name
        self.record = record
        self.work = work
        self.ran: list[tuple[float, Message]] = []

    async def handle(self, request: Message, reader, writer) -> bool:
        method, target, _ = request.line.split(" ")
        if target in ("/health", "/report"):
            return await self._tell(target, writer)
        if target.startswith("/kv-"):  # moves find no room; there is no handle to free
            status = 503 if target == "/kv-move" else 404
            writer.write(encode_response(status, {"X-Instance-Id": self.name}, b""))
            return True
        attempt = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            headers = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
            writer.write(encode_response(421, headers, b""))
            return True
        self.ran.append((time.monotonic(), request))
        keys = ("x-deadline-ms", "x-tenant-name", "last-event-id", "kv-from")
        extra = {key: request.headers[key] for key in keys if key in request.headers}
        self.record("server", self.name, "runs", method, target, attempt, extra)
        work = asyncio.ensure_future(self.work(self, request, writer))
        work.add_done_callback(lambda done: done.cancelled() or done.exception())
        gone = asyncio.ensure_future(_wait_for_close(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record("server", self.name, "channel closed, work dropped", attempt)
            return False
        if gone.done():
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        if work.exception() is not None:
            return False
        self.record("server", self.name, "answered", attempt)
        return work.result() is not False

    async def _tell(self, target: str, writer) -> bool:
        if target == "/health":
            writer.write(encode_response(200, {"X-Instance-Id": self.name}, b""))
            return True
        report = {
            "stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False, "sequence": 2, "queued": 0, "active": len(self.writers),
            "kvUsed": 1000, "kvTotal": 88000, "kvHandles": 0,
        }  # fmt: skip
        headers = {"X-Instance-Id": self.name, "Content-Type": "application/json"}
        writer.write(encode_response(200, headers, json.dumps(report).encode()))
        return True


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Return once the channel has ended; no byte of a next request is due."""
    with contextlib.suppress(OSError):
        await reader.read(1)


def own_headers(server: Server, request: Message) -> dict[str, str]:
    return {
        "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
        "X-Server-Stamp": f"stamp-{server.name}",
    }


def answer_after(work_s: float, body: bytes = b"done", *, linger: str = "4"):
    """Return work that answers after a time."""

    async def work(server: Server, request: Message, writer) -> None:
        await asyncio.sleep(work_s)
        headers = {**own_headers(server, request), "Keep-Alive": f"timeout={linger}"}
        writer.write(encode_response(200, headers, body))
        await writer.drain()

    return work


def stream_events(
    count: int,
    *,
    gap_s: float = 0.03,
    first_s: float = 0.1,
    pauses: dict[int, float] | None = None,
    copies: dict[str, str] | None = None,
):
    """Return work that streams events; `pauses` gives seconds before some events.

    `copies` holds the copies of runs on all engines, by their reference: the address of
    the holder and the run's id, with the model whose memory it is. A request that goes
    on from a copy streams what that memory holds; without the copy it is refused.
    """

    async def work(server: Server, request: Message, writer) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        memory = f"{attempt} {request.headers.get('x-model-name')}"
        source, holder = (
            request.headers.get("kv-from"),
            request.headers.get("x-kv-backup"),
        )
        if source is not None:
            if source not in copies:
                headers = {**own_headers(server, request), "X-Not-Executed": "1"}
                writer.write(encode_response(503, headers, b""))
                return
            memory = copies[source]
            server.record(
                "server", server.name, attempt, "goes on from memory of", memory
            )
        if holder is not None and copies is not None:
            copies[f"{holder}/{attempt}"] = memory
        await asyncio.sleep(first_s if source is None else 0.01)
        headers = {
            **own_headers(server, request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        begin = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(begin, count + 1):
            if number in (pauses or {}):
                server.record(
                    "server", server.name, "pauses", attempt, "before", number
                )
                await asyncio.sleep(pauses[number])
            event = f"id: {number}\ndata: {memory} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return work


class Instance:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, store: str, folder: pathlib.Path, **bounds):
        self.name, self.ip, self.folder = name, ip, folder
        self.process: asyncio.subprocess.Process | None = None
        self.listen = {
            kind: f"{ip}:{free_port(ip)}"
            for kind in ("frontend", "readiness", "controlPlane", "directory")
        }
        self.metrics_port = free_port(ip)
        self.store = store
        self.bounds = {**BOUNDS, **bounds}

    def write_settings(self, seeds: list[str], zone: str = "sala-a") -> None:
        settings = {
            "nodeName": self.name, "role": "node", "machineClass": "edge",
            "serves": ["edge", "control_plane", "registry"], "ip": self.ip,
            "zone": zone, "region": "baires-sur",
            "zones": {"sala-a": "baires-sur", "sala-b": "baires-sur"},
            "listen": self.listen, "internalPorts": [self.metrics_port, self.metrics_port + 15],
            "seedNodes": seeds, "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "registry",
            "heartbeatMs": 1200, "bounds": self.bounds,
            "platform": {"address": self.store, "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "transactionMs": 3.0, "historyS": 20,
                         "partitionWritesS": 300, "maxRowBytes": 65536},
        }  # fmt: skip
        self.settings_path = self.folder / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        deploy = (REPOSITORY / "deploy" / "system.toml").read_text()
        command = deploy.split('run = "', 1)[1].split('"', 1)[0].split()
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        variables["EBONYHAVEN_NODE_FILE"] = str(self.settings_path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=REPOSITORY, env=variables, stdout=log, stderr=log
            )

    def read_last_line(self) -> str:
        """Return the last line of the log, or the one that tells of a failed start."""
        lines = (self.folder / f"{self.name}.log").read_text().splitlines()
        failed = [line for line in lines if "start_failed" in line or "Error:" in line]
        return (failed or lines or [""])[-1][-300:]

    async def is_ready(self) -> bool:
        try:
            status, _ = await asyncio.wait_for(
                get(self.listen["readiness"], "/ready"), 1.0
            )
        except (TimeoutError, OSError):
            return False
        return status == 200

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


async def get(address: str, target: str) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        answer = await read_head(reader)
        if answer is None:
            return 0, b""
        length = int(answer.headers.get("content-length", 0))
        return int(answer.line.split()[1]), await reader.readexactly(length)
    finally:
        writer.close()


class Answer:
    """What a caller saw: status 0 if the channel ended without a whole answer."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.started = self.ended = 0.0

    def __str__(self) -> str:
        kind = "complete" if self.is_complete else "broken off"
        took = self.ended - self.started
        return f"status={self.status} {kind} bytes={len(self.body)} took={took:.3f}"


class Channel:
    """A caller's channel, kept for several requests one after the other."""

    def __init__(self, address: str, record: Record):
        self.address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1.0
        )

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def request(
        self,
        method: str,
        path: str,
        attempt: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 1500,
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
        on_data=None,
        patience_s: float = 30.0,
    ) -> Answer:
        """Send a request and read its answer, which may be broken off."""
        answer = Answer()
        answer.started = time.monotonic()
        fields = {"Host": HOST, "X-Attempt-Id": attempt}
        fields["X-Deadline-Ms"] = str(deadline_ms)
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        fields |= headers or {}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self._record("caller sends", method, path, attempt, "to", self.address)
        try:
            if self._writer is None:
                await self.open()
            head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
            self._writer.write(head + body)
            reading = _read_answer(self._reader, answer, on_data)
            await asyncio.wait_for(reading, patience_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self._record("caller", attempt, "failed:", type(error).__name__, error)
        answer.ended = time.monotonic()
        self._record("caller", attempt, "got", answer)
        return answer


async def send(
    address: str, method: str, path: str, attempt: str, record: Record, **options
) -> Answer:
    """Send one request on a new channel and read its answer."""
    channel = Channel(address, record)
    try:
        return await channel.request(method, path, attempt, **options)
    finally:
        channel.close()


async def _read_answer(reader, answer: Answer, on_data) -> None:
    while True:
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head.line.split()[1])
        if answer.status != 100:
            break
    answer.headers = head.headers
    if "chunked" not in head.headers.get("transfer-encoding", ""):
        length = int(head.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
        answer.is_complete = True
        return
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return
        size = int(line.strip(), 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            answer.is_complete = True
            return
        answer.body += data
        if on_data is not None:
            on_data(data)


BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "revertSlackMs": 250, "outerMs": 5000, "strictRevocation": False, "revokeMs": 5000,
    "retryBudgetRatio": 0.8, "budgetWindowS": 10, "retrySlack": 150, "recoveryS": 12,
    "deliverySlackMs": 120, "reuseWindowS": 8.2, "ttl_max_s": 5,
}  # fmt: skip

ENGINE = {
    "slots": 96, "kvCapacityTokens": 88000, "kvTokenBytes": 131072,
    "linkMbps": 550000.0, "moves": True, "backups": True, "stride": 6, "most": 12,
    "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 4.0, "models": [{"name": "m"}],
}  # fmt: skip


def make_configuration(version: int, tenants: list[dict] | None = None) -> dict:
    def route(name, prefix, kind, service, **more):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "targetLatencyMs": 150, "priority": 2, "service": service,
            "anonymous": False, "sessionAffinity": False, **more,
        }  # fmt: skip

    known = [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]
    return {
        "version": version,
        "routes": [
            route("r-once", "/once/", "non_idempotent", "app", timeoutMs=800, maxAttempts=1),
            route("r-safe", "/safe/", "idempotent", "app", timeoutMs=800, maxAttempts=2),
            route("r-fixed", "/fixed/", "streaming", "llm", timeoutMs=25000,
                  targetLatencyMs=4500, targetItlMs=700, maxAttempts=1,
                  sessionAffinity=True),
            route("r-stream", "/stream/", "streaming", "llm", timeoutMs=25000,
                  targetLatencyMs=4500, targetItlMs=700, maxAttempts=5,
                  streamResume=True, sessionAffinity=True),
        ],
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConnections": 500,
             "protocol": "h1", "tls": False, "engine": ENGINE},
            {"name": "app", "healthPath": "/health", "maxConnections": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": known if tenants is None else tenants,
    }  # fmt: skip


def make_entry(server: Server, service: str, zone: str = "sala-a", **more) -> dict:
    return {
        "service": service, "address": server.address, "zone": zone, "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1, **more,
    }  # fmt: skip


class Rig:
    """A store, servers and instances of one script."""

    def __init__(self, case: str):
        self.record = Record(str(pathlib.Path(case) / "record.txt"))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self._services: dict[str, tuple[str, dict]] = {}

    async def add_server(self, name, service, work, zone="sala-a", **more) -> Server:
        server = Server(name, f"127.0.1.{len(self.servers) + 1}", self.record, work)
        await server.listen()
        self.servers.append(server)
        self.store.put("servers", name, make_entry(server, service, zone, **more))
        self.record("server", name, "of", service, "at", server.address)
        return server

    async def start(self, count: int, configuration: dict, **bounds) -> None:
        await self.store.listen()
        self.store.put("op", "config", configuration)
        self.instances = [
            Instance(
                f"edge-{n}", f"127.0.2.{n}", self.store.address, self.folder, **bounds
            )
            for n in range(1, count + 1)
        ]
        seeds = [each.listen["controlPlane"] for each in self.instances][:3]
        for each in self.instances:
            each.write_settings(seeds)
            await each.start()

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        end = time.monotonic() + limit_s
        for each in self.instances:
            while not await each.is_ready():
                if time.monotonic() > end:
                    raise CouldNotRun(f"{each.name} did not become ready")
                if each.process.returncode is not None:
                    self.record(each.name, "ended at its start:", each.read_last_line())
                    await asyncio.sleep(0.5)
                    await each.start()
                await asyncio.sleep(0.1)
        self.record("all instances are ready")

    async def stop(self) -> None:
        for each in self.instances:
            await each.stop()
        for each in self.servers:
            each.close()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be played."""


def main(play, case: str) -> None:
    """Run `play(rig, has_trouble)`; it returns the broken promises it saw."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        rig = Rig(case)
        try:
            broken = await asyncio.wait_for(play(rig, has_trouble), 110.0)
        except Exception as error:  # whatever keeps the case from being played
            rig.record("could not run:", type(error).__name__, error)
            print(f"could not run: {type(error).__name__} {error}")
            return 2
        finally:
            await rig.stop()
        for line in broken:
            rig.record("BROKEN:", line)
            print("BROKEN:", line)
        rig.record("verdict:", "broken" if broken else "held")
        print("verdict:", "broken" if broken else "held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
