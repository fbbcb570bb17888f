"""Services of a request: those of its route, and of a stream that began before."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ebonyhaven_decisions.forwarding._routes import (
    RequestKind,
    RoutingConfiguration,
    ServiceShare,
)
from ebonyhaven_decisions.forwarding._stream_records import StreamRecord
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention


def choose_service(shares: Sequence[ServiceShare], rng: random.Random) -> str:
    """Return a service, drawn by weight.

    Parameters
    ----------
    shares : sequence of ServiceShare
        One at least.
    rng : random.Random
    """
    names = [each.service for each in shares]
    weights = [each.weight for each in shares]
    if sum(weights) <= 0:
        return names[0]
    return rng.choices(names, weights)[0]


def list_stream_shares(
    shares: Sequence[ServiceShare],
    record: StreamRecord,
    may_serve: Callable[[str, str], bool],
) -> Sequence[ServiceShare]:
    """Return the shares among which a stream that has begun goes on.

    It goes on at the service that began it. If that is unknown, or the configuration
    sends the route there no more, a service with servers of its software version can
    go on with it.

    Parameters
    ----------
    shares : sequence of ServiceShare
        Those that the configuration in force sends requests of the route to.
    record : StreamRecord
    may_serve : callable
        Returns whether a service has servers of a software version, or may again.

    Returns
    -------
    sequence of ServiceShare
        All shares if no service can go on with the stream.
    """
    own = [each for each in shares if each.service == record.service]
    if own:
        return own
    able = [each for each in shares if may_serve(each.service, record.version)]
    return able or shares


class RouteServices:
    """Services that the routes of streams were sent to while open streams began.

    Parameters
    ----------
    retention : StreamRetention
        Time for which a stream may be taken up.
    """

    __slots__ = ("_current", "_left_at", "_retention")

    def __init__(self, retention: StreamRetention):
        self._retention = retention
        self._current: dict[str, frozenset[str]] = {}
        self._left_at: dict[tuple[str, str], float] = {}  # by route and service

    def apply(self, configuration: RoutingConfiguration, now: float) -> None:
        """Record that a configuration is in force.

        Parameters
        ----------
        configuration : RoutingConfiguration
        now : float
            Seconds.
        """
        before, self._current = self._current, _list_services(configuration)
        for route, services in before.items():
            for service in services - self._current.get(route, frozenset()):
                self._left_at[route, service] = now
        retention_s = self._retention.get_s(now)
        self._left_at = {
            key: at for key, at in self._left_at.items() if now - at <= retention_s
        }

    def list_recent(self, route: str, now: float) -> frozenset[str]:
        """Return the services of a route, now and since an open stream may have begun.

        Parameters
        ----------
        route : str
            Name of the route.
        now : float
            Seconds.
        """
        retention_s = self._retention.get_s(now)
        left = {
            service
            for (name, service), at in self._left_at.items()
            if name == route and now - at <= retention_s
        }
        return self._current.get(route, frozenset()) | left


def _list_services(configuration: RoutingConfiguration) -> dict[str, frozenset[str]]:
    return {
        route.name: frozenset(each.service for each in route.list_used_shares())
        for routes in configuration.routes.values()
        for route in routes
        if route.kind is RequestKind.STREAM
    }
