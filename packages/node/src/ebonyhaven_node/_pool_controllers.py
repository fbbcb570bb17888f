"""Lease and order controllers of the declared engine pools."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

import attrs
from ebonyhaven_decisions import Declaration, PoolKind
from twisted.internet.defer import Deferred, gatherResults

from ebonyhaven_node._controllers import start_controller
from ebonyhaven_node._leases import Candidacy, LeaseController
from ebonyhaven_node._orders import OrderController, OrderDependencies

CANDIDATES_PER_LEASE = 3


def choose_candidates(lease: str, instances: Iterable[str]) -> list[str]:
    """Return the candidates for a lease, chosen by rendezvous hashing.

    Instances with the same membership view choose the same candidates, and the
    candidates differ between leases. The limit keeps the rate at which lease rows
    are read independent of the number of instances.

    Parameters
    ----------
    lease : str
        Name of the lease.
    instances : iterable of str
        Names of the live instances.

    Returns
    -------
    list of str
        At most `CANDIDATES_PER_LEASE` names.
    """

    def compute_weight(name: str) -> bytes:
        return hashlib.sha256(f"{lease} {name}".encode()).digest()

    return sorted(instances, key=compute_weight)[:CANDIDATES_PER_LEASE]


class RendezvousCandidacy(Candidacy):
    """Selects a few live instances as candidates for each lease.

    Parameters
    ----------
    instance : str
        Name of this instance.
    list_live_instances : callable
        Returns the names of the live instances.
    """

    def __init__(self, instance: str, list_live_instances: Callable[[], Iterable[str]]):
        self._instance = instance
        self._list_live_instances = list_live_instances

    def is_candidate(self, lease: str) -> bool:
        """See `Candidacy.is_candidate`."""
        live_instances = {self._instance, *self._list_live_instances()}
        return self._instance in choose_candidates(lease, live_instances)


@attrs.frozen(slots=True)
class _ControllerPair:
    lease: LeaseController
    orders: OrderController

    def stop(self) -> None:
        self.orders.stop()
        self.lease.stop()

    def release(self) -> Deferred[None]:
        self.orders.stop()
        return Deferred.fromCoroutine(self.lease.release())


class PoolControllers:
    """Starts and stops controllers as the declaration adds and removes pools.

    Parameters
    ----------
    make_lease : callable
        Returns a `LeaseController` for the name of a lease.
    declaration : callable
        Returns the active declaration.
    dependencies : OrderDependencies
    """

    def __init__(
        self,
        *,
        make_lease: Callable[[str], LeaseController],
        declaration: Callable[[], Declaration | None],
        dependencies: OrderDependencies,
    ):
        self._make_lease = make_lease
        self._declaration = declaration
        self._order_dependencies = dependencies
        self._pools: dict[str, _ControllerPair] = {}

    def update(self, declaration: Declaration) -> None:
        """Start and stop controllers to match the engine pools of a declaration.

        Parameters
        ----------
        declaration : Declaration
        """
        declared = {
            pool.name
            for pool in declaration.pools.values()
            if pool.kind is PoolKind.ENGINE
        }
        for name in self._pools.keys() - declared:
            self._pools.pop(name).release()
        for name in declared - self._pools.keys():
            self._pools[name] = self._start(name)

    def stop(self) -> None:
        """Stop all controllers; the leases that are held expire."""
        for pool in self._pools.values():
            pool.stop()
        self._pools = {}

    async def release(self) -> None:
        """Stop all controllers and release the leases that are held."""
        pools, self._pools = self._pools, {}
        await gatherResults([pool.release() for pool in pools.values()])

    def _start(self, name: str) -> _ControllerPair:
        lease = self._make_lease(f"orders-{name}")
        orders = OrderController(
            pool=name,
            lease=lease,
            declaration=self._declaration,
            dependencies=self._order_dependencies,
        )
        start_controller(lease.lease, lease.run())
        start_controller(f"orders of {name}", orders.run())
        return _ControllerPair(lease, orders)
