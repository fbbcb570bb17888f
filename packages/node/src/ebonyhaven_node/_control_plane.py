"""Builds the controllers of configuration, leases and orders of a node."""

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
    """What the controllers are built from.

    Parameters
    ----------
    owner : LeaseIdentity
        This instance.
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
    parts: ControlPlaneDependencies, stack: contextlib.ExitStack
) -> PoolControllers:
    """Start the controllers; closing the stack stops them.

    Parameters
    ----------
    parts : ControlPlaneDependencies
    stack : contextlib.ExitStack

    Returns
    -------
    PoolControllers
        To release the leases that are held when the node leaves.
    """
    pools = _build_pool_controllers(parts)
    stack.callback(pools.stop)
    parts.configuration.observe(pools.update)
    configuration = _build_configuration(parts)
    stack.callback(configuration.stop)
    start_controller("configuration", configuration.run())
    return pools


def _build_configuration(parts: ControlPlaneDependencies) -> ConfigurationController:
    controller = ConfigurationController(
        table=TableClient(parts.transport),
        configuration=parts.configuration,
        incarnation=parts.owner.incarnation,
        reactor=parts.reactor,
        rng=parts.rng,
        metrics=ConfigurationMetrics(parts.registry),
    )
    peers = MembershipPeers(
        controller=controller,
        membership=parts.membership,
        channels=parts.channels,
        servers=parts.servers,
    )
    controller.connect_peers(peers)
    return controller


def _build_pool_controllers(parts: ControlPlaneDependencies) -> PoolControllers:
    metrics = LeaseMetrics(parts.registry)
    candidacy = RendezvousCandidacy(
        parts.owner.name, lambda: _list_live_names(parts.membership)
    )

    def make_lease(lease: str) -> LeaseController:
        return LeaseController(
            lease=lease,
            owner=parts.owner,
            table=TableClient(parts.transport),
            reactor=parts.reactor,
            rng=parts.rng,
            candidacy=candidacy,
            metrics=metrics,
        )

    return PoolControllers(
        make_lease=make_lease,
        declaration=lambda: parts.configuration.declaration,
        parts=OrderDependencies(
            servers=parts.servers,
            weights=WeightClient(parts.transport),
            reactor=parts.reactor,
            rng=parts.rng,
            metrics=OrderMetrics(parts.registry),
        ),
    )


def _list_live_names(membership: MembershipController) -> list[str]:
    return [
        record.name for record in membership.members if record.state == MemberState.LIVE
    ]
