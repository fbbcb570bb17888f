"""Callers that keep connections open and note what they were told."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import h11
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater

from tests.platform_adapter.stand_ins import HOST, KEY

CONNECT_TIMEOUT_S = 1.0
TIME_LIMIT_S = 1.5
STREAM_TIME_LIMIT_S = 6.0
THINK_S = (0.0, 0.08)
PROMISES = frozenset({408, 421, 429, 503})


class Result(NamedTuple):
    """What a caller was told of one request.

    Parameters
    ----------
    request_id, path : str
    sent_at, ended_at : float
        Seconds of the reactor's clock.
    status : int or None
        None if no head came.
    stamp : str or None
        Proof of origin.
    body : bytes
    is_whole : bool
        Whether the response was complete.
    """

    request_id: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    stamp: str | None
    body: bytes
    is_whole: bool


class _Connection(Protocol):
    def __init__(self):
        self.codec = h11.Connection(h11.CLIENT)
        self.is_lost = False
        self._done: Deferred | None = None
        self._status, self._stamp, self._body = None, None, b""

    def exchange(self, request: bytes) -> Deferred:
        self._status, self._stamp, self._body = None, None, b""
        self._done = Deferred()
        self.transport.write(request)
        return self._done

    def finish(self, *, is_whole: bool) -> None:
        done, self._done = self._done, None
        if done is not None:
            done.callback((self._status, self._stamp, self._body, is_whole))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        try:
            self.codec.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _handle_events(self) -> None:
        while True:
            event = self.codec.next_event()
            if isinstance(event, h11.Response):
                self._status = event.status_code
                headers = dict(event.headers)
                self._stamp = headers.get(b"x-server-stamp", b"").decode() or None
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.codec.their_state is h11.DONE:
                    self.codec.start_next_cycle()
                else:
                    self.is_lost = True
                    self.transport.abortConnection()
                self.finish(is_whole=True)
                return
            else:
                return

    def connectionLost(self, reason) -> None:  # noqa: N802 Twisted API
        self.is_lost = True
        self.finish(is_whole=False)


class _Factory(ClientFactory):
    noisy = False

    def __init__(self):
        self.connected: Deferred = Deferred()

    def buildProtocol(self, address) -> _Connection:  # noqa: N802 Twisted API
        protocol = _Connection()
        protocol.connectionMade = lambda: self.connected.callback(protocol)
        return protocol

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self.connected.callback(None)


class SoakCaller:
    """Sends requests one after the other, on a connection while it is open.

    Parameters
    ----------
    name : str
    choose_address : callable
        Returns the ``IP:PORT`` of an instance.
    choose_path : callable
        Returns the path of the next request.
    results : list of Result
        Log of all callers.
    rng : random.Random
    """

    def __init__(
        self,
        name: str,
        *,
        choose_address: Callable[[], str],
        choose_path: Callable[[], str],
        results: list[Result],
        rng: random.Random,
    ):
        self._name = name
        self._choose_address = choose_address
        self._choose_path = choose_path
        self._results = results
        self._rng = rng
        self._connection: _Connection | None = None
        self._number = 0
        self.is_stopped = False

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self.is_stopped:
            await deferLater(reactor, self._rng.uniform(*THINK_S))
            path = self._choose_path()
            result = await self._send(path)
            if (
                result is not None
                and result.status in PROMISES
                and (not self.is_stopped)
            ):
                await self._send(path)
        if self._connection is not None:
            self._connection.transport.abortConnection()

    async def _send(self, path: str) -> Result | None:
        connection = self._connection
        if connection is None or connection.is_lost:
            connection = self._connection = await self._connect()
        if connection is None:
            return None
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        limit_s = STREAM_TIME_LIMIT_S if path.startswith("/fixed") else TIME_LIMIT_S
        sent_at = reactor.seconds()
        request = self._encode(connection, path, request_id, limit_s)
        timer = reactor.callLater(limit_s, connection.transport.abortConnection)
        status, stamp, body, is_whole = await connection.exchange(request)
        if timer.active():
            timer.cancel()
        ended_at = reactor.seconds()
        result = Result(
            request_id, path, sent_at, ended_at, status, stamp, body, is_whole
        )
        self._results.append(result)
        return result

    async def _connect(self) -> _Connection | None:
        host, _, port = self._choose_address().rpartition(":")
        factory = _Factory()
        reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)
        return await factory.connected

    def _encode(self, connection, path, request_id, limit_s) -> bytes:
        method = "GET" if path.startswith("/repeat") else "POST"
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(int(limit_s * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        body = b"" if method == "GET" else b"{}"
        if path.startswith("/fixed"):
            headers.append(("X-Token-Count", "800,60"))
        if body:
            headers.append(("Content-Length", str(len(body))))
        encoded = connection.codec.send(
            h11.Request(method=method, target=path, headers=headers)
        )
        if body:
            encoded += connection.codec.send(h11.Data(data=body))
        return encoded + connection.codec.send(h11.EndOfMessage())
