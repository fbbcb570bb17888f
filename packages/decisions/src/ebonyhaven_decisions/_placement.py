"""Which backend servers hold which models, and the orders that bring it about.

Orders are level-triggered: each round compares what is wanted with what the
servers say, so a lost, late or repeated order is made good by a later round.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._declarations import Model, Pool


@attrs.frozen(slots=True, kw_only=True)
class PlacementPolicy:
    """When models move.

    Parameters
    ----------
    high_pressure : float
        Pressure above which a model gets another server.
    low_pressure : float
        Pressure below which it gives one up, computed for what would be left.
    raise_after_s : float
        Seconds that the pressure must stay high.
    lower_after_s : float
        Seconds that it must stay low.
    """

    high_pressure: float = 0.8
    low_pressure: float = 0.4
    raise_after_s: float = 10.0
    lower_after_s: float = 120.0


class PlacedServer(NamedTuple):
    """A backend server as it was read back.

    Parameters
    ----------
    name, data_centre : str
        Name and place.
    models : frozenset of str
        Models that it has loaded.
    parts : frozenset of str
        Adapters and versions that it has loaded, as ``MODEL/NAME``.
    load : float
        Sequences running and waiting over its capacity.
    pace : float
        Gap between its tokens over the strictest target of a class.
    leaving : bool
        Whether it takes no new work.
    """

    name: str
    data_centre: str
    models: frozenset[str]
    parts: frozenset[str] = frozenset()
    load: float = 0.0
    pace: float = 0.0
    leaving: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits on it."""
        return self.load == 0.0


class OrderKind(enum.StrEnum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderTarget(enum.StrEnum):
    """What an order is about."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


class Order(NamedTuple):
    """One order to one backend server."""

    server: str
    kind: OrderKind
    target: OrderTarget
    name: str


@attrs.frozen(slots=True, kw_only=True)
class Placement:
    """How many servers each model wants, and since when it wants another count.

    Parameters
    ----------
    counts : dict of str to int
        Servers wanted by each model.
    high_since, low_since : dict of str to float
        When the pressure began to be high or low, in seconds.
    """

    counts: Mapping[str, int] = attrs.field(factory=dict)
    high_since: Mapping[str, float] = attrs.field(factory=dict)
    low_since: Mapping[str, float] = attrs.field(factory=dict)


def update_placement(
    placement: Placement,
    pool: Pool,
    servers: Sequence[PlacedServer],
    *,
    policy: PlacementPolicy,
    now: float,
) -> Placement:
    """Return how many servers each model of a pool wants now.

    A count changes by one at a time, after the pressure has stayed beyond its
    bound for the time of the policy; it begins at what the servers hold.

    Parameters
    ----------
    placement : Placement
        The result of the previous call, or an empty one.
    pool : Pool
        The pool as declared.
    servers : sequence of PlacedServer
        All its backend servers.
    policy : PlacementPolicy
        Bounds and times.
    now : float
        Seconds of any steady clock.
    """
    counts: dict[str, int] = {}
    high_since: dict[str, float] = {}
    low_since: dict[str, float] = {}
    usable = [server for server in servers if not server.leaving]
    least = _count_least(pool, usable)
    for model in pool.models:
        holders = [server for server in usable if model in server.models]
        count = max(placement.counts.get(model, len(holders)), least)
        pressure = _measure_pressure(holders)
        rest = pressure * count / (count - 1) if count > 1 else float("inf")
        if pressure > policy.high_pressure:
            high_since[model] = placement.high_since.get(model, now)
        elif rest < policy.low_pressure:
            low_since[model] = placement.low_since.get(model, now)
        if now - high_since.get(model, now) >= policy.raise_after_s:
            count += 1
            del high_since[model]
        elif now - low_since.get(model, now) >= policy.lower_after_s:
            count -= 1
            del low_since[model]
        counts[model] = min(max(count, least), len(usable))
    return Placement(counts=counts, high_since=high_since, low_since=low_since)


def list_orders(
    placement: Placement,
    pool: Pool,
    models: Mapping[str, Model],
    servers: Iterable[PlacedServer],
) -> list[Order]:
    """Return the orders that are still to be given, the most urgent first.

    At most one order goes to a server. Servers that hold a model get its
    adapters and versions. A model is only unloaded from an idle server, and only
    while enough other servers hold it in the same data centre.

    Parameters
    ----------
    placement : Placement
        Servers wanted by each model.
    pool : Pool
        The pool as declared.
    models : dict of str to Model
        Declared models.
    servers : iterable of PlacedServer
        All servers of the pool as read back.
    """
    usable = [server for server in servers if not server.leaving]
    orders: dict[str, Order] = {}
    for model in pool.models:
        for order in _list_model_loads(model, placement, pool, usable):
            orders.setdefault(order.server, order)
    for server in usable:
        for order in _list_part_loads(server, pool, models):
            orders.setdefault(server.name, order)
    for model in pool.models:
        order = _find_unload(model, placement, pool, usable)
        if order is not None:
            orders.setdefault(order.server, order)
    return list(orders.values())


def is_done(order: Order, server: PlacedServer) -> bool:
    """Return whether a server that was read back shows the effect of an order."""
    held = server.models if order.target is OrderTarget.MODEL else server.parts
    return (order.name in held) == (order.kind is OrderKind.LOAD)


def _count_least(pool: Pool, servers: Sequence[PlacedServer]) -> int:
    sizes: dict[str, int] = {}
    for server in servers:
        sizes[server.data_centre] = sizes.get(server.data_centre, 0) + 1
    return sum(min(size, pool.minimum_servers) for size in sizes.values())


def _measure_pressure(holders: Sequence[PlacedServer]) -> float:
    if not holders:
        return 0.0
    load = sum(server.load for server in holders) / len(holders)
    pace = sum(server.pace for server in holders) / len(holders)
    return max(load, pace if load > 0 else 0.0)


def _list_model_loads(
    model: str, placement: Placement, pool: Pool, servers: Sequence[PlacedServer]
) -> list[Order]:
    holders = [server for server in servers if model in server.models]
    lacking = [server for server in servers if model not in server.models]
    lacking.sort(key=lambda server: (server.load, len(server.models), server.name))
    chosen: list[PlacedServer] = []
    for data_centre in sorted({server.data_centre for server in servers}):
        local = [item for item in holders if item.data_centre == data_centre]
        missing = max(0, pool.minimum_servers - len(local))
        near = [item for item in lacking if item.data_centre == data_centre]
        chosen += near[:missing]
    missing = placement.counts.get(model, 0) - len(holders) - len(chosen)
    others = [server for server in lacking if server not in chosen]
    chosen += others[: max(0, missing)]
    return [
        Order(server.name, OrderKind.LOAD, OrderTarget.MODEL, model)
        for server in chosen
    ]


def _list_part_loads(
    server: PlacedServer, pool: Pool, models: Mapping[str, Model]
) -> list[Order]:
    orders = []
    for model in pool.models:
        if model not in server.models or model not in models:
            continue
        declared = models[model]
        groups = (
            (OrderTarget.VERSION, declared.versions),
            (OrderTarget.ADAPTER, declared.adapters),
        )
        for target, names in groups:
            for name in names:
                part = f"{model}/{name}"
                if part not in server.parts:
                    orders.append(Order(server.name, OrderKind.LOAD, target, part))
    return orders


def _find_unload(
    model: str, placement: Placement, pool: Pool, servers: Sequence[PlacedServer]
) -> Order | None:
    holders = [server for server in servers if model in server.models]
    if len(holders) <= placement.counts.get(model, len(holders)):
        return None
    for server in sorted(holders, key=lambda item: (-len(item.models), item.name)):
        local = [item for item in holders if item.data_centre == server.data_centre]
        if server.is_idle and len(local) > pool.minimum_servers:
            return Order(server.name, OrderKind.UNLOAD, OrderTarget.MODEL, model)
    return None
