"""Controller that sends orders to the backend servers of one pool.

Each round reads the state of every server and sends the orders that are still
required, with at most one pending order per server. The lease is checked again
right before an order is written to its connection. If a paused holder still sends
an order after its lease has expired, servers that check fencing numbers reject it.
On servers that ignore them, the current holder detects the effect in its next round
and reverts it with another order.
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
from ebonyhaven_store import PlatformError, WeightClient, make_agent, read_body
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
from ebonyhaven_node._leases import LeaseController, read_boottime_clock
from ebonyhaven_node._servers import BackendServer, BackendServers

MIN_ROUND_INTERVAL_S = 2.0
STATE_READS_PER_S = 5.0
ROUND_JITTER_RATIO = 0.2
REQUEST_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 30.0  # until the reported state shows the effect
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


class ReportedState(NamedTuple):
    """State reported by a backend server.

    Parameters
    ----------
    server : BackendServer
    models : frozenset of str
        Loaded models.
    variants : frozenset of str
        Loaded adapters and versions, as ``MODEL/NAME``.
    leaving : bool
        Whether the server accepts no new work.
    """

    server: BackendServer
    models: frozenset[str]
    variants: frozenset[str]
    leaving: bool


class PendingOrder(NamedTuple):
    """Order whose effect has not been observed yet.

    Parameters
    ----------
    order : Order
    sent_at : float
        Time just before sending, seconds of the clock in `OrderDependencies`.
    """

    order: Order
    sent_at: float


@attrs.frozen(slots=True, kw_only=True)
class OrderDependencies:
    """Objects shared by the order controllers of all pools.

    Parameters
    ----------
    servers : BackendServers
    weights : WeightClient
    reactor : IReactorTime
    rng : random.Random
    metrics : OrderMetrics
    policy : PlacementPolicy
    clock : callable
        Returns seconds of a monotonic clock that also advances while the process
        or the machine is suspended.
    """

    servers: BackendServers
    weights: WeightClient
    reactor: IReactorTime
    rng: random.Random
    metrics: OrderMetrics
    policy: PlacementPolicy = attrs.field(factory=PlacementPolicy)
    clock: Callable[[], float] = read_boottime_clock


class OrderController:
    """Adjusts the servers of one pool to the demand and the declaration.

    Parameters
    ----------
    pool : str
        Name of the pool.
    lease : LeaseController
        Lease that allows its holder to send orders to this pool.
    declaration : callable
        Returns the active declaration.
    dependencies : OrderDependencies
    """

    def __init__(
        self,
        *,
        pool: str,
        lease: LeaseController,
        declaration: Callable[[], Declaration | None],
        dependencies: OrderDependencies,
    ):
        self._pool = pool
        self._lease = lease
        self._declaration = declaration
        self._dependencies = dependencies
        self._placement = Placement()
        self._pending: dict[str, PendingOrder] = {}
        self._read_semaphore = DeferredSemaphore(MAX_CONCURRENT_READS)
        agent = make_agent(dependencies.reactor, connect_timeout_s=REQUEST_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)
        self._stopped = False
        self._pending_delay: Deferred | None = None

    async def run(self) -> None:
        """Run rounds until `stop` is called."""
        while not self._stopped:
            declaration = self._declaration()
            if self._lease.is_held() and declaration is not None:
                await self._run_round(declaration)
            else:
                self._placement = Placement()
                self._pending = {}
            count = len(self._dependencies.servers.list_in_pools([self._pool]))
            round_interval_s = max(MIN_ROUND_INTERVAL_S, count / STATE_READS_PER_S)
            round_interval_s *= self._dependencies.rng.uniform(
                1 - ROUND_JITTER_RATIO, 1
            )
            self._pending_delay = task.deferLater(
                self._dependencies.reactor, round_interval_s
            )
            try:
                await self._pending_delay
            except CancelledError:
                return

    def stop(self) -> None:
        """Stop `run`."""
        self._stopped = True
        if self._pending_delay is not None:
            self._pending_delay.cancel()

    async def _run_round(self, declaration: Declaration) -> None:
        pool = declaration.pools.get(self._pool)
        if pool is None:
            return
        states = await self._read_states()
        placed = [self._build_placed_server(item, declaration) for item in states]
        now = self._dependencies.clock()
        self._placement = update_placement(
            self._placement, pool, placed, policy=self._dependencies.policy, now=now
        )
        self._remove_finished_orders(placed, now)
        by_name = {item.server.name: item.server for item in states}
        for order in list_orders(self._placement, pool, declaration.models, placed):
            if order.server in self._pending:
                continue
            if not await self._request_fetch(order):
                return
            if not await self._send_order(order, by_name[order.server], pool):
                return

    async def _read_states(self) -> list[ReportedState]:
        servers = self._dependencies.servers.list_in_pools([self._pool])
        reads = [
            self._read_semaphore.run(
                lambda item=item: Deferred.fromCoroutine(self._read_state(item))
            )
            for item in servers
            if not item.leaving
        ]
        return [item for item in await gatherResults(reads) if item is not None]

    async def _read_state(self, server: BackendServer) -> ReportedState | None:
        try:
            url = f"http://{server.address}/v1/state"
            _, body = await self._exchange(self._client.get(url))
            state = json.loads(body)
            return ReportedState(
                server=server,
                models=frozenset(state["models"]),
                variants=frozenset(state["versions"]) | frozenset(state["adapters"]),
                leaving=bool(state["leaving"]),
            )
        except Exception:  # no orders are sent to a server whose state is unknown
            return None

    async def _exchange(self, pending_response: Deferred) -> tuple[int, bytes]:
        """Return status and body of a response that arrives in time."""
        pending_response.addTimeout(REQUEST_TIMEOUT_S, self._dependencies.reactor)
        response = await pending_response
        body = read_body(response)
        body.addTimeout(REQUEST_TIMEOUT_S, self._dependencies.reactor)
        return response.code, await body

    def _build_placed_server(
        self, item: ReportedState, declaration: Declaration
    ) -> PlacedServer:
        server = item.server
        gap_targets_ms = [each.gap_ms for each in declaration.classes.values()]
        strictest_gap_s = min(gap_targets_ms, default=float("inf")) / 1000
        return PlacedServer(
            name=server.name,
            data_centre=server.data_centre,
            models=item.models,
            variants=item.variants,
            load=(server.running + server.waiting) / max(1, server.capacity),
            gap_ratio=server.pace_s / strictest_gap_s,
            leaving=item.leaving,
        )

    def _remove_finished_orders(self, placed: list[PlacedServer], now: float) -> None:
        for server in placed:
            pending = self._pending.get(server.name)
            if pending is None:
                continue
            timed_out = now - pending.sent_at > ORDER_TIMEOUT_S
            if timed_out or is_order_applied(pending.order, server):
                del self._pending[server.name]
                result = "timed_out" if timed_out else "done"
                self._dependencies.metrics.orders.labels(
                    pending.order.kind, result
                ).inc()

    async def _request_fetch(self, order: Order) -> bool:
        """Return whether the weight store permits the fetch that an order causes."""
        if order.kind is not OrderKind.LOAD:
            return True
        try:
            await self._dependencies.weights.request_fetch(order.name)
        except PlatformError:
            return False
        return True

    async def _send_order(
        self, order: Order, server: BackendServer, pool: Pool
    ) -> bool:
        """Send one order and return whether to continue the round."""
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
        self._pending[server.name] = PendingOrder(order, self._dependencies.clock())
        try:
            url = f"http://{server.address}/v1/orders"
            status, _ = await self._exchange(self._client.post(url, data=content))
        except Exception:  # a later round reads whether the order was applied
            self._dependencies.metrics.orders.labels(order.kind, "unconfirmed").inc()
            return True
        if status == STATUS_STALE_FENCE:
            self._dependencies.metrics.orders.labels(order.kind, "stale_fence").inc()
            self._lease.step_down()
            return False
        _log.info("order_sent", fence=body["fence"], **order._asdict())
        return True
