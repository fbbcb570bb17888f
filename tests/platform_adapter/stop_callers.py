"""Callers of a real instance that is being stopped, each on connections it keeps."""

from __future__ import annotations

import abc
import contextlib
import socket
import threading
import time
from typing import NamedTuple

import h11

from tests.platform_adapter.stand_ins import HOST, KEY

TIMEOUT_S = 20.0
PAUSE_S = 0.02
READ_BYTES = 65536
REQUESTS_AHEAD = 4
BODY = b"x" * 2000


class Answer(NamedTuple):
    """How a request ended.

    Parameters
    ----------
    request_id : str
    sent_at, ended_at : float
        Seconds of the monotonic clock; `sent_at` is that of its last byte.
    status : int or None
        None without a whole answer.
    was_read : bool
        Whether the instance answered another request that was sent together with it.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int | None
    was_read: bool = False


class _Connection:
    """Connection on which requests may be sent before the answers to earlier ones."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), TIMEOUT_S)
        self._codec = h11.Connection(h11.CLIENT)
        self.is_closed = False

    def send(self, data):
        self._socket.sendall(data)

    def read_status(self):
        """Return the status of the next whole answer, or None if there is none."""
        status = None
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            status = self._read_status()
        if status is None:
            self.close()
        return status

    def _read_status(self):
        self._codec.send(h11.Request(method="POST", target="/", headers=[("host", "")]))
        self._codec.send(h11.EndOfMessage())
        status = None
        while True:
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                self._codec.receive_data(self._socket.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                self._prepare_next()
                return status
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _prepare_next(self):
        if self._codec.their_state is h11.DONE:
            self._codec.start_next_cycle()
        else:
            self.close()

    def close(self):
        self.is_closed = True
        self._socket.close()


def encode_request(path, request_id, body=b"{}", **headers) -> bytes:
    """Return the bytes of a request."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "20000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): each for name, each in headers.items()},
    }
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {each}" for name, each in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StopCaller(abc.ABC):
    """Asks one instance in a thread of its own, until that accepts no connection.

    Attributes
    ----------
    answers : list of Answer
        Of all requests that were sent whole.
    """

    def __init__(self, name, address):
        self._name = name
        self._address = address
        self._count = 0
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answers: list[Answer] = []

    def start(self):
        self._thread.start()

    def stop(self):
        """Let the caller end after the requests in progress."""
        self._is_over.set()

    def wait(self):
        self._thread.join(TIMEOUT_S)

    def _run(self):
        while not self._is_over.is_set():
            with contextlib.suppress(OSError):
                connection = _Connection(self._address)
                while not connection.is_closed and not self._is_over.is_set():
                    self.ask(connection)
                    time.sleep(PAUSE_S)
            time.sleep(PAUSE_S)

    def make_request(self, path="/once/x", body=b"{}", **headers) -> tuple[str, bytes]:
        """Return the id and the bytes of the next request."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        return request_id, encode_request(path, request_id, body, **headers)

    def read_answer(self, connection, request_id, sent_at, *, was_read=False):
        """Wait for the end of a request that was sent, note and return it."""
        status = None if connection.is_closed else connection.read_status()
        answer = Answer(request_id, sent_at, time.monotonic(), status, was_read)
        self.answers.append(answer)
        return answer

    @abc.abstractmethod
    def ask(self, connection):
        """Send requests on a connection, and read the answers to them."""


class KeepingCaller(StopCaller):
    """Sends one request after the other."""

    def ask(self, connection):
        request_id, request = self.make_request()
        connection.send(request)
        self.read_answer(connection, request_id, time.monotonic())


class AheadCaller(StopCaller):
    """Sends several requests at once."""

    def ask(self, connection):
        requests = [self.make_request() for _ in range(REQUESTS_AHEAD)]
        connection.send(b"".join(request for _, request in requests))
        sent_at = time.monotonic()
        was_read = False
        for request_id, _ in requests:
            answer = self.read_answer(
                connection, request_id, sent_at, was_read=was_read
            )
            was_read = was_read or answer.status is not None


class SlowCaller(StopCaller):
    """Sends the body of each request some time after its head."""

    BODY_DELAY_S = 0.3

    def ask(self, connection):
        request_id, request = self.make_request(body=BODY)
        connection.send(request[: -len(BODY)])
        time.sleep(self.BODY_DELAY_S)
        connection.send(BODY)
        self.read_answer(connection, request_id, time.monotonic())


class StreamCaller(StopCaller):
    """Asks for one stream after the other."""

    def ask(self, connection):
        request_id, request = self.make_request("/fixed/x", X_Token_Count="80,70")
        connection.send(request)
        self.read_answer(connection, request_id, time.monotonic())


CALLERS = {
    "keeping": KeepingCaller,
    "ahead": AheadCaller,
    "slow": SlowCaller,
    "stream": StreamCaller,
}
