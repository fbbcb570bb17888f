"""Stand-in for one backend server of the users' pages: one process, one lifetime.

``python3 server.py SETTINGS`` with a JSON object: ``id``, ``address``, ``log``, and how
it answers (see `DEFAULTS`). Each line of the log is a JSON object.
"""

from __future__ import annotations

import json
import os
import select
import socket
import sys
import threading
import time

DEFAULTS = {
    "version": "v1",
    "slots": 64,
    "is_engine": False,
    "work_ms": 30,
    "first_ms": 300,
    "gap_ms": 40,
    "events": 130,
    "framing": "chunked",  # or "none": neither a length nor chunks, ends with the channel
    "body_parts": 1,  # in which the body of a plain answer is written
    "part_gap_ms": 0,
    "keeps_to_slots": False,  # whether requests beyond the slots wait for one
    "queue": 1_000_000,  # requests that may wait for a slot
    "brittle": None,  # refusals a second that it survives, while it is brittle
    "brittle_from": 0.0,  # times of the machine's steady clock
    "brittle_until": 0.0,
    "brittle_queue": 0,  # that may wait from `CONTACT_S` later
    "deadly_part": None,  # of prompts; requests with it crash the server
}
IDLE_S = 30.0
CONTACT_S = 3.0


class Log:
    def __init__(self, path: str, name: str):
        self._file = open(path, "a", encoding="utf-8")
        self._name = name
        self._lock = threading.Lock()

    def write(self, what: str, **fields: object) -> None:
        line = {"t": round(time.monotonic(), 4), "server": self._name, "what": what}
        with self._lock:
            self._file.write(json.dumps({**line, **fields}) + "\n")
            self._file.flush()


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def read_request(channel: socket.socket, buffer: bytearray) -> Request | None:
    """Return the next request, or None at the end of the channel."""

    def more() -> bool:
        try:
            data = channel.recv(65536)
        except OSError:
            return False
        buffer.extend(data)
        return bool(data)

    while b"\r\n\r\n" not in buffer:
        if not more():
            return None
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    del buffer[:]
    buffer.extend(rest)
    length = int(headers.get("content-length", "0"))
    while len(buffer) < length:
        if not more():
            return None
    body = bytes(buffer[:length])
    del buffer[:length]
    return Request(method, target, headers, body)


class Server:
    def __init__(self, settings: dict):
        self.settings = {**DEFAULTS, **settings}
        self.name = self.settings["id"]
        self.log = Log(self.settings["log"], self.name)
        self.active = 0
        self.waiting = 0
        self._refused: list[float] = []  # times of the last second
        self._lock = threading.Lock()
        count = self.settings["slots"] if self.settings["keeps_to_slots"] else 10_000
        self._slots = threading.Semaphore(count)

    def serve(self) -> None:
        host, _, port = self.settings["address"].rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(256)
        self.log.write("started")
        while True:
            channel, _ = listener.accept()
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel: socket.socket) -> None:
        channel.settimeout(IDLE_S)
        buffer = bytearray()
        try:
            while True:
                request = read_request(channel, buffer)
                if request is None or not self._answer(channel, request):
                    break
        except OSError:
            pass
        finally:
            channel.close()

    def _answer(self, channel: socket.socket, request: Request) -> bool:
        """Answer a request; return whether the channel stays open."""
        request_id = request.headers.get("x-attempt-id")
        if request_id is None:
            return self._answer_question(channel, request)
        self.log.write("arrived", id=request_id, target=request.target)
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return self._refuse(channel, request_id, 421)
        if "kv-from" in request.headers:  # keeps no copies
            return self._refuse(channel, request_id, 503)
        with self._lock:
            is_full = self.active + self.waiting >= (
                self.settings["slots"] + self._get_queue()
            )
            self.waiting += not is_full
        if is_full:
            self._refuse(channel, request_id, 503)
            self._count_refusal(request_id)
            return True
        self._slots.acquire()
        with self._lock:
            self.waiting -= 1
            self.active += 1
        try:
            if is_closed(channel):  # while it waited
                self.log.write("left", id=request_id, events=0)
                return False
            self.log.write("run", id=request_id, target=request.target)
            parts = request.headers.get("x-prompt-prefix", "").split(",")
            if self.settings["deadly_part"] in [each.split(":")[0] for each in parts]:
                self.log.write("crashed", id=request_id, active=self.active)
                os._exit(1)
            if "x-token-count" in request.headers:
                return self._stream(channel, request, request_id)
            return self._answer_plain(channel, request_id)
        finally:
            with self._lock:
                self.active -= 1
            self._slots.release()

    def _is_brittle(self) -> bool:
        settings = self.settings
        now = time.monotonic()
        is_now = settings["brittle_from"] <= now < settings["brittle_until"]
        return settings["brittle"] is not None and is_now

    def _get_queue(self) -> int:
        settings = self.settings
        since_s = time.monotonic() - settings["brittle_from"]
        if self._is_brittle() and since_s >= CONTACT_S:
            return settings["brittle_queue"]
        return settings["queue"]

    def _count_refusal(self, request_id: str) -> None:
        now = time.monotonic()
        with self._lock:
            self._refused = [each for each in self._refused if each > now - 1.0]
            self._refused.append(now)
            count = len(self._refused)
        if self._is_brittle() and count > self.settings["brittle"]:
            self.log.write("fell", id=request_id, refused=count, active=self.active)
            os._exit(1)

    def _list_limits(self) -> list[str]:
        brittle = self.settings["brittle"]
        return [f"Server-Brittle: {brittle}"] if self._is_brittle() else []

    def _list_headers(self, request_id: str) -> list[str]:
        return [
            *self._list_limits(),
            f"X-Attempt-Id: {request_id}",
            f"X-Server-Stamp: stamp-{self.name}-{request_id}",
            f"X-Instance-Id: {self.name}",
            f"X-Server-Load: {self.active},{self.waiting},{self.settings['slots']}",
        ]

    def _refuse(self, channel: socket.socket, request_id: str, status: int) -> bool:
        self.log.write("refused", id=request_id, status=status)
        headers = [
            f"HTTP/1.1 {status} Refused",
            f"X-Attempt-Id: {request_id}",
            "X-Not-Executed: 1",
            *self._list_limits(),
            f"X-Instance-Id: {self.name}",
            "Content-Length: 0",
        ]
        channel.sendall("\r\n".join(headers).encode() + b"\r\n\r\n")
        return True

    def _answer_plain(self, channel: socket.socket, request_id: str) -> bool:
        time.sleep(self.settings["work_ms"] / 1000)
        body = f"whole answer to {request_id}; ".encode() * 20
        headers = ["HTTP/1.1 200 OK", *self._list_headers(request_id)]
        is_framed = self.settings["framing"] != "none"
        if is_framed:
            headers += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=20"]
        else:
            headers.append("Connection: close")
        channel.sendall("\r\n".join(headers).encode() + b"\r\n\r\n")
        count = self.settings["body_parts"]
        size = -(-len(body) // count)
        for start in range(0, len(body), size):
            if start:
                time.sleep(self.settings["part_gap_ms"] / 1000)
            channel.sendall(body[start : start + size])
        self.log.write("ended", id=request_id, bytes=len(body))
        return is_framed

    def _stream(
        self, channel: socket.socket, request: Request, request_id: str
    ) -> bool:
        settings = self.settings
        position = int(request.headers.get("last-event-id") or 0)
        is_framed = settings["framing"] != "none"
        headers = ["HTTP/1.1 200 OK", *self._list_headers(request_id)]
        headers.append("Content-Type: text/event-stream")
        headers.append(
            "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        )
        time.sleep(settings["first_ms"] / 1000)
        data = "\r\n".join(headers).encode() + b"\r\n\r\n"
        for number in range(position + 1, settings["events"] + 1):
            if number > position + 1:
                time.sleep(settings["gap_ms"] / 1000)
            if is_closed(channel):
                self.log.write("left", id=request_id, events=number - 1)
                return False
            event = f"id: {number}\ndata: piece {number} {settings['version']}\n\n"
            piece = event.encode()
            data += b"%x\r\n%s\r\n" % (len(piece), piece) if is_framed else piece
            channel.sendall(data)
            self.log.write("event", id=request_id, number=number)
            data = b""
        if is_framed:
            channel.sendall(b"0\r\n\r\n")
        self.log.write("ended", id=request_id, events=settings["events"])
        return is_framed

    def _answer_question(self, channel: socket.socket, request: Request) -> bool:
        status, body = 404, b""
        if request.target == "/health":
            status = 200
        elif request.target == "/report" and self.settings["is_engine"]:
            status = 200
            report = {
                "stage": "colocated",
                "born": self.settings["born"],
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "queued": self.waiting,
                "active": self.active,
                "kvUsed": 1000 * self.active,
                "kvTotal": 88000,
                "kvHandles": 0,
                "state": "ready",
                "next": 0,
                "runs": [],
            }
            body = json.dumps(report).encode()
        elif request.target.startswith("/kv-move"):
            status = 503  # no room for copies
        headers = [
            f"HTTP/1.1 {status} Answer",
            "Content-Type: application/json",
            f"X-Instance-Id: {self.name}",
            f"Content-Length: {len(body)}",
        ]
        channel.sendall("\r\n".join(headers).encode() + b"\r\n\r\n" + body)
        return True


def is_closed(channel: socket.socket) -> bool:
    """Return whether the caller has closed the channel."""
    readable, _, _ = select.select([channel], [], [], 0)
    if not readable:
        return False
    try:
        return channel.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


if __name__ == "__main__":
    Server(json.loads(sys.argv[1])).serve()
