from __future__ import annotations

import math
import random

from ebonyhaven_decisions import (
    Model,
    Order,
    OrderKind,
    OrderTarget,
    PlacedServer,
    Placement,
    PlacementPolicy,
    Pool,
    PoolKind,
    is_order_applied,
    list_orders,
    update_placement,
)

POLICY = PlacementPolicy()
POOL = Pool(name="drafting", kind=PoolKind.ENGINE, models=("a", "b"))
MODELS = {"a": Model(name="a", versions=("1",)), "b": Model(name="b")}
ROUND_S = 2.0
DATA_CENTRES = ("dc-a", "dc-b")


def make_server(index: int, *models: str, **state) -> PlacedServer:
    variants = frozenset({"a/1"}) if "a" in models else frozenset()
    state = {"variants": variants, **state}
    data_centre = DATA_CENTRES[index % 2]
    return PlacedServer(f"s{index}", data_centre, frozenset(models), **state)


class Deployment:
    """Servers that apply each order before the next round."""

    def __init__(self, count: int):
        self.servers = {f"s{index}": make_server(index, "a") for index in range(count)}
        self.placement = Placement()
        self.orders: list[Order] = []
        self.now = 0.0

    def run_round(self, demand: dict[str, float]) -> None:
        """Distribute the demand over the servers of each model.

        The unit of the demand is the capacity of one server.
        """
        servers = [self.load_server(item, demand) for item in self.servers.values()]
        self.placement = update_placement(
            self.placement, POOL, servers, policy=POLICY, now=self.now
        )
        for order in list_orders(self.placement, POOL, MODELS, servers):
            self.apply_order(order)
        self.now += ROUND_S

    def load_server(
        self, server: PlacedServer, demand: dict[str, float]
    ) -> PlacedServer:
        load = 0.0
        for model in server.models:
            load += demand.get(model, 0.0) / self.count(model)
        return server._replace(load=load)

    def count(self, model: str) -> int:
        return sum(model in item.models for item in self.servers.values())

    def apply_order(self, order: Order) -> None:
        server = self.servers[order.server]
        loaded = server.models if order.target is OrderTarget.MODEL else server.variants
        changed = {order.name}
        loaded = loaded | changed if order.kind is OrderKind.LOAD else loaded - changed
        field = "models" if order.target is OrderTarget.MODEL else "variants"
        self.servers[order.server] = server._replace(**{field: loaded})
        self.orders.append(order)


def test_each_data_centre_gets_the_minimum_servers_of_each_model():
    deployment = Deployment(4)
    for _ in range(5):
        deployment.run_round({})
    data_centres = {
        item.data_centre for item in deployment.servers.values() if "b" in item.models
    }
    assert data_centres == set(DATA_CENTRES)
    assert deployment.count("b") == 2


def test_sustained_pressure_adds_servers_and_sustained_idleness_removes_them():
    deployment = Deployment(8)
    for _ in range(40):
        deployment.run_round({"b": 4.0})
    assert deployment.count("b") >= 5
    for _ in range(1000):
        deployment.run_round({})
    assert deployment.count("b") == 2


def test_oscillating_demand_does_not_move_models():
    deployment = Deployment(8)
    for _ in range(10):
        deployment.run_round({"a": 1.0, "b": 1.0})
    initial_orders = len(deployment.orders)
    rng = random.Random(5)
    for number in range(2000):
        wave = math.sin(2 * math.pi * number / 15)
        demand = 1.2 + 0.8 * wave + rng.uniform(-0.2, 0.2)
        deployment.run_round({"a": 2.4, "b": demand})
    assert len(deployment.orders) - initial_orders <= 8


def test_model_is_unloaded_from_idle_server_only():
    placement = Placement(counts={"a": 2, "b": 0})
    busy = [make_server(index, "a", load=0.1) for index in range(6)]
    pool = Pool(name="p", kind=PoolKind.ENGINE, models=("a",))
    assert list_orders(placement, pool, MODELS, busy) == []
    idle = [*busy[:5], make_server(5, "a")]
    assert list_orders(placement, pool, MODELS, idle) == [
        Order("s5", OrderKind.UNLOAD, OrderTarget.MODEL, "a")
    ]


def test_missing_versions_are_loaded_with_one_order_per_server():
    models = {"a": Model(name="a", versions=("1", "2"), adapters=("x",))}
    pool = Pool(name="p", kind=PoolKind.ENGINE, models=("a",))
    servers = [make_server(0, "a", variants=frozenset())]
    expected = Order("s0", OrderKind.LOAD, OrderTarget.VERSION, "a/1")
    assert list_orders(Placement(), pool, models, servers) == [expected]
    assert not is_order_applied(expected, servers[0])
    loaded = servers[0]._replace(variants=frozenset({"a/1"}))
    assert is_order_applied(expected, loaded)
    assert list_orders(Placement(), pool, models, [loaded])[0].name == "a/2"


def test_leaving_server_gets_no_orders():
    pool = Pool(name="p", kind=PoolKind.ENGINE, models=("a",))
    servers = [make_server(0, leaving=True), make_server(1, "a")]
    assert list_orders(Placement(counts={"a": 2}), pool, MODELS, servers) == []
