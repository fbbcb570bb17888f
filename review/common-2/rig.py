"""Stand-ins of the platform and of callers, and processes of the program, on loopback.

The store keeps to the users' PROTOCOL page as far as the program uses it. The program
runs as `deploy/system.toml` starts it, with settings like those of a small deployment.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import pathlib
import queue
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = "work.example"
HEARTBEAT_S = 1.2
_allocated: set[int] = set()
# As on the sheet of ferias-sts.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "revertSlackMs": 250,
    "outerMs": 5000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.8,
    "budgetWindowS": 10,
    "retrySlack": 150,
    "recoveryS": 12,
    "deliverySlackMs": 120,
    "reuseWindowS": 8.2,
    "ttl_max_s": 5,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE = {
    "slots": 96,
    "kvCapacityTokens": 88000,
    "kvTokenBytes": 131072,
    "linkMbps": 550000.0,
    "moves": True,
    "backups": True,
    "stride": 6,
    "most": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handleTtlS": 4.0,
    "models": [{"name": "m"}],
}


def allocate_address(host: str = "127.0.0.1") -> str:
    """Return a free address whose port no outgoing connection takes meanwhile."""
    first = 18_000 + 200 * (os.getpid() % 70)  # apart from a case that runs beside it
    while True:
        port = first + random.randrange(200)
        if port in _allocated:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            _allocated.add(port)
            return f"{host}:{port}"


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_: object) -> None:
        """A caller that was killed has reset its channel."""


class Store:
    """The platform's store: tables with versions, a feed of changes, one counter."""

    def __init__(self) -> None:
        self.address = allocate_address()
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._changes: list[tuple[str, str, str | None, int]] = []
        self._version = 10
        self._changed = threading.Condition()
        self.is_down = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                pass

            def do_GET(self) -> None:
                self._handle(b"")

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length", "0"))
                self._handle(self.rfile.read(length))

            def _handle(self, body: bytes) -> None:
                status, document = store.answer(self.path, body)
                content = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(content)}\r\n\r\n"
                )
                with contextlib.suppress(OSError):
                    self.wfile.write(head.encode() + content)

        host, _, port = self.address.rpartition(":")
        self._http = _QuietServer((host, int(port)), Handler)
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row, or remove it if the document is None."""
        with self._changed:
            value = None
            if document is not None:
                value = base64.b64encode(json.dumps(document).encode()).decode()
            self._write(table, key, value)

    def _write(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self._version)
        self._changes.append((table, key, value, self._version))
        self._changed.notify_all()

    def answer(self, path: str, body: bytes) -> tuple[int, object]:
        if self.is_down:
            return 503, {}
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/rows-get":
            return self._get(query)
        if parts.path == "/rows-feed":
            return self._feed(query)
        if parts.path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> tuple[int, object]:
        with self._changed:
            rows = [
                _describe(table, key, value, version)
                for (table, key), (value, version) in sorted(self._rows.items())
                if table == query["tableName"]
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            ]
            limit = min(500, int(query.get("limit", "500")))
            return 200, self._encode(rows[:limit], len(rows) > limit)

    def _feed(self, query: dict[str, str]) -> tuple[int, object]:
        table, after = query["tableName"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with self._changed:
            if after > self._version:
                return 410, {}
            while True:
                rows = [
                    _describe(*change)
                    for change in self._changes
                    if change[0] == table and change[3] > after
                ]
                left_s = end - time.monotonic()
                if rows or left_s <= 0:
                    return 200, self._encode(rows, False)
                self._changed.wait(left_s)

    def _transact(self, call: dict) -> tuple[int, object]:
        with self._changed:
            for row in call.get("expect", []):
                held = self._rows.get((row["tableName"], row["key"]))
                if (held[1] if held else 0) != row["rowVersion"]:
                    rows = [
                        _describe(each["tableName"], each["key"], *found)
                        for each in call["expect"]
                        if (found := self._rows.get((each["tableName"], each["key"])))
                    ]
                    return 412, self._encode(rows, False)
            for row in call.get("write", []):
                self._write(row["tableName"], row["key"], row["value"])
            for row in call.get("remove", []):
                self._write(row["tableName"], row["key"], None)
            return 200, self._encode([], False)

    def _encode(self, rows: list, has_more: bool) -> dict:
        return {
            "rows": rows,
            "hasMore": has_more,
            "rowVersion": self._version,
            "nowMs": int(time.monotonic() * 1000),
        }


def _describe(table: str, key: str, value: str | None, version: int) -> dict:
    row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
    return {**row, "deleted": True} if value is None else {**row, "value": value}


class Node:
    """One machine of the program."""

    def __init__(self, name: str, zone: str, rig: Rig):
        self.name = name
        self.zone = zone
        self._rig = rig
        kinds = ("frontend", "readiness", "controlPlane", "directory")
        self.listen = {kind: allocate_address() for kind in kinds}
        self._internal = allocate_address()
        self.process: subprocess.Popen | None = None
        self.log_path = rig.folder / f"{name}.log"

    @property
    def address(self) -> str:
        return self.listen["frontend"]

    def write_settings(self, seeds: list[str]) -> None:
        host, _, port = self._internal.rpartition(":")
        settings = {
            "nodeName": self.name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge", "control_plane", "registry"],
            "ip": host,
            "zone": self.zone,
            "region": "r1",
            "zones": {zone: "r1" for zone in self._rig.zones},
            "listen": self.listen,
            "internalPorts": [int(port), int(port)],
            "seedNodes": seeds,
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "registry",
            "heartbeatMs": int(1000 * HEARTBEAT_S),
            "bounds": {**BOUNDS, **self._rig.bounds},
            "platform": {
                "address": self._rig.store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "maxRowBytes": 65536,
                "crossPartition": True,
                "historyS": 20,
            },
        }
        self._settings = self._rig.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        variables["EBONYHAVEN_NODE_FILE"] = str(self._settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "ebonyhaven_adapter"],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        try:
            status, *_ = call(
                self.listen["readiness"], "GET", "/ready", {}, timeout_s=1.0
            )
        except OSError:
            return False
        return status == 200

    def read_log(self) -> list[dict]:
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class ServerProcess:
    """One lifetime of a backend server, in a process of its own."""

    def __init__(self, rig: Rig, service: str, zone: str, settings: dict):
        self._rig = rig
        self.born = int(time.time() * 1000)
        self.name = settings.get("id") or f"i-{secrets.token_hex(5)}"
        self.service = service
        self.zone = zone
        self.address = settings.get("address") or allocate_address()
        self.settings = {
            **settings,
            "id": self.name,
            "born": self.born,
            "address": self.address,
            "log": str(rig.folder / "servers.log"),
        }
        self.version = settings.get("version", "v1")
        self.is_listed = False
        self.is_replaced = False
        self.state = "ready"
        self._sequence = 0
        self.process = subprocess.Popen(
            [sys.executable, str(HERE / "server.py"), json.dumps(self.settings)],
            stdin=subprocess.DEVNULL,
        )

    def beat(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.settings.get("slots", 64),
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        self._rig.store.put("servers", self.name, entry)
        self.is_listed = True

    def unlist(self) -> None:
        self.is_listed = False
        self._rig.store.put("servers", self.name, None)

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)

    def is_running(self) -> bool:
        return self.process.poll() is None


class Rig:
    """A small deployment; use it as a context manager."""

    def __init__(self, *, zones: tuple[str, ...] = ("z-a", "z-b", "z-c"), bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-review-"))
        self.zones = zones
        self.bounds = bounds or {}
        self.store = Store()
        self.nodes: list[Node] = []
        self.servers: list[ServerProcess] = []
        self._is_stopped = False
        self._watcher: threading.Thread | None = None

    def __enter__(self) -> Rig:
        threading.Thread(target=self._beat, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped = True
        if self._watcher is not None:
            self._watcher.join(12)  # it may be starting a server
        for each in self.nodes:
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
        for server in self.servers:
            if server.is_running():
                server.process.send_signal(signal.SIGCONT)
                server.kill()
        for each in [*self.nodes, *self.servers]:
            if each.process is not None:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    each.process.wait(5)
        if "KEEP" in os.environ:
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _beat(self) -> None:
        """Write the entries of servers that run again, as they would themselves.

        An entry whose server is silent is removed after three intervals.
        """
        silent: dict[str, int] = {}
        while not self._is_stopped:
            time.sleep(HEARTBEAT_S)
            for server in list(self.servers):
                if not server.is_listed:
                    continue
                if server.is_running():
                    server.beat()
                    continue
                silent[server.name] = silent.get(server.name, 0) + 1
                if silent[server.name] >= 3:
                    server.unlist()

    def add_server(
        self,
        service: str,
        zone: str,
        *,
        listed_after_s: float = 0.0,
        **settings: object,
    ) -> ServerProcess:
        """Start a server, which writes its entry once it accepts channels."""
        server = ServerProcess(self, service, zone, settings)
        self.servers.append(server)
        wait_until(lambda: can_connect(server.address), 10.0)
        time.sleep(listed_after_s)
        server.beat()
        return server

    def restart_crashed(self, after_s: float) -> None:
        """Start each server that ends again, as a new lifetime at the same address."""

        def watch() -> None:
            due: dict[str, float] = {}
            while not self._is_stopped:
                time.sleep(0.05)
                for server in list(self.servers):
                    if server.is_running() or server.is_replaced:
                        continue
                    now = time.monotonic()
                    if now < due.setdefault(server.name, now + after_s):
                        continue
                    server.is_replaced = True
                    settings = {k: v for k, v in server.settings.items() if k != "id"}
                    with contextlib.suppress(CannotRun):
                        self.add_server(server.service, server.zone, **settings)

        self._watcher = threading.Thread(target=watch, daemon=True)
        self._watcher.start()

    def configure(
        self, routes: list, services: list, *, version: int = 1, **more
    ) -> None:
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
            "tenants": [{"name": "tenant-a", "apiKeys": ["key-a"]}],
            **more,
        }
        self.store.put("op", "config", document)

    def start_nodes(self, count: int) -> None:
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            self.nodes.append(Node(f"edge-{zone}-{number + 1}", zone, self))
        seeds = [each.listen["controlPlane"] for each in self.nodes[:3]]
        for node in self.nodes:
            node.write_settings(seeds)
            node.start()
        wait_until(self._are_ready, 30.0)

    def _are_ready(self) -> bool:
        """Return whether all machines are, and start again those that ended."""
        for node in self.nodes:
            if node.process.poll() is not None:
                time.sleep(1.0)
                node.start()
        return all(each.is_ready() for each in self.nodes)

    def read_servers(self) -> list[dict]:
        path = self.folder / "servers.log"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line]


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    is_stream = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 25000 if is_stream else 800,
        "targetLatencyMs": 4500 if is_stream else 150,
        "priority": 1 if is_stream else 2,
        "service": service,
        "maxAttempts": 5 if is_stream else (2 if kind == "idempotent" else 1),
        "anonymous": False,
        **(
            {"targetItlMs": 700, "streamResume": True, "sessionAffinity": True}
            if is_stream
            else {}
        ),
        **more,
    }


def service(name: str, *, engine: dict | None = None) -> dict:
    found = {"name": name, "healthPath": "/health", "maxConnections": 500}
    return {**found, "engine": engine} if engine else found


def can_connect(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True


def wait_until(condition, timeout_s: float) -> None:
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun("a process was not ready in time")
        time.sleep(0.05)


class CannotRun(Exception):
    """The case could not run."""


class Answer:
    """What a caller received for one request."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.node: str | None = None
        self.sent_at = 0.0
        self.first_at: float | None = None
        self.ended_at = 0.0
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False  # by the framing of the answer

    @property
    def events(self) -> list[int]:
        """Ids of the whole events received, in order."""
        found = []
        text = self.body.decode("latin-1")
        for event in text.split("\n\n")[:-1]:
            for line in event.split("\n"):
                if line.startswith("id:"):
                    found.append(int(line[3:]))
        return found


class Caller:
    """One channel of a caller, for one request."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._channel = socket.create_connection((host, int(port)), timeout=1.0)
        self._channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(
        self, answer: Answer, data: bytes, timeout_s: float, on_data=lambda _: None
    ) -> Answer:
        self._channel.settimeout(timeout_s)
        answer.sent_at = time.monotonic()
        try:
            self._channel.sendall(data)
            self._read(answer, on_data)
        except OSError:
            pass
        finally:
            answer.ended_at = time.monotonic()
            self._channel.close()
        return answer

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._channel.shutdown(socket.SHUT_RDWR)

    def _read(self, answer: Answer, on_data) -> None:
        buffer = bytearray()

        def more() -> bool:
            data = self._channel.recv(65536)
            buffer.extend(data)
            return bool(data)

        def take(count: int) -> bytes | None:
            while len(buffer) < count:
                if not more():
                    return None
            taken = bytes(buffer[:count])
            del buffer[:count]
            return taken

        def take_line() -> bytes | None:
            while b"\r\n" not in buffer:
                if not more():
                    return None
            line, _, _ = bytes(buffer).partition(b"\r\n")
            del buffer[: len(line) + 2]
            return line

        lines = []
        while True:
            line = take_line()
            if line is None:
                return
            if not line:
                if lines and lines[0].split()[1].startswith(b"1"):
                    lines = []
                    continue
                break
            lines.append(line)
        answer.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                line = take_line()
                if line is None:
                    return
                size = int(line.split(b";")[0], 16)
                chunk = take(size + 2)
                if chunk is None:
                    return
                if not size:
                    answer.is_whole = True
                    return
                if answer.first_at is None:
                    answer.first_at = time.monotonic()
                answer.body += chunk[:-2]
                on_data(answer)
        elif "content-length" in answer.headers:
            body = take(int(answer.headers["content-length"]))
            answer.is_whole = body is not None
            answer.body = body if body is not None else bytes(buffer)
        else:
            while more():
                pass
            answer.body, answer.is_whole = bytes(buffer), True


def encode(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    *,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int | None, dict[str, str], bytes, bool]:
    answer = Answer("")
    caller = Caller(address)
    caller.exchange(
        answer, encode(method, path, {"Host": HOST, **headers}, body), timeout_s
    )
    return answer.status, answer.headers, answer.body, answer.is_whole


def make_headers(request_id: str, timeout_ms: int, **more: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(timeout_ms),
        "Authorization": "Bearer key-a",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def send(
    address: str,
    path: str,
    *,
    method: str = "POST",
    timeout_ms: int = 25000,
    body: bytes = b"{}",
    on_data=lambda _: None,
    request_id: str | None = None,
    **headers: str,
) -> Answer:
    """Send one request on a new channel, and wait for the end of its answer."""
    answer = Answer(request_id or secrets.token_hex(8))
    answer.sent_at = time.monotonic()
    try:
        caller = Caller(address)
    except OSError:
        answer.ended_at = time.monotonic()
        return answer
    data = encode(
        method, path, make_headers(answer.request_id, timeout_ms, **headers), body
    )
    return caller.exchange(answer, data, timeout_ms / 1000 + 0.5, on_data)


def start(function, *arguments, **named) -> queue.Queue:
    """Run a function in a thread; its result is put into the queue that is returned."""
    results: queue.Queue = queue.Queue()

    def run() -> None:
        results.put(function(*arguments, **named))

    threading.Thread(target=run, daemon=True).start()
    return results


class Record:
    """`record.txt` beside a script: what was sent, answered and run."""

    def __init__(self, folder: str):
        self._path = pathlib.Path(folder) / "record.txt"
        self._path.write_text("")
        self._began_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        t = (time.monotonic() if at is None else at) - self._began_at
        line = f"{t:8.3f} s  {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")
        print(line, flush=True)


def run_case(play) -> None:
    """Run a case, and exit as the issue says: 1 broken, 0 held, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # all processes are ended
    try:
        is_broken = play(has_trouble)
    except CannotRun as error:
        print("could not run:", error)
        sys.exit(2)
    except Exception as error:  # the stand-ins failed, not the program
        print("could not run:", repr(error))
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
