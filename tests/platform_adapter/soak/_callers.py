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
LONG_TIME_LIMIT_S = 14.0
RESUMABLE_PATHS = ("/stream", "/kept")
STREAM_PATHS = ("/fixed", "/long", *RESUMABLE_PATHS)
LONG_PATHS = ("/long", "/kept")
PROMPT_PATH = "/kept"
MAX_RESUMES = 2
MAX_UNREACHED = 5  # instances that a caller who takes a stream up does not reach
UNREACHED_PAUSE_S = 0.05
THINK_S = (0.0, 0.08)
EARLY_LEAVE_S = (0.05, 1.5)
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
    instance : str
        Name of the instance that was asked.
    first_id : str
        Id of the request that brought the first event of the stream; its own for
        others.
    is_first : bool
        Whether the caller had not tried before.
    is_given_up : bool
        Whether the caller closed the connection, as its time was over.
    is_on_kept : bool
        Whether the connection had carried a request before.
    key : str
    """

    request_id: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    stamp: str | None
    body: bytes
    is_whole: bool
    instance: str = ""
    first_id: str = ""
    is_first: bool = True
    is_given_up: bool = False
    is_on_kept: bool = False
    key: str = KEY


def _is_broken_off(result: Result) -> bool:
    return result.status == 200 and not result.is_whole and bool(result.body)


def get_time_limit_s(path: str) -> float:
    """Return how long callers wait for an answer."""
    if path.startswith(LONG_PATHS):
        return LONG_TIME_LIMIT_S
    return STREAM_TIME_LIMIT_S if path.startswith(STREAM_PATHS) else TIME_LIMIT_S


def has_left_early(result: Result) -> bool:
    """Return whether the caller gave up long before its time was over."""
    waited_s = result.ended_at - result.sent_at
    return result.is_given_up and waited_s < get_time_limit_s(result.path) - THINK_S[1]


class _Connection(Protocol):
    def __init__(self):
        self.codec = h11.Connection(h11.CLIENT)
        self.is_lost = False
        self.count = 0  # of the requests that it carried
        self._done: Deferred | None = None
        self._status, self._stamp, self._body = None, None, b""

    def exchange(self, request: bytes) -> Deferred:
        self._status, self._stamp, self._body = None, None, b""
        self._done = Deferred()
        self.count += 1
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
    choose_instance : callable
        Returns name and ``IP:PORT`` of an instance, or None to send nothing now.
    choose_path : callable
        Returns the path of the next request.
    results : list of Result
        Log of all callers.
    rng : random.Random
    choose_key : callable
        Returns the key of the next request.
    early_leave_share : float
        Share of the requests that the caller gives up long before their time is over.
    """

    def __init__(
        self,
        name: str,
        *,
        choose_instance: Callable[[], tuple[str, str] | None],
        choose_path: Callable[[], str],
        results: list[Result],
        rng: random.Random,
        choose_key: Callable[[], str] = lambda: KEY,
        early_leave_share: float = 0.0,
    ):
        self._early_leave_share = early_leave_share
        self._leave_rng = random.Random(name)
        self._choose_key = choose_key
        self._name = name
        self._choose_instance = choose_instance
        self._instance = ""
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
            result = await self.send(path)
            if result is None or self.is_stopped:
                continue
            if result.status in PROMISES:
                await self.send(path, after=result)
            elif path.startswith(RESUMABLE_PATHS) and _is_broken_off(result):
                await self._resume(path, result)
        self.close()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.transport.abortConnection()

    async def _resume(self, path: str, result: Result) -> None:
        """Take a stream up again where it broke off, until it is whole or refused."""
        position = 0
        for _ in range(MAX_RESUMES):
            position += result.body.count(b"\n\n")
            result = await self._send_somewhere(path, result, position)
            if result is None or self.is_stopped or not _is_broken_off(result):
                return

    async def _send_somewhere(
        self, path: str, previous: Result, position: int
    ) -> Result | None:
        """Take a stream up at an instance that can be reached."""
        for _ in range(MAX_UNREACHED):
            result = await self.send(path, after=previous, position=position)
            if result is not None or self.is_stopped:
                return result
            await deferLater(reactor, UNREACHED_PAUSE_S)
        return None

    async def send(
        self, path: str, *, after: Result | None = None, position: int = 0
    ) -> Result | None:
        """Send a request and return what came of it; None without a connection.

        Parameters
        ----------
        path : str
        after : Result or None
            What was told of an earlier try.
        position : int
            Number of events that came before.
        """
        connection = self._connection
        if connection is None or connection.is_lost:
            connection = self._connection = await self._connect()
        if connection is None:
            return None
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        limit_s = get_time_limit_s(path)
        sent_at = reactor.seconds()
        first_id = after.first_id if position else request_id
        key = self._choose_key()
        headers = [("Authorization", f"Bearer {key}")]
        if position:
            headers += [("Last-Event-Id", str(position)), ("Resumes", first_id)]
        request = self._encode(connection, path, request_id, limit_s, headers)
        patience_s = self._choose_patience_s(limit_s)
        timer = reactor.callLater(patience_s, connection.transport.abortConnection)
        status, stamp, body, is_whole = await connection.exchange(request)
        is_given_up = not timer.active()
        if not is_given_up:
            timer.cancel()
        ended_at = reactor.seconds()
        result = Result(
            request_id,
            path,
            sent_at,
            ended_at,
            status,
            stamp,
            body,
            is_whole,
            self._instance,
            first_id,
            after is None,
            is_given_up,
            connection.count > 1,
            key,
        )
        self._results.append(result)
        return result

    def _choose_patience_s(self, limit_s: float) -> float:
        if self._leave_rng.random() < self._early_leave_share:
            return min(limit_s, self._leave_rng.uniform(*EARLY_LEAVE_S))
        return limit_s

    async def _connect(self) -> _Connection | None:
        chosen = self._choose_instance()
        if chosen is None:
            return None
        self._instance, address = chosen
        host, _, port = address.rpartition(":")
        factory = _Factory()
        reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)
        return await factory.connected

    def _encode(self, connection, path, request_id, limit_s, more_headers) -> bytes:
        method = "GET" if path.startswith("/repeat") else "POST"
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(int(limit_s * 1000))),
            *more_headers,
        ]
        body = b"" if method == "GET" else b"{}"
        if path.startswith(STREAM_PATHS):
            headers.append(("X-Token-Count", "800,60"))
        if path.startswith(PROMPT_PATH):
            prompt = int(path.rpartition("/")[2])
            headers.append(("X-Prompt-Prefix", f"aa:200,{prompt:x}:600"))
        if body:
            headers.append(("Content-Length", str(len(body))))
        encoded = connection.codec.send(
            h11.Request(method=method, target=path, headers=headers)
        )
        if body:
            encoded += connection.codec.send(h11.Data(data=body))
        return encoded + connection.codec.send(h11.EndOfMessage())
