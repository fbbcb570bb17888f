"""HTTP requests to the platform and the mapping of failures to exceptions."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
)
from twisted.web.client import HTTPConnectionPool, RequestNotSent

from ebonyhaven_store._agents import make_agent
from ebonyhaven_store._bodies import read_body
from ebonyhaven_store.exceptions import (
    PlatformError,
    Rejected,
    Throttled,
    Unavailable,
    Unconfirmed,
)

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 0.5
MAX_IDLE_CONNECTIONS = 8
NOT_SENT_ERRORS = (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
    RequestNotSent,
)


class PlatformResponse(NamedTuple):
    """Status and body of an HTTP response of the platform."""

    status: int
    body: bytes

    def decode(self) -> Any:
        """Return the value of the JSON body."""
        return json.loads(self.body)


class PlatformTransport:
    """Pool of HTTP connections to one address of the platform.

    Parameters
    ----------
    reactor : IReactorCore
        Reactor that owns the connections.
    address : str
        ``IP:PORT`` of the platform.
    timeout_s : float
        Timeout of one request in seconds, from connecting to the end of the
        response body.
    """

    __slots__ = ("_agent", "_pool", "_reactor", "_timeout_s", "address")

    def __init__(
        self, reactor: Any, address: str, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ):
        self.address = address
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        # An automatic retry on a new connection would hide that the first attempt
        # of a write may have been applied.
        self._pool.retryAutomatically = False
        self._agent = make_agent(reactor, connect_timeout_s=timeout_s, pool=self._pool)

    def exchange(
        self,
        method: str,
        path: str,
        *,
        step: str,
        query: Sequence[tuple[str, str]] = (),
        body: bytes | None = None,
        accepted: frozenset[int] = frozenset({200}),
    ) -> Deferred[PlatformResponse]:
        """Send one request and return its response.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        step : str
            Name of the operation for exceptions.
        query : sequence of (str, str)
            Query parameters.
        body : bytes or None
            Body of the request.
        accepted : frozenset of int
            Status codes that are returned; any other raises an exception.

        Returns
        -------
        Deferred of PlatformResponse

        Raises
        ------
        Throttled, Unavailable
            The operation was not executed.
        Unconfirmed
            A write may have been or may still be applied.
        Rejected
            The platform rejected the request as invalid.
        """
        url = f"http://{self.address}{path}"
        if query:
            url = f"{url}?{urlencode(query)}"
        exchange = Deferred.fromCoroutine(
            self._exchange(method, url, step=step, body=body, accepted=accepted)
        )
        return exchange.addTimeout(self._timeout_s, self._reactor)

    def close(self) -> Deferred[None]:
        """Close all idle connections."""
        return self._pool.closeCachedConnections()

    async def _exchange(
        self,
        method: str,
        url: str,
        *,
        step: str,
        body: bytes | None,
        accepted: frozenset[int],
    ) -> PlatformResponse:
        try:
            http_response = await treq.request(
                method, url, data=body, agent=self._agent, reactor=self._reactor
            )
            response = PlatformResponse(
                http_response.code, await read_body(http_response)
            )
        except Exception as error:
            raise self._map_exception(method, step, error) from error
        if response.status in accepted:
            return response
        raise self._map_status(step, response.status, http_response.headers)

    def _map_exception(self, method: str, step: str, error: Exception) -> PlatformError:
        reason = f"{type(error).__name__} {error}".strip()
        had_no_effect = method == "GET" or isinstance(error, NOT_SENT_ERRORS)
        error_type = Unavailable if had_no_effect else Unconfirmed
        return error_type(step=step, peer=self.address, reason=reason)

    def _map_status(self, step: str, status: int, headers: Any) -> PlatformError:
        reason = f"status {status}"
        if status == 429:
            values = headers.getRawHeaders("Retry-After") or [DEFAULT_RETRY_AFTER_S]
            return Throttled(
                step=step,
                peer=self.address,
                reason=reason,
                retry_after_s=float(values[0]),
            )
        if 400 <= status < 500:
            return Rejected(step=step, peer=self.address, reason=reason)
        if status == 503:
            return Unavailable(step=step, peer=self.address, reason=reason)
        return Unconfirmed(step=step, peer=self.address, reason=reason)
