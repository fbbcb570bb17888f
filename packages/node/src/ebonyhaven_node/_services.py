"""Relays calls to plain services.

A call that may have been run is sent to another server only if it is repeatable.
"""

from __future__ import annotations

import time

import structlog
import treq
from ebonyhaven_decisions import Outcome, OutcomeTag, PoolKind, RequestFailure
from ebonyhaven_store import make_agent, read_body
from twisted.internet import error
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.http import Request
from twisted.web.iweb import IResponse

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._byte_budgets import ByteBudget
from ebonyhaven_node._engines import CONNECT_TIMEOUT_S
from ebonyhaven_node._limit_headers import read_limits, read_rest_s
from ebonyhaven_node._requests import MAX_BODY_BYTES, make_rejection, parse_repeatable
from ebonyhaven_node._scheduling import SlotScheduler
from ebonyhaven_node._servers import BackendServer, BackendServers
from ebonyhaven_node._service_crashes import ServiceCrashes, compute_content
from ebonyhaven_node._sinks import write_outcome

CALL_TIMEOUT_S = 30.0
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024  # a quarter of the target of a node
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
SAFE_METHODS = frozenset({b"GET", b"HEAD"})
FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")
RETURNED_HEADERS = ("Content-Type",)
_log = structlog.get_logger()
_ERRORS_BEFORE_SEND = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionRefusedError,
    error.TimeoutError,
)


class ServiceRelay:
    """Relays calls to plain services.

    Parameters
    ----------
    configuration : ActiveConfiguration
    servers : BackendServers
    scheduling : SlotScheduler
    crashes : ServiceCrashes
    reactor : IReactorTime
    """

    def __init__(
        self,
        *,
        configuration: ActiveConfiguration,
        servers: BackendServers,
        scheduling: SlotScheduler,
        crashes: ServiceCrashes,
        reactor: IReactorTime,
    ):
        self._configuration = configuration
        self._servers = servers
        self._scheduling = scheduling
        self._crashes = crashes
        self._reactor = reactor
        self._response_bytes = ByteBudget(MAX_BUFFERED_RESPONSE_BYTES)
        agent = make_agent(reactor, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)

    async def relay(self, http_request: Request, service: str, path: str) -> None:
        """Relay a call and write its response.

        Parameters
        ----------
        http_request : Request
        service : str
            Name of the service.
        path : str
            Path at the service, without the leading slash.
        """
        try:
            await self._relay(http_request, service, path)
        except RequestFailure as failure:
            write_outcome(http_request, failure.outcome)

    async def _relay(self, http_request: Request, service: str, path: str) -> None:
        body = http_request.content.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            raise make_rejection(
                f"more than {MAX_BODY_BYTES} bytes of body", status=413
            )
        repeatable = self._is_repeatable(http_request)
        target = _make_target(http_request, path)
        content = compute_content(http_request.method, service, target, body)
        tried_servers: set[str] = set()
        final_outcome = Outcome(
            tag=OutcomeTag.NOT_RUN,
            step="route",
            peer="self",
            reason=f"no backend server of service {service!r} can be reached",
            retry_after_s=RETRY_AFTER_S,
        )
        for _ in range(MAX_ATTEMPTS):
            server = self._choose_server(service, tried_servers)
            if server is None:
                break
            tried_servers.add(server.name)
            await self._crashes.check(content, final_outcome.tag)
            outcome = await self._call(http_request, server, target, body)
            if outcome is None:
                self._crashes.record_survival(content)
                return
            if outcome.tag is OutcomeTag.UNKNOWN:
                check = ensureDeferred(self._crashes.check_loss(content, server))
                check.addErrback(_log_check_failure)
                if not repeatable:
                    raise RequestFailure(outcome)
                await check
            if final_outcome.tag is OutcomeTag.NOT_RUN:
                final_outcome = outcome
        raise RequestFailure(final_outcome)

    def _is_repeatable(self, http_request: Request) -> bool:
        header = http_request.getHeader("Ebonyhaven-Repeatable")
        if header is None:
            return http_request.method in SAFE_METHODS
        return parse_repeatable(header)

    def _choose_server(
        self, service: str, tried_servers: set[str]
    ) -> BackendServer | None:
        declaration = self._configuration.require()
        pools = [
            pool.name
            for pool in declaration.pools.values()
            if pool.kind is PoolKind.SERVICE and pool.service == service
        ]
        if not pools:
            raise make_rejection(f"unknown service {service!r}", status=404)
        now = time.monotonic()
        suitable = [
            server
            for server in self._servers.list_in_pools(pools)
            if server.name not in tried_servers and server.accepts_work(now)
        ]
        return min(suitable, key=lambda item: item.in_flight, default=None)

    async def _call(
        self, http_request: Request, server: BackendServer, target: str, body: bytes
    ) -> Outcome | None:
        """Call a server; return None if its response was written to the caller."""
        slot = self._scheduling.adopt(server)
        try:
            return await self._send(http_request, server, target, body)
        finally:
            slot.release()

    async def _read(self, response: IResponse) -> bytes:
        share = self._response_bytes.open_share()
        body = read_body(response, keep=share.grow)
        body.addTimeout(CALL_TIMEOUT_S, self._reactor)
        try:
            return await body
        finally:
            share.close()

    async def _send(
        self, http_request: Request, server: BackendServer, target: str, body: bytes
    ) -> Outcome | None:
        if not server.limiter.acquire(time.monotonic()):
            reason = "the server limits its requests"
            return _make_outcome(OutcomeTag.NOT_RUN, "route", server, reason)
        call = self._client.request(
            http_request.method.decode(),
            f"http://{server.address}/{target}",
            headers=_select_headers(http_request),
            data=body or None,
        )
        call.addTimeout(CALL_TIMEOUT_S, self._reactor)
        try:
            response = await call
            content = await self._read(response)
        except _ERRORS_BEFORE_SEND as exception:
            server.record_unreachable(time.monotonic())
            return _make_outcome(
                OutcomeTag.NOT_RUN, "connect", server, _describe(exception)
            )
        except Exception as exception:
            server.record_unreachable(time.monotonic())
            return _make_outcome(
                OutcomeTag.UNKNOWN, "send", server, _describe(exception)
            )
        finally:
            server.limiter.record_ended()
        server.record_answer()
        server.record_limits(read_limits(response.headers))
        rest_s = read_rest_s(response.code, response.headers)
        server.record_rest(rest_s, time.monotonic())
        http_request.setResponseCode(response.code)
        for name in RETURNED_HEADERS:
            for value in response.headers.getRawHeaders(name, []):
                http_request.setHeader(name, value)
        http_request.write(content)
        http_request.finish()
        return None


def _log_check_failure(failure: Failure) -> None:
    _log.error("loss_check_failed", error=failure.getTraceback())


def _make_target(http_request: Request, path: str) -> str:
    query = http_request.uri.partition(b"?")[2].decode("latin-1")
    return f"{path}?{query}" if query else path


def _select_headers(http_request: Request) -> dict[str, str]:
    headers = {name: http_request.getHeader(name) for name in FORWARDED_HEADERS}
    return {name: value for name, value in headers.items() if value is not None}


def _describe(exception: Exception) -> str:
    return f"{type(exception).__name__}: {exception}"


def _make_outcome(
    tag: OutcomeTag, step: str, server: BackendServer, reason: str
) -> Outcome:
    return Outcome(
        tag=tag,
        step=step,
        peer=server.name,
        reason=reason,
        status=502,
        retry_after_s=RETRY_AFTER_S,
    )
