"""Room that is kept free of less urgent classes."""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from typing import NamedTuple

from ebonyhaven_decisions._flights import FlightTable
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerState

DEMAND_SPREAD = 2.0
MIN_DEMAND = 0.05
QUIET_FILL = 0.65
MIN_SERVERS_TO_SET_APART = 8
MIN_RESERVED_SHARE = 1e-6
CACHE_S = 0.25


class Reservation(NamedTuple):
    """What is kept for the classes that are more urgent than a rank.

    Parameters
    ----------
    servers : tuple of ServerState
        Servers that take no less urgent work.
    names : frozenset of str
        Names of `servers`.
    share : float
        Share of the slots of each other server that is kept free.
    """

    servers: tuple[ServerState, ...] = ()
    names: frozenset[str] = frozenset()
    share: float = 0.0


NOTHING = Reservation()


class Reservations:
    """Sizes the reservations by the recent demand of the urgent classes.

    Where there are enough servers, whole ones are set apart: a small batch steps
    faster than a full one with a few places left. All instances set apart the same
    servers, from the front of a common order. Where there are few servers, a share
    of the slots of each is kept.

    Parameters
    ----------
    table : ServerTable
    flights : FlightTable
    """

    __slots__ = ("_cached", "_flights", "_table")

    def __init__(self, table: ServerTable, flights: FlightTable) -> None:
        self._table = table
        self._flights = flights
        self._cached: dict[tuple[str, int], tuple[float, Reservation]] = {}

    def read(
        self,
        policies: Mapping[str, ClassPolicy],
        *,
        model: str,
        rank: int,
        instances: int,
        now: float,
    ) -> Reservation:
        """Return what classes of a smaller rank have reserved.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        model : str
        rank : int
        instances : int
            Instances that share the servers, with a like demand each.
        now : float
            Seconds.

        Returns
        -------
        Reservation
        """
        if rank <= 0:
            return NOTHING
        counted_at, reservation = self._cached.get((model, rank), (-math.inf, NOTHING))
        if now - counted_at < CACHE_S:
            return reservation
        urgent = [policy for policy in policies.values() if policy.rank < rank]
        reservation = self._compute(urgent, model, instances, now)
        self._cached[model, rank] = (now, reservation)
        return reservation

    def _compute(
        self, urgent: list[ClassPolicy], model: str, instances: int, now: float
    ) -> Reservation:
        listed = self._table.list_ordered(model)
        if not listed:
            return NOTHING
        slots = len(listed) * listed[0].capacity
        share = sum(
            self._compute_share(policy, slots, instances, now) for policy in urgent
        )
        if len(listed) < MIN_SERVERS_TO_SET_APART:
            return Reservation(share=max(share, MIN_RESERVED_SHARE))
        most = math.floor(len(listed) * sum(each.reserved_share for each in urgent))
        wanted = min(math.ceil(len(listed) * share / QUIET_FILL), most)
        usable = (
            server
            for server in listed
            if not server.is_leaving and not server.is_suspect(now)
        )
        servers = tuple(itertools.islice(usable, wanted))
        return Reservation(
            servers=servers, names=frozenset(server.name for server in servers)
        )

    def _compute_share(
        self, policy: ClassPolicy, slots: float, instances: int, now: float
    ) -> float:
        demand = self._flights.read_demand(policy.name, now) * instances
        if demand < MIN_DEMAND:
            return 0.0
        needed = (demand + DEMAND_SPREAD * demand**0.5) / slots
        return min(needed, policy.reserved_share)
