"""Which route a request takes, and whose it is."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

MS_PER_S = 1000.0


class RequestKind(enum.Enum):
    """What may be done with a request that may have run already."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Part of a route's traffic that goes to one service.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One class of work as the operator states it.

    Parameters
    ----------
    name, host, path_prefix : str
    kind : RequestKind
    timeout_s : float
        Longest time that a request is kept without its final answer.
    target_latency_s : float
        Time within which the answer, or the first event, is on time.
    target_gap_s : float
        Longest pause between events that is on time; 0 when there is no target.
    priority : int
        Rank, 0 is the most urgent.
    shares : tuple of ServiceShare
    max_attempts : int
        Servers that one request may be run on.
    is_anonymous : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may go on at another server.
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
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineTraits(NamedTuple):
    """What the model engines of a service can do.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    memory_tokens : int
        Tokens that the memory of one engine holds.
    copies_continuously : bool
        Whether an engine sends the memory of a run to another one as it grows.
    copies_on_request : bool
        Whether an engine copies the memory of a run when asked.
    copy_ttl_s : float
        How long a copy stays without news of its run.
    """

    slots: int
    memory_tokens: int
    copies_continuously: bool
    copies_on_request: bool = False
    copy_ttl_s: float = 4.0


class Service(NamedTuple):
    """A set of equal backend servers.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one server accepts from all instances together.
    engine : EngineTraits or None
        None for a service without model engines.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None


class Workspace(NamedTuple):
    """A customer's workspace.

    Parameters
    ----------
    name : str
    priority : int or None
        Goes before the priority of routes.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send, and how slowly.

    Parameters
    ----------
    header_bytes, body_bytes : int
    header_timeout_s, idle_timeout_s : float
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """One version of everything the operator states.

    Parameters
    ----------
    version : int
    routes : mapping of str to tuple of Route
        By host in lower case; the longest prefix first.
    services : mapping of str to Service
    workspaces : mapping of str to Workspace
        By key.
    requires_keys : bool
        Whether requests need a key at all.
    limits : CallerLimits
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    requires_keys: bool
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

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


def group_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first.

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
