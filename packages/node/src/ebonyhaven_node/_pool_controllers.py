"""Keeps one lease and one order controller for each declared engine pool."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

import attrs
from ebonyhaven_decisions import Declaration, PoolKind
from twisted.internet.defer import Deferred, gatherResults

from ebonyhaven_node._controllers import start_controller
from ebonyhaven_node._leases import Candidacy, LeaseController
from ebonyhaven_node._orders import OrderController, OrderParts

CANDIDATES = 3


def choose_candidates(lease: str, instances: Iterable[str]) -> list[str]:
    """Return the instances that contend for a lease.

    All instances that know the same others choose the same few, different ones
    for different leases, so that the reads of lease rows do not grow with the
    number of instances.

    Parameters
    ----------
    lease : str
        Name of the lease.
    instances : iterable of str
        Names of the live instances.
    """

    def weigh(name: str) -> bytes:
        return hashlib.sha256(f"{lease} {name}".encode()).digest()

    return sorted(instances, key=weigh)[:CANDIDATES]


class MemberCandidacy(Candidacy):
    """Lets a few live instances contend for each lease.

    Parameters
    ----------
    own_name : str
        Name of this instance.
    list_live : callable
        Returns the names of the live instances.
    """

    def __init__(self, own_name: str, list_live: Callable[[], Iterable[str]]):
        self._own_name = own_name
        self._list_live = list_live

    def is_candidate(self, lease: str) -> bool:
        """See `Candidacy.is_candidate`."""
        live = {self._own_name, *self._list_live()}
        return self._own_name in choose_candidates(lease, live)


@attrs.frozen(slots=True)
class _PoolControllers:
    lease: LeaseController
    orders: OrderController

    def stop(self) -> None:
        self.orders.stop()
        self.lease.stop()

    def release(self) -> Deferred[None]:
        self.orders.stop()
        return Deferred.fromCoroutine(self.lease.release())


class PoolControllers:
    """Starts and stops the controllers of engine pools with the declaration.

    Parameters
    ----------
    make_lease : callable
        Returns the `LeaseController` of a lease name.
    declaration : callable
        Returns the declaration in force.
    parts : OrderParts
    """

    def __init__(
        self,
        *,
        make_lease: Callable[[str], LeaseController],
        declaration: Callable[[], Declaration | None],
        parts: OrderParts,
    ):
        self._make_lease = make_lease
        self._declaration = declaration
        self._parts = parts
        self._pools: dict[str, _PoolControllers] = {}

    def update(self, declaration: Declaration) -> None:
        """Run controllers for just the engine pools of a declaration.

        Parameters
        ----------
        declaration : Declaration
        """
        wanted = {
            pool.name
            for pool in declaration.pools.values()
            if pool.kind is PoolKind.ENGINE
        }
        for name in self._pools.keys() - wanted:
            self._pools.pop(name).release()
        for name in wanted - self._pools.keys():
            self._pools[name] = self._start(name)

    def stop(self) -> None:
        """Stop all controllers; the leases held lapse."""
        for pool in self._pools.values():
            pool.stop()
        self._pools = {}

    async def release(self) -> None:
        """Stop all controllers and release the leases held."""
        pools, self._pools = self._pools, {}
        await gatherResults([pool.release() for pool in pools.values()])

    def _start(self, name: str) -> _PoolControllers:
        lease = self._make_lease(f"orders-{name}")
        orders = OrderController(
            pool=name, lease=lease, declaration=self._declaration, parts=self._parts
        )
        start_controller(lease.lease, lease.run())
        start_controller(f"orders of {name}", orders.run())
        return _PoolControllers(lease, orders)
