"""HTTP client that starts, attaches to and cancels runs on model engines."""

from __future__ import annotations

import errno
import json
import time
from typing import Any, TypedDict
from urllib.parse import urlencode

import structlog
import treq
from ebonyhaven_decisions import check_integer, check_number, parse_count, quote
from ebonyhaven_store import make_agent
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import ResponseFailed

from ebonyhaven_node._engine_streams import EngineStream, StreamReceiver
from ebonyhaven_node._limit_headers import read_limits, read_rest_s
from ebonyhaven_node._servers import BackendServer, ReportedLoad
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal

CONNECT_TIMEOUT_S = 0.5
ERROR_BODY_TIMEOUT_S = 1.0
MAX_STREAM_BYTES = 16 * 1024 * 1024  # passed on, not kept
CONNECTION_REFUSED = "connection refused"
UNREACHABLE = "unreachable"
ENGINE_FULL = "full"
LIMITED = "limited"  # by what the engine asks of all instances; nothing was sent
# Raised before the connection is established, so the request was not sent.
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionRefusedError,
    error.TimeoutError,
)

_log = structlog.get_logger()


class StartBody(TypedDict, total=False):
    """Request body that starts or continues a run; see docs/PROTOCOLS.md."""

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


class EngineClient:
    """HTTP client of model engines, with one connection per stream.

    Parameters
    ----------
    reactor : IReactorTime
    """

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        agent = make_agent(
            reactor,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_response_bytes=MAX_STREAM_BYTES,
        )
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
            Timeout for the response headers, seconds.

        Returns
        -------
        EngineStream

        Raises
        ------
        EngineRefusal
            If the engine did not accept the run, so that nothing ran.
        EngineLost
            If the engine may have accepted the run but did not respond.
        """
        _acquire_request(server)
        pending_response = self._client.post(
            f"http://{server.address}/v1/completions",
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            unbuffered=True,
        )
        response = await self._await_headers(
            server, pending_response, timeout_s, step="start"
        )
        offset = len(body.get("continue_from", ()))
        return await self._open_stream(server, response, offset, receiver)

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
            Offset of the first token to receive.
        generation : str
            Generation that the run must have.
        fence : int
            Fencing number of the attempt.
        receiver : StreamReceiver
        timeout_s : float
            Timeout for the response headers, seconds.

        Returns
        -------
        EngineStream

        Raises
        ------
        EngineRefusal
            If the engine does not have the run or is not reachable.
        EngineLost
            If the engine did not respond.
        """
        query = urlencode({"from": offset, "generation": generation, "fence": fence})
        url = f"http://{server.address}/v1/runs/{run_id}?{query}"
        _acquire_request(server)
        pending_response = self._client.get(url, unbuffered=True)
        response = await self._await_headers(
            server, pending_response, timeout_s, step="attach"
        )
        return await self._open_stream(server, response, offset, receiver)

    async def cancel(
        self, server: BackendServer, run_id: str, *, attempt: int, timeout_s: float
    ) -> bool:
        """Cancel an attempt unless a connection is attached to its run.

        Parameters
        ----------
        server : BackendServer
        run_id : str
        attempt : int
            Number of the attempt; later attempts are not cancelled.
        timeout_s : float
            Timeout for the response headers, seconds.

        Returns
        -------
        bool
            False if a connection is attached to the run.

        Raises
        ------
        EngineRefusal, EngineLost
            If the engine could not be reached.
        """
        query = urlencode({"attempt": attempt, "if_detached": 1})
        url = f"http://{server.address}/v1/runs/{run_id}?{query}"
        _acquire_request(server)
        pending_response = self._client.delete(url)
        response = await self._await_headers(
            server, pending_response, timeout_s, step="cancel"
        )
        content = treq.json_content(response)
        content.addTimeout(ERROR_BODY_TIMEOUT_S, self._reactor)
        body = await content
        return not body.get("attended", False)

    async def _await_headers(
        self,
        server: BackendServer,
        pending_response: defer.Deferred,
        timeout_s: float,
        *,
        step: str,
    ) -> Any:
        pending_response.addTimeout(timeout_s, self._reactor)
        try:
            response = await pending_response
        except _NOT_SENT_ERRORS as exc:
            server.record_unreachable(time.monotonic())
            refused = _is_refused(exc)
            raise EngineRefusal(
                peer=server.name,
                status=0,
                reason=CONNECTION_REFUSED if refused else UNREACHABLE,
            ) from exc
        except Exception as exc:
            server.record_unreachable(time.monotonic())
            closed = _is_closed(exc)
            raise EngineLost(peer=server.name, step=step, closed=closed) from exc
        finally:
            # Its stream is held to the engine's capacity by the scheduler.
            server.limiter.record_ended()
        server.record_answer()
        server.record_limits(read_limits(response.headers))
        rest_s = read_rest_s(response.code, response.headers)
        server.record_rest(rest_s, time.monotonic())
        self._record_load(server, response.headers)
        return response

    async def _open_stream(
        self,
        server: BackendServer,
        response: Any,
        offset: int,
        receiver: StreamReceiver,
    ) -> EngineStream:
        if response.code != 200:
            reason = await self._read_error_reason(response)
            if reason == ENGINE_FULL:
                server.limiter.refusals.record_refused(time.monotonic(), 0.0)
            raise EngineRefusal(peer=server.name, status=response.code, reason=reason)
        stream = EngineStream(server=server, offset=offset, receiver=receiver)
        response.deliverBody(stream)
        return stream

    async def _read_error_reason(self, response: Any) -> str:
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
        try:
            load = _read_load(server, headers)
        except ValueError as error:
            _log.info("load_malformed", server=server.name, reason=quote(error))
            return
        server.record_load(load)


def _read_load(server: BackendServer, headers: Any) -> ReportedLoad:
    """Return the load that an engine's answer names.

    Raises
    ------
    ValueError
        If a number can't be read.
    """

    def read_count(name: str, default: str) -> int:
        return check_integer(parse_count(_read_header(headers, name, default)))

    pace_ms = _read_header(headers, "Engine-Pace-Ms", str(server.pace_s * 1000))
    return ReportedLoad(
        running=read_count("Engine-Running", "0"),
        waiting=read_count("Engine-Waiting", "0"),
        capacity=read_count("Engine-Capacity", str(server.capacity)),
        pace_s=check_number(float(pace_ms), minimum=0) / 1000,
        leaving=_read_header(headers, "Engine-Leaving", "0") == "1",
    )


def _acquire_request(server: BackendServer) -> None:
    """Count a request that is about to be sent.

    Raises
    ------
    EngineRefusal
        If a limit that the engine named forbids it.
    """
    if not server.limiter.acquire(time.monotonic()):
        raise EngineRefusal(peer=server.name, status=0, reason=LIMITED)


def _is_refused(exc: Exception) -> bool:
    """Return whether the remote host or a proxy in between refused the connection.

    A connection that is reset during its establishment counts as refused: a
    terminating process, or a proxy in front of a dead one, may reset it.
    """
    if isinstance(exc, error.ConnectionRefusedError):
        return True
    return getattr(exc, "osError", None) == errno.ECONNRESET


def _is_closed(exc: Exception) -> bool:
    """Return whether a connection was closed before the response headers."""
    if not isinstance(exc, ResponseFailed):
        return False
    return any(
        reason.check(
            error.ConnectionLost, error.ConnectionDone, error.ConnectionAborted
        )
        for reason in exc.reasons
    )


def _read_header(headers: Any, name: str, default: str) -> str:
    return headers.getRawHeaders(name, [default])[0]
