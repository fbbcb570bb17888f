"""Controller that gives the backend servers of one pool their orders.

Each round reads back the state of every server and gives the orders that are
still needed, at most one in flight a server. The lease is checked again at the
moment at which an order is written to its connection. An order that a paused
holder sends after its lease has ended is refused by servers that check fencing
numbers; where they ignore them, the next round of the present holder finds its
effect and orders it back.
"""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

import attrs
import structlog
import treq
from ebonyhaven_decisions import (
    Declaration,
    Order,
    OrderKind,
    OrderTarget,
    PlacedServer,
    Placement,
    PlacementPolicy,
    Pool,
    is_order_applied,
    list_orders,
    update_placement,
)
from ebonyhaven_store import PlatformError, WeightClient
from prometheus_client import CollectorRegistry, Counter
from twisted.internet import task
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredSemaphore,
    gatherResults,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._guarded_body import GuardedBody
from ebonyhaven_node._leases import LeaseController, read_clock
from ebonyhaven_node._servers import BackendServer, BackendServers

SHORTEST_ROUND_S = 2.0
READS_PER_S = 5.0
JITTER = 0.2
REQUEST_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 30.0
MAX_CONCURRENT_READS = 8
STATUS_STALE_FENCE = 409

_log = structlog.get_logger()


class OrderMetrics:
    """Metrics of orders to backend servers.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, registry: CollectorRegistry):
        self.orders = Counter(
            "ebonyhaven_orders",
            "Orders to backend servers by kind and result.",
            ["kind", "result"],
            registry=registry,
        )


class ReadBack(NamedTuple):
    """A backend server and what it said of its state.

    Parameters
    ----------
    server : BackendServer
    models : frozenset of str
        Models that it has loaded.
    parts : frozenset of str
        Adapters and versions that it has loaded.
    leaving : bool
        Whether it takes no new work.
    """

    server: BackendServer
    models: frozenset[str]
    parts: frozenset[str]
    leaving: bool


class PendingOrder(NamedTuple):
    """An order whose effect has not been read back yet."""

    order: Order
    sent_at: float


@attrs.frozen(slots=True, kw_only=True)
class OrderParts:
    """What the order controllers of all pools share.

    Parameters
    ----------
    servers : BackendServers
    weights : WeightClient
    reactor : IReactorTime
    rng : random.Random
    metrics : OrderMetrics
    policy : PlacementPolicy
    clock : callable
        Seconds of a steady clock that goes on while the process is paused.
    """

    servers: BackendServers
    weights: WeightClient
    reactor: IReactorTime
    rng: random.Random
    metrics: OrderMetrics
    policy: PlacementPolicy = attrs.field(factory=PlacementPolicy)
    clock: Callable[[], float] = read_clock


class OrderController:
    """Brings the servers of one pool to what demand and declaration want.

    Parameters
    ----------
    pool : str
        Name of the pool.
    lease : LeaseController
        Lease of this pool's orders.
    declaration : callable
        Returns the declaration in force.
    parts : OrderParts
    """

    def __init__(
        self,
        *,
        pool: str,
        lease: LeaseController,
        declaration: Callable[[], Declaration | None],
        parts: OrderParts,
    ):
        self._pool = pool
        self._lease = lease
        self._declaration = declaration
        self._parts = parts
        self._placement = Placement()
        self._pending: dict[str, PendingOrder] = {}
        self._reads = DeferredSemaphore(MAX_CONCURRENT_READS)
        self._stopped = False
        self._waiting: Deferred | None = None

    async def run(self) -> None:
        """Run rounds until `stop` is called."""
        while not self._stopped:
            declaration = self._declaration()
            if self._lease.is_held() and declaration is not None:
                await self._run_round(declaration)
            else:
                self._placement = Placement()
                self._pending = {}
            count = len(self._parts.servers.in_pools([self._pool]))
            round_s = max(SHORTEST_ROUND_S, count / READS_PER_S)
            round_s *= self._parts.rng.uniform(1 - JITTER, 1)
            self._waiting = task.deferLater(self._parts.reactor, round_s)
            try:
                await self._waiting
            except CancelledError:
                return

    def stop(self) -> None:
        """End `run`."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def _run_round(self, declaration: Declaration) -> None:
        pool = declaration.pools.get(self._pool)
        if pool is None:
            return
        read_back = await self._read_states()
        placed = [self._describe(item, declaration) for item in read_back]
        now = self._parts.clock()
        self._placement = update_placement(
            self._placement, pool, placed, policy=self._parts.policy, now=now
        )
        self._settle_pending(placed, now)
        by_name = {item.server.name: item.server for item in read_back}
        for order in list_orders(self._placement, pool, declaration.models, placed):
            if order.server in self._pending:
                continue
            if not await self._may_fetch(order):
                return
            if not await self._send(order, by_name[order.server], pool):
                return

    async def _read_states(self) -> list[ReadBack]:
        servers = self._parts.servers.in_pools([self._pool])
        reads = [
            self._reads.run(lambda item=item: Deferred.fromCoroutine(self._read(item)))
            for item in servers
            if not item.leaving
        ]
        return [item for item in await gatherResults(reads) if item is not None]

    async def _read(self, server: BackendServer) -> ReadBack | None:
        try:
            response = await treq.get(
                f"http://{server.address}/v1/state",
                timeout=REQUEST_TIMEOUT_S,
                reactor=self._parts.reactor,
                persistent=False,
            )
            state = await treq.json_content(response)
            return ReadBack(
                server=server,
                models=frozenset(state["models"]),
                parts=frozenset(state["versions"]) | frozenset(state["adapters"]),
                leaving=bool(state["leaving"]),
            )
        except Exception:  # a server that cannot be read back gets no orders
            return None

    def _describe(self, item: ReadBack, declaration: Declaration) -> PlacedServer:
        server = item.server
        gaps = [each.gap_ms for each in declaration.classes.values()]
        strictest_s = min(gaps, default=float("inf")) / 1000
        return PlacedServer(
            name=server.name,
            data_centre=server.data_centre,
            models=item.models,
            parts=item.parts,
            load=(server.running + server.waiting) / max(1, server.capacity),
            gap_ratio=server.pace_s / strictest_s,
            leaving=item.leaving,
        )

    def _settle_pending(self, placed: list[PlacedServer], now: float) -> None:
        for server in placed:
            pending = self._pending.get(server.name)
            if pending is None:
                continue
            timed_out = now - pending.sent_at > ORDER_TIMEOUT_S
            if timed_out or is_order_applied(pending.order, server):
                del self._pending[server.name]
                result = "timed_out" if timed_out else "done"
                self._parts.metrics.orders.labels(pending.order.kind, result).inc()

    async def _may_fetch(self, order: Order) -> bool:
        """Return whether an order may go out by the weight store's rate."""
        if order.kind is not OrderKind.LOAD:
            return True
        try:
            await self._parts.weights.request_fetch(order.name)
        except PlatformError:
            return False
        return True

    async def _send(self, order: Order, server: BackendServer, pool: Pool) -> bool:
        """Send one order; return whether the round may go on."""
        body = {
            "order_id": uuid.uuid4().hex,
            "kind": order.kind.value,
            "target": OrderTarget(order.target).value,
            "name": order.name,
            "fence": self._lease.fence,
        }
        pause_s = 0.0 if pool.checks_fence else pool.longest_pause_ms / 1000

        def may_order() -> bool:
            return self._lease.may_order(longest_pause_s=pause_s)

        if not may_order():
            return False
        content = GuardedBody(json.dumps(body).encode(), may_order)
        self._pending[server.name] = PendingOrder(order, self._parts.clock())
        try:
            response = await treq.post(
                f"http://{server.address}/v1/orders",
                data=content,
                timeout=REQUEST_TIMEOUT_S,
                reactor=self._parts.reactor,
                persistent=False,
            )
            await treq.content(response)
        except Exception:  # whether it arrived is read back in a later round
            self._parts.metrics.orders.labels(order.kind, "unconfirmed").inc()
            return True
        if response.code == STATUS_STALE_FENCE:
            self._parts.metrics.orders.labels(order.kind, "stale_fence").inc()
            self._lease.step_down()
            return False
        _log.info("order_sent", fence=body["fence"], **order._asdict())
        return True
