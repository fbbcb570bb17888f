"""Clusters of child processes for tests, the demo and the benchmarks."""

from __future__ import annotations

from ebonyhaven_standins.cluster._addresses import (
    allocate_address,
    derive_loopback_prefix,
)
from ebonyhaven_standins.cluster._cluster import (
    DEFAULT_DATA_CENTRE,
    DEFAULT_MODEL,
    DEFAULT_REGION,
    ENGINE_POOL,
    FAULT_PROXY,
    PLATFORM,
    SERVICE_POOL,
    Cluster,
    derive_process_seed,
    find_binary,
)
from ebonyhaven_standins.cluster._exceptions import ProcessError
from ebonyhaven_standins.cluster._fault_proxy import FaultProxyClient
from ebonyhaven_standins.cluster._platform import PlatformClient
from ebonyhaven_standins.cluster._process_set import ProcessSet
from ebonyhaven_standins.cluster._processes import ChildProcess

__all__ = [
    "DEFAULT_DATA_CENTRE",
    "DEFAULT_MODEL",
    "DEFAULT_REGION",
    "ENGINE_POOL",
    "FAULT_PROXY",
    "PLATFORM",
    "SERVICE_POOL",
    "ChildProcess",
    "Cluster",
    "FaultProxyClient",
    "PlatformClient",
    "ProcessError",
    "ProcessSet",
    "allocate_address",
    "derive_loopback_prefix",
    "derive_process_seed",
    "find_binary",
]
