"""Processes that a scenario starts, and the configuration that it declares."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from ebonyhaven_standins.cluster import (
    DEFAULT_MODEL,
    ENGINE_POOL,
    PLATFORM,
    SERVICE_POOL,
    Cluster,
)

# Names of the request classes.
LOOK_UP = "look-up"
ANALYSIS = "analysis"


@attrs.frozen(kw_only=True)
class ServerSpec:
    """Specification of a backend server to start.

    Parameters
    ----------
    name : str
        Name of the backend server.
    data_centre : str
        Data centre in which the backend server is registered.
    options : tuple of str
        Additional command line options of the backend server.
    checks_fence : bool
        Whether an engine rejects orders with a stale fencing number; ignored for
        services.
    time_scale : float
        Factor applied to the processing times of an engine, which is faster below 1;
        ignored for services.
    """

    name: str
    data_centre: str
    options: tuple[str, ...] = ()
    checks_fence: bool = True
    time_scale: float = 1.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Processes of a scenario and the workspaces to declare.

    Parameters
    ----------
    region : str
        Region of all data centres.
    instances : mapping of str to str
        Data centre of each instance by name.
    engines : sequence of ServerSpec
        Model engines.
    services : sequence of ServerSpec
        Plain services.
    workspaces : sequence of str
        Names of the workspaces.
    uses_fault_proxy : bool
        Whether instances connect through links of the fault proxy: to engines
        through ``link-ENGINE``, to the platform through ``platform-INSTANCE``.
    node_settings : mapping
        Additional settings of all instances.
    seed : int
        Seed of engines and instances.
    """

    region: str
    instances: Mapping[str, str]
    engines: Sequence[ServerSpec]
    workspaces: Sequence[str]
    services: Sequence[ServerSpec] = ()
    uses_fault_proxy: bool = False
    node_settings: Mapping[str, Any] = attrs.Factory(dict)
    seed: int = 1

    def make_declaration(self) -> dict[str, Any]:
        """Return a declaration with the classes ``LOOK_UP`` and ``ANALYSIS``."""
        pools: dict[str, Any] = {
            ENGINE_POOL: {
                "kind": "engine",
                "models": [DEFAULT_MODEL],
                "checks_fence": all(spec.checks_fence for spec in self.engines),
            }
        }
        if self.services:
            pools[SERVICE_POOL] = {
                "kind": "service",
                "service": "listings",
                "checks_fence": False,
            }
        return {
            "classes": {
                LOOK_UP: {"first_token_ms": 500, "gap_ms": 62, "resume_ms": 1000},
                ANALYSIS: {
                    "first_token_ms": 8000,
                    "gap_ms": 100,
                    "resume_ms": 2000,
                    "may_wait_ms": 60000,
                    "default": True,
                },
            },
            "models": {DEFAULT_MODEL: {"adapters": [], "versions": ["1"]}},
            "pools": pools,
            "workspaces": {name: {} for name in self.workspaces},
        }


def start_deployment(cluster: Cluster, deployment: Deployment) -> int:
    """Start all processes and wait until they are ready.

    The declaration is written once the platform is ready, before the backend servers
    and instances are started.

    Parameters
    ----------
    cluster : Cluster
        Cluster that starts the processes.
    deployment : Deployment
        Processes to start.

    Returns
    -------
    int
        Version of the configuration.
    """
    cluster.start_platform(wait=False)
    if deployment.uses_fault_proxy:
        cluster.start_fault_proxy(wait=False)
    cluster.wait_until_ready()
    version = cluster.declare(deployment.make_declaration())
    for spec in deployment.engines:
        _start_engine(cluster, deployment, spec)
    for spec in deployment.services:
        cluster.start_service(
            spec.name,
            *spec.options,
            data_centre=spec.data_centre,
            region=deployment.region,
            wait=False,
        )
    for name, data_centre in deployment.instances.items():
        _start_instance(cluster, deployment, name, data_centre)
    cluster.wait_until_ready()
    return version


def _start_engine(cluster: Cluster, deployment: Deployment, spec: ServerSpec) -> None:
    target = cluster.start_engine(
        spec.name,
        *spec.options,
        checks_fence=spec.checks_fence,
        time_scale=spec.time_scale,
        seed=deployment.seed,
        register=False,
        wait=False,
    )
    address = target
    if deployment.uses_fault_proxy:
        address = cluster.add_link(f"link-{spec.name}", target=target)
    cluster.register_server(
        spec.name,
        data_centre=spec.data_centre,
        region=deployment.region,
        address=address,
    )


def _start_instance(
    cluster: Cluster, deployment: Deployment, name: str, data_centre: str
) -> None:
    platform_address = None
    if deployment.uses_fault_proxy:
        target = cluster.addresses[PLATFORM]
        platform_address = cluster.add_link(f"platform-{name}", target=target)
    cluster.start_node(
        name,
        data_centre=data_centre,
        region=deployment.region,
        platform_address=platform_address,
        seed=deployment.seed,
        wait=False,
        **deployment.node_settings,
    )
