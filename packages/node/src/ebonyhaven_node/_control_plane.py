"""Wiring of the configuration, lease and order controllers of a node."""

from __future__ import annotations

import contextlib
import random

import attrs
from ebonyhaven_decisions import MemberState
from ebonyhaven_store import PlatformTransport, TableClient, WeightClient
from prometheus_client import CollectorRegistry
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._channels import Channels
from ebonyhaven_node._configuration import ConfigurationController
from ebonyhaven_node._configuration_metrics import ConfigurationMetrics
from ebonyhaven_node._configuration_peers import MembershipPeers
from ebonyhaven_node._controllers import start_controller
from ebonyhaven_node._leases import LeaseController, LeaseIdentity, LeaseMetrics
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._orders import OrderDependencies, OrderMetrics
from ebonyhaven_node._pool_controllers import PoolControllers, RendezvousCandidacy
from ebonyhaven_node._servers import BackendServers


@attrs.frozen(slots=True, kw_only=True)
class ControlPlaneDependencies:
    """Dependencies of the configuration, lease and order controllers.

    Parameters
    ----------
    owner : LeaseIdentity
        This instance, as the owner of leases.
    transport : PlatformTransport
    membership : MembershipController
    channels : Channels
    servers : BackendServers
    configuration : ActiveConfiguration
    reactor : IReactorTime
    rng : random.Random
    registry : CollectorRegistry
    """

    owner: LeaseIdentity
    transport: PlatformTransport
    membership: MembershipController
    channels: Channels
    servers: BackendServers
    configuration: ActiveConfiguration
    reactor: IReactorTime
    rng: random.Random
    registry: CollectorRegistry


def start_control_plane(
    dependencies: ControlPlaneDependencies, stack: contextlib.ExitStack
) -> PoolControllers:
    """Start the configuration controller and the lease and order controllers.

    Parameters
    ----------
    dependencies : ControlPlaneDependencies
    stack : contextlib.ExitStack
        Closing it stops the controllers.

    Returns
    -------
    PoolControllers
        Controllers of the pools; their `release` releases the leases of this instance.
    """
    pools = _build_pool_controllers(dependencies)
    stack.callback(pools.stop)
    dependencies.configuration.observe(pools.update)
    configuration = _build_configuration_controller(dependencies)
    stack.callback(configuration.stop)
    start_controller("configuration", configuration.run())
    return pools


def _build_configuration_controller(
    dependencies: ControlPlaneDependencies,
) -> ConfigurationController:
    controller = ConfigurationController(
        table=TableClient(dependencies.transport),
        configuration=dependencies.configuration,
        incarnation=dependencies.owner.incarnation,
        reactor=dependencies.reactor,
        rng=dependencies.rng,
        metrics=ConfigurationMetrics(dependencies.registry),
    )
    peers = MembershipPeers(
        controller=controller,
        membership=dependencies.membership,
        channels=dependencies.channels,
        servers=dependencies.servers,
    )
    controller.connect_peers(peers)
    return controller


def _build_pool_controllers(dependencies: ControlPlaneDependencies) -> PoolControllers:
    metrics = LeaseMetrics(dependencies.registry)
    candidacy = RendezvousCandidacy(
        dependencies.owner.name, lambda: _list_live_names(dependencies.membership)
    )

    def make_lease(lease: str) -> LeaseController:
        return LeaseController(
            lease=lease,
            owner=dependencies.owner,
            table=TableClient(dependencies.transport),
            reactor=dependencies.reactor,
            rng=dependencies.rng,
            candidacy=candidacy,
            metrics=metrics,
        )

    return PoolControllers(
        make_lease=make_lease,
        declaration=lambda: dependencies.configuration.declaration,
        dependencies=OrderDependencies(
            servers=dependencies.servers,
            weights=WeightClient(dependencies.transport),
            reactor=dependencies.reactor,
            rng=dependencies.rng,
            metrics=OrderMetrics(dependencies.registry),
        ),
    )


def _list_live_names(membership: MembershipController) -> list[str]:
    return [
        record.name for record in membership.members if record.state == MemberState.LIVE
    ]
