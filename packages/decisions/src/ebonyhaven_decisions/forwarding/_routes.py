"""Routing configuration: routes, services, workspaces and caller limits."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

MS_PER_S = 1000.0
DEFAULT_HEALTH_PATH = "/health"


class RequestKind(enum.Enum):
    """Type of a request, which determines whether it may be retried after it ran.

    A stream may be retried if its route is resumable. The values are used as labels
    of metrics.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Share of a route's traffic that is sent to one service.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the operator's configuration.

    Parameters
    ----------
    name, host, path_prefix : str
    kind : RequestKind
    timeout_s : float
        Maximum time from the arrival of a request to its complete response.
    target_latency_s : float
        Target for the time to the response, or to the first event of a stream.
    target_gap_s : float
        Target for the gap between two events; 0 for no target.
    priority : int
        0 is the most urgent.
    shares : tuple of ServiceShare
        Services that receive the requests of the route, with their weights.
    max_attempts : int
        Maximum number of attempts that may run a request. Attempts of a stream that
        end with a lost connection do not count.
    is_anonymous : bool
        Whether requests are accepted without an API key.
    is_resumable : bool
        Whether a stream may resume on another server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def may_retry(self) -> bool:
        """Whether a request may be retried although it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def list_used_shares(self) -> list[ServiceShare]:
        """Return the shares that requests go to; the first if all weigh nothing."""
        return [each for each in self.shares if each.weight > 0] or [self.shares[0]]


class EngineTraits(NamedTuple):
    """Capacity of the model engines of a service and how they copy runs.

    Parameters
    ----------
    slots : int
        Maximum number of requests in a batch.
    memory_tokens : int
        Memory capacity of one engine, tokens.
    copies_continuously : bool
        Whether an engine copies the memory of a run to another engine as it grows.
    copies_on_request : bool
        Whether an engine copies the memory of a run on request.
    copy_ttl_s : float
        Seconds after which an engine drops a copy that is not refreshed.
    """

    slots: int
    memory_tokens: int
    copies_continuously: bool
    copies_on_request: bool = False
    copy_ttl_s: float = 4.0


class Service(NamedTuple):
    """A set of interchangeable backend servers.

    Parameters
    ----------
    name : str
    max_connections : int
        Maximum connections to one server, from all instances together.
    engine : EngineTraits or None
        None for a service without model engines.
    health_path : str
        Path at which its servers answer whether they are healthy.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None
    health_path: str = DEFAULT_HEALTH_PATH


class Workspace(NamedTuple):
    """A customer's workspace.

    Parameters
    ----------
    name : str
    priority : int or None
        Overrides the priority of routes.
    """

    name: str
    priority: int | None


class RequestLimits(NamedTuple):
    """Limits on the size of requests of callers and on the time to receive them.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of the headers and of the body.
    header_timeout_s : float
        Maximum time from the first byte of a request until its headers are complete.
    idle_timeout_s : float
        Maximum time for the request body, and maximum idle time of a connection.
    are_known : bool
        Whether a configuration is active. What exceeds the defaults before may be
        within the limits of the operator.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    are_known: bool = True


class RoutingConfiguration(NamedTuple):
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
    routes : mapping of str to tuple of Route
        By host in lower case, sorted by descending prefix length.
    services : mapping of str to Service
    workspaces : mapping of str to Workspace
        By API key.
    requires_keys : bool
        Whether an API key is required on routes that are not anonymous.
    limits : RequestLimits
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    requires_keys: bool
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Without a port.
        path : str
            Without a query.

        Returns
        -------
        Route or None
        """
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_copy_ttl_s(self, route: Route) -> float:
        """Return the longest time for which an engine of a route keeps a copy, seconds.

        Parameters
        ----------
        route : Route
        """
        services = [self.services.get(each.service) for each in route.shares]
        engines = [each.engine for each in services if each and each.engine]
        return max((each.copy_ttl_s for each in engines), default=0.0)


def group_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, sorted by descending prefix length.

    Parameters
    ----------
    routes : list of Route

    Returns
    -------
    dict of str to tuple of Route
    """
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in groups.items()
    }
