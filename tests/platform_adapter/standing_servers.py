"""Stand-in of a server whose process stands still while its kernel goes on."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from ebonyhaven_standins.cluster import allocate_address

BACKLOG = 512
READ_BYTES = 65536


class StandingServer:
    """Answers requests; while it stands still it reads nothing and accepts nothing.

    The kernel establishes connections and takes requests meanwhile. The server reads
    them once it goes on, also if their connections were closed.

    Attributes
    ----------
    address : str
    arrivals : list of (float, str)
        Time and request line of each request that the server has read.
    """

    def __init__(self, server_id):
        self.server_id = server_id
        self.address = allocate_address()
        self.arrivals: list[tuple[float, str]] = []
        self._goes_on = threading.Event()
        self._goes_on.set()
        host, _, port = self.address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def stand_still(self):
        self._goes_on.clear()

    def go_on(self):
        self._goes_on.set()

    def stop(self):
        self.go_on()
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            while True:
                connection.recv(1, socket.MSG_PEEK)  # waits for a request
                self._goes_on.wait()
                data = connection.recv(READ_BYTES)
                if not data:
                    return
                self.arrivals.append(
                    (time.monotonic(), data.split(b"\r\n")[0].decode())
                )
                connection.sendall(self._answer(data))

    def _answer(self, data):
        request_id = b""
        for line in data.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"x-attempt-id":
                request_id = value.strip()
        fields = [
            b"X-Attempt-Id: " + request_id,
            b"X-Server-Stamp: stamp-" + self.server_id.encode(),
            b"X-Instance-Id: " + self.server_id.encode(),
            b"Content-Length: 2",
            b"Keep-Alive: timeout=5",
        ]
        return b"HTTP/1.1 200 OK\r\n" + b"\r\n".join(fields) + b"\r\n\r\nok"
