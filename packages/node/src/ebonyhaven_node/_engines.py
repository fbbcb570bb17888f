"""Client of the model engines: starting, attaching and cancelling runs."""

from __future__ import annotations

import errno
import json
import time
from collections.abc import Sequence
from typing import Any, Protocol, TypedDict
from urllib.parse import urlencode

import treq
from ebonyhaven_store import make_agent
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss

from ebonyhaven_node._events import EventParser, Token
from ebonyhaven_node._servers import BackendServer, ReportedLoad
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal

CONNECT_TIMEOUT_S = 0.5
ERROR_BODY_TIMEOUT_S = 1.0
CONNECTION_REFUSED = "connection refused"
UNREACHABLE = "unreachable"
_NOT_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionRefusedError,
    error.TimeoutError,
)


class StartBody(TypedDict, total=False):
    """Body of a start or a continuation; see docs/PROTOCOLS.md."""

    run_id: str
    generation: str
    attempt: int
    fence: int
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    digest: str
    continue_from: list[str]


class StreamReceiver(Protocol):
    """What receives the tokens of an engine's stream."""

    def receive_tokens(self, stream: EngineStream, tokens: Sequence[Token]) -> None:
        """Take consecutive tokens that arrived together."""

    def receive_loss(self, stream: EngineStream, reason: str) -> None:
        """Take note that the stream ended before its last token."""


class EngineStream(TwistedProtocol):
    """One event stream of an engine.

    Parameters
    ----------
    server : BackendServer
        Where it comes from.
    offset : int
        Offset of the first token that is expected.
    receiver : StreamReceiver
        What receives the tokens.
    """

    def __init__(self, *, server: BackendServer, offset: int, receiver: StreamReceiver):
        self.server = server
        self.next_offset = offset
        self.last_arrival = time.monotonic()
        self.tokens_received = 0
        self._receiver: StreamReceiver | None = receiver
        self._parser = EventParser()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 name given by Twisted
        """Parse what arrived and pass the tokens on."""
        if self._receiver is None:
            return
        self.last_arrival = time.monotonic()
        try:
            tokens = self._parser.feed(data)
            self._check_order(tokens)
        except (ValueError, LookupError) as problem:
            self._lose(f"malformed stream: {problem}")
            return
        if tokens:
            self.tokens_received += len(tokens)
            self._receiver.receive_tokens(self, tokens)

    def connectionLost(self, reason: Failure = None) -> None:  # noqa: N802
        """Report a stream that broke; the regular end was reported as a token."""
        if reason is None or self._parser.done:
            return
        if reason.check(ResponseFailed, PotentialDataLoss, error.ConnectionLost):
            self._lose("connection lost")
        else:
            self._lose("stream ended early")

    def close(self) -> None:
        """Stop reading; nothing is reported from here on."""
        self._receiver = None
        if self.transport is not None:
            self.transport.loseConnection()

    def _check_order(self, tokens: Sequence[Token]) -> None:
        for token in tokens:
            if token.offset != self.next_offset:
                raise ValueError(
                    f"offset {token.offset} where {self.next_offset} was due"
                )
            if token.finish_reason is None:
                self.next_offset += 1

    def _lose(self, reason: str) -> None:
        receiver, self._receiver = self._receiver, None
        if self.transport is not None:
            self.transport.loseConnection()
        if receiver is not None:
            receiver.receive_loss(self, reason)


class EngineClient:
    """Speaks to model engines, one connection a stream.

    Parameters
    ----------
    reactor : IReactorTime
        Twisted's reactor.
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        agent = make_agent(reactor, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)

    async def start(
        self,
        server: BackendServer,
        body: StartBody,
        *,
        receiver: StreamReceiver,
        timeout_s: float,
    ) -> EngineStream:
        """Start or continue a run.

        Parameters
        ----------
        server : BackendServer
        body : StartBody
        receiver : StreamReceiver
        timeout_s : float
            Time within which the engine must accept, seconds.

        Returns
        -------
        EngineStream

        Raises
        ------
        EngineRefusal
            The run was not accepted; nothing ran.
        EngineLost
            The run may have been accepted.
        """
        answer = self._client.post(
            f"http://{server.address}/v1/completions",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            unbuffered=True,
        )
        response = await self._await_headers(server, answer, timeout_s, step="start")
        offset = len(body.get("continue_from", ()))
        return await self._open(server, response, offset, receiver)

    async def attach(
        self,
        server: BackendServer,
        run_id: str,
        *,
        offset: int,
        generation: str,
        fence: int,
        receiver: StreamReceiver,
        timeout_s: float,
    ) -> EngineStream:
        """Attach to a run on a new connection.

        Parameters
        ----------
        server : BackendServer
        run_id : str
        offset : int
            First token wanted.
        generation : str
            Generation that the run must have.
        fence : int
            Fence number of the attempt.
        receiver : StreamReceiver
        timeout_s : float
            Time within which the engine must answer, seconds.

        Returns
        -------
        EngineStream

        Raises
        ------
        EngineRefusal
            The engine does not have the run, or cannot be connected to.
        EngineLost
            The engine did not answer.
        """
        query = urlencode({"from": offset, "generation": generation, "fence": fence})
        url = f"http://{server.address}/v1/runs/{run_id}?{query}"
        answer = self._client.get(url, unbuffered=True)
        response = await self._await_headers(server, answer, timeout_s, step="attach")
        return await self._open(server, response, offset, receiver)

    async def cancel(
        self, server: BackendServer, run_id: str, *, attempt: int, timeout_s: float
    ) -> bool:
        """Cancel an attempt that nobody is attached to.

        Parameters
        ----------
        server : BackendServer
        run_id : str
        attempt : int
            Number of the attempt; a later one is left alone.
        timeout_s : float
            Time within which the engine must answer, seconds.

        Returns
        -------
        bool
            False if somebody is attached to the run.

        Raises
        ------
        EngineRefusal, EngineLost
            The engine could not be reached.
        """
        query = urlencode({"attempt": attempt, "if_detached": 1})
        url = f"http://{server.address}/v1/runs/{run_id}?{query}"
        answer = self._client.delete(url)
        response = await self._await_headers(server, answer, timeout_s, step="cancel")
        answer = await treq.json_content(response)
        return not answer.get("attended", False)

    async def _await_headers(
        self,
        server: BackendServer,
        answer: defer.Deferred,
        timeout_s: float,
        *,
        step: str,
    ) -> Any:
        answer.addTimeout(timeout_s, self._reactor)
        try:
            response = await answer
        except _NOT_SENT as problem:
            server.record_unreachable(time.monotonic())
            refused = _is_refused(problem)
            raise EngineRefusal(
                peer=server.name,
                status=0,
                reason=CONNECTION_REFUSED if refused else UNREACHABLE,
            ) from problem
        except Exception as problem:
            server.record_unreachable(time.monotonic())
            closed = _is_closed(problem)
            raise EngineLost(peer=server.name, step=step, closed=closed) from problem
        server.record_answer()
        self._record_load(server, response.headers)
        return response

    async def _open(
        self,
        server: BackendServer,
        response: Any,
        offset: int,
        receiver: StreamReceiver,
    ) -> EngineStream:
        if response.code != 200:
            reason = await self._read_reason(response)
            raise EngineRefusal(peer=server.name, status=response.code, reason=reason)
        stream = EngineStream(server=server, offset=offset, receiver=receiver)
        response.deliverBody(stream)
        return stream

    async def _read_reason(self, response: Any) -> str:
        content = treq.json_content(response)
        content.addTimeout(ERROR_BODY_TIMEOUT_S, self._reactor)
        try:
            body = await content
        except Exception:
            return "unreadable answer"
        return str(body.get("error", "unnamed"))

    def _record_load(self, server: BackendServer, headers: Any) -> None:
        if not headers.hasHeader("Engine-Running"):
            return
        server.record_load(
            ReportedLoad(
                running=int(_read_header(headers, "Engine-Running", "0")),
                waiting=int(_read_header(headers, "Engine-Waiting", "0")),
                capacity=int(
                    _read_header(headers, "Engine-Capacity", str(server.capacity))
                ),
                pace_s=float(
                    _read_header(headers, "Engine-Pace-Ms", str(server.pace_s * 1000))
                )
                / 1000,
                leaving=_read_header(headers, "Engine-Leaving", "0") == "1",
            )
        )


def _is_refused(problem: Exception) -> bool:
    """Tell whether the other side, or what stands before it, turned us away.

    A process that is dying, or a forwarder before a dead one, may reset a
    connection while it is being made.
    """
    if isinstance(problem, error.ConnectionRefusedError):
        return True
    return getattr(problem, "osError", None) == errno.ECONNRESET


def _is_closed(problem: Exception) -> bool:
    """Tell whether a connection was closed before its answer."""
    if not isinstance(problem, ResponseFailed):
        return False
    return any(
        reason.check(
            error.ConnectionLost, error.ConnectionDone, error.ConnectionAborted
        )
        for reason in problem.reasons
    )


def _read_header(headers: Any, name: str, default: str) -> str:
    return headers.getRawHeaders(name, [default])[0]
