"""Assignment of models to backend servers and the orders that establish it.

Orders are level-triggered: each round compares the desired state with the state
that the servers report, so a later round corrects a lost, late or repeated order.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._declarations import Model, Pool


@attrs.frozen(slots=True, kw_only=True)
class PlacementPolicy:
    """Thresholds for loading and unloading models.

    The pressure on a model is the mean load or, if larger, the mean gap ratio of the
    servers that have it loaded. The gap ratio counts only under load.

    Parameters
    ----------
    high_pressure : float
        Pressure above which a model is loaded on another server.
    low_pressure : float
        Pressure below which a model is unloaded from a server. It is compared with
        the pressure that the remaining servers would have.
    scale_up_after_s : float
        Time for which the pressure must stay high, seconds.
    scale_down_after_s : float
        Time for which the pressure must stay low, seconds.
    """

    high_pressure: float = 0.8
    low_pressure: float = 0.4
    scale_up_after_s: float = 10.0
    scale_down_after_s: float = 120.0


class PlacedServer(NamedTuple):
    """State of a backend server as read from the server.

    Parameters
    ----------
    name, data_centre : str
    models : frozenset of str
        Loaded models.
    variants : frozenset of str
        Loaded adapters and versions, as ``MODEL/NAME``.
    load : float
        Running and waiting sequences divided by the capacity.
    gap_ratio : float
        Gap between tokens divided by the strictest gap target of a class.
    leaving : bool
        Whether the server accepts no new work.
    """

    name: str
    data_centre: str
    models: frozenset[str]
    variants: frozenset[str] = frozenset()
    load: float = 0.0
    gap_ratio: float = 0.0
    leaving: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether no sequence runs or waits on the server."""
        return self.load == 0.0


class OrderKind(enum.StrEnum):
    """Action of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderTarget(enum.StrEnum):
    """Object of an order."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


class Order(NamedTuple):
    """Order to one backend server."""

    server: str
    kind: OrderKind
    target: OrderTarget
    name: str


@attrs.frozen(slots=True, kw_only=True)
class Placement:
    """Desired number of servers of each model, with the state of its adjustment.

    Parameters
    ----------
    counts : dict of str to int
        Desired number of servers by model.
    high_since, low_since : dict of str to float
        Time since which the pressure has been high or low, by model, seconds.
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
    """Return the desired number of servers of each model of a pool.

    A count changes by one at a time, after the pressure has stayed beyond its
    threshold for the time of the policy. It starts at the number of servers that
    have the model loaded.

    Parameters
    ----------
    placement : Placement
        The result of the previous call, or an empty one.
    pool : Pool
        Declared pool.
    servers : sequence of PlacedServer
        All backend servers of the pool.
    policy : PlacementPolicy
        Thresholds.
    now : float
        Time of any monotonic clock, seconds.
    """
    counts: dict[str, int] = {}
    high_since: dict[str, float] = {}
    low_since: dict[str, float] = {}
    usable = [server for server in servers if not server.leaving]
    minimum = _compute_minimum_servers(pool, usable)
    for model in pool.models:
        loaded_servers = [server for server in usable if model in server.models]
        count = max(placement.counts.get(model, len(loaded_servers)), minimum)
        pressure = _measure_pressure(loaded_servers)
        remaining_pressure = (
            pressure * count / (count - 1) if count > 1 else float("inf")
        )
        if pressure > policy.high_pressure:
            high_since[model] = placement.high_since.get(model, now)
        elif remaining_pressure < policy.low_pressure:
            low_since[model] = placement.low_since.get(model, now)
        if now - high_since.get(model, now) >= policy.scale_up_after_s:
            count += 1
            del high_since[model]
        elif now - low_since.get(model, now) >= policy.scale_down_after_s:
            count -= 1
            del low_since[model]
        counts[model] = min(max(count, minimum), len(usable))
    return Placement(counts=counts, high_since=high_since, low_since=low_since)


def list_orders(
    placement: Placement,
    pool: Pool,
    models: Mapping[str, Model],
    servers: Iterable[PlacedServer],
) -> list[Order]:
    """Return the orders that establish the desired state.

    Loads of models come first and unloads last. Each server gets at most one order,
    the first that applies to it. Servers that have a model loaded also load
    its adapters and versions. A model is only unloaded from an idle server, and
    only while enough other servers in the same data centre have it loaded.

    Parameters
    ----------
    placement : Placement
        Desired number of servers by model.
    pool : Pool
        Declared pool.
    models : dict of str to Model
        Declared models.
    servers : iterable of PlacedServer
        All servers of the pool.
    """
    usable = [server for server in servers if not server.leaving]
    orders: dict[str, Order] = {}
    for model in pool.models:
        for order in _list_model_loads(model, placement, pool, usable):
            orders.setdefault(order.server, order)
    for server in usable:
        for order in _list_variant_loads(server, pool, models):
            orders.setdefault(server.name, order)
    for model in pool.models:
        order = _find_unload(model, placement, pool, usable)
        if order is not None:
            orders.setdefault(order.server, order)
    return list(orders.values())


def is_order_applied(order: Order, server: PlacedServer) -> bool:
    """Return whether the state of a server shows the effect of an order."""
    loaded = server.models if order.target is OrderTarget.MODEL else server.variants
    return (order.name in loaded) == (order.kind is OrderKind.LOAD)


def _compute_minimum_servers(pool: Pool, servers: Sequence[PlacedServer]) -> int:
    sizes: dict[str, int] = {}
    for server in servers:
        sizes[server.data_centre] = sizes.get(server.data_centre, 0) + 1
    return sum(min(size, pool.minimum_servers) for size in sizes.values())


def _measure_pressure(loaded_servers: Sequence[PlacedServer]) -> float:
    if not loaded_servers:
        return 0.0
    load = sum(server.load for server in loaded_servers) / len(loaded_servers)
    gap_ratio = sum(server.gap_ratio for server in loaded_servers) / len(loaded_servers)
    return max(load, gap_ratio if load > 0 else 0.0)


def _list_model_loads(
    model: str, placement: Placement, pool: Pool, servers: Sequence[PlacedServer]
) -> list[Order]:
    loaded_servers = [server for server in servers if model in server.models]
    candidates = [server for server in servers if model not in server.models]
    candidates.sort(key=lambda server: (server.load, len(server.models), server.name))
    chosen: list[PlacedServer] = []
    for data_centre in sorted({server.data_centre for server in servers}):
        local_servers = [
            item for item in loaded_servers if item.data_centre == data_centre
        ]
        local_missing = max(0, pool.minimum_servers - len(local_servers))
        local_candidates = [
            item for item in candidates if item.data_centre == data_centre
        ]
        chosen += local_candidates[:local_missing]
    missing = placement.counts.get(model, 0) - len(loaded_servers) - len(chosen)
    remaining = [server for server in candidates if server not in chosen]
    chosen += remaining[: max(0, missing)]
    return [
        Order(server.name, OrderKind.LOAD, OrderTarget.MODEL, model)
        for server in chosen
    ]


def _list_variant_loads(
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
                variant = f"{model}/{name}"
                if variant not in server.variants:
                    orders.append(Order(server.name, OrderKind.LOAD, target, variant))
    return orders


def _find_unload(
    model: str, placement: Placement, pool: Pool, servers: Sequence[PlacedServer]
) -> Order | None:
    loaded_servers = [server for server in servers if model in server.models]
    if len(loaded_servers) <= placement.counts.get(model, len(loaded_servers)):
        return None
    for server in sorted(
        loaded_servers, key=lambda item: (-len(item.models), item.name)
    ):
        local_servers = [
            item for item in loaded_servers if item.data_centre == server.data_centre
        ]
        if server.is_idle and len(local_servers) > pool.minimum_servers:
            return Order(server.name, OrderKind.UNLOAD, OrderTarget.MODEL, model)
    return None
