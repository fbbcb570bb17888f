"""What a scenario starts, and its declaration."""

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

LOOK_UP = "look-up"
ANALYSIS = "analysis"


@attrs.frozen(kw_only=True)
class ServerSpec:
    """One backend server.

    Parameters
    ----------
    name : str
        Name of the backend server.
    data_centre : str
        Where it stands.
    options : tuple of str
        Further command line options.
    checks_fence : bool
        Whether it refuses orders with an old fencing number; engines only.
    time_scale : float
        Factor on an engine's times.
    """

    name: str
    data_centre: str
    options: tuple[str, ...] = ()
    checks_fence: bool = True
    time_scale: float = 1.0


@attrs.frozen(kw_only=True)
class Deployment:
    """Processes of a scenario and the declaration they run under.

    Parameters
    ----------
    region : str
        Region of all data centres.
    instances : mapping of str to str
        Data centre of each instance.
    engines : sequence of ServerSpec
        Model engines.
    services : sequence of ServerSpec
        Plain services.
    workspaces : sequence of str
        Names of the workspaces.
    uses_fault_proxy : bool
        Whether instances reach engines by links named ``link-NAME`` of the fault
        proxy, and the platform by links named ``platform-NAME``.
    node_settings : mapping
        Further settings of all instances.
    seed : int
        Seed of all processes.
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
        """Return the declaration with one class of each workload."""
        pools: dict[str, Any] = {
            ENGINE_POOL: {
                "kind": "engine",
                "models": [DEFAULT_MODEL],
                "checks_fence": all(plan.checks_fence for plan in self.engines),
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
    """Start all processes, declare, and wait until everything is ready.

    Parameters
    ----------
    cluster : Cluster
        Where to start them.
    deployment : Deployment
        What to start.

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
    for plan in deployment.engines:
        _start_engine(cluster, deployment, plan)
    for plan in deployment.services:
        cluster.start_service(
            plan.name,
            *plan.options,
            data_centre=plan.data_centre,
            region=deployment.region,
            wait=False,
        )
    for name, data_centre in deployment.instances.items():
        _start_instance(cluster, deployment, name, data_centre)
    cluster.wait_until_ready()
    return version


def _start_engine(cluster: Cluster, deployment: Deployment, plan: ServerSpec) -> None:
    target = cluster.start_engine(
        plan.name,
        *plan.options,
        checks_fence=plan.checks_fence,
        time_scale=plan.time_scale,
        seed=deployment.seed,
        register=False,
        wait=False,
    )
    address = target
    if deployment.uses_fault_proxy:
        address = cluster.add_link(f"link-{plan.name}", target=target)
    cluster.register_server(
        plan.name,
        data_centre=plan.data_centre,
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
