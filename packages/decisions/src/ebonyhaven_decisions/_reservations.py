"""Servers and slots that are reserved for urgent classes."""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from typing import NamedTuple

from ebonyhaven_decisions._in_flight import InFlightTable
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerState

DEMAND_MARGIN_DEVIATIONS = 2.0  # standard deviations of a Poisson distribution
MIN_DEMAND_REQUESTS = 0.05
DEDICATED_FILL_SHARE = 0.65
MIN_SERVERS_TO_DEDICATE = 8
MIN_RESERVED_SLOTS_SHARE = 1e-6  # rounded up to one slot of each server
RESERVATION_CACHE_S = 0.25


class Reservation(NamedTuple):
    """Capacity reserved for the classes that are more urgent than a rank.

    Parameters
    ----------
    servers : tuple of ServerState
        Dedicated servers, which less urgent classes avoid.
    server_names : frozenset of str
        Names of `servers`.
    slots_share : float
        Share of the slots of each other server that is reserved.
    """

    servers: tuple[ServerState, ...] = ()
    server_names: frozenset[str] = frozenset()
    slots_share: float = 0.0


NO_RESERVATION = Reservation()


class Reservations:
    """Computes reservations from the recent demand of the urgent classes.

    A model with at least `MIN_SERVERS_TO_DEDICATE` servers is assigned dedicated ones,
    because a small batch steps faster than an almost full one. All instances
    dedicate the same servers, the first ones in a common order. With fewer servers,
    a share of the slots of each one is reserved.

    Parameters
    ----------
    table : ServerTable
    in_flight_requests : InFlightTable
    """

    __slots__ = ("_cache", "_in_flight", "_table")

    def __init__(self, table: ServerTable, in_flight_requests: InFlightTable) -> None:
        self._table = table
        self._in_flight = in_flight_requests
        self._cache: dict[tuple[str, int], tuple[float, Reservation]] = {}

    def read(
        self,
        policies: Mapping[str, ClassPolicy],
        *,
        model: str,
        rank: int,
        instances: int,
        now: float,
    ) -> Reservation:
        """Return the reservation of the classes with a smaller rank.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        model : str
        rank : int
        instances : int
            Number of instances that share the servers; each is assumed to have the
            demand of this one.
        now : float
            Seconds.

        Returns
        -------
        Reservation
        """
        if rank <= 0:
            return NO_RESERVATION
        computed_at, reservation = self._cache.get(
            (model, rank), (-math.inf, NO_RESERVATION)
        )
        if now - computed_at < RESERVATION_CACHE_S:
            return reservation
        urgent_policies = [policy for policy in policies.values() if policy.rank < rank]
        reservation = self._compute(urgent_policies, model, instances, now)
        self._cache[model, rank] = (now, reservation)
        return reservation

    def _compute(
        self, urgent_policies: list[ClassPolicy], model: str, instances: int, now: float
    ) -> Reservation:
        listed = self._table.list_ordered(model)
        if not listed:
            return NO_RESERVATION
        slots = len(listed) * listed[0].capacity
        share = sum(
            self._compute_share(policy, slots, instances, now)
            for policy in urgent_policies
        )
        if len(listed) < MIN_SERVERS_TO_DEDICATE:
            return Reservation(slots_share=max(share, MIN_RESERVED_SLOTS_SHARE))
        max_servers = math.floor(
            len(listed) * sum(each.reserved_share for each in urgent_policies)
        )
        server_count = min(
            math.ceil(len(listed) * share / DEDICATED_FILL_SHARE), max_servers
        )
        available = (
            server
            for server in listed
            if not server.is_leaving and not server.is_suspect(now)
        )
        servers = tuple(itertools.islice(available, server_count))
        return Reservation(
            servers=servers, server_names=frozenset(server.name for server in servers)
        )

    def _compute_share(
        self, policy: ClassPolicy, slots: float, instances: int, now: float
    ) -> float:
        demand = self._in_flight.read_demand(policy.name, now) * instances
        if demand < MIN_DEMAND_REQUESTS:
            return 0.0
        needed_share = (demand + DEMAND_MARGIN_DEVIATIONS * demand**0.5) / slots
        return min(needed_share, policy.reserved_share)
