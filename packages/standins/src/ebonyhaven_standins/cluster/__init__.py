"""Starts and steers the real processes of tests, the demo and the bench."""

from __future__ import annotations

from ebonyhaven_standins.cluster._addresses import allocate_address, derive_block
from ebonyhaven_standins.cluster._cluster import (
    DEFAULT_DATA_CENTRE,
    DEFAULT_MODEL,
    DEFAULT_REGION,
    ENGINE_POOL,
    FAULT_PROXY,
    PLATFORM,
    SERVICE_POOL,
    Cluster,
    find_binary,
    mix_seed,
)
from ebonyhaven_standins.cluster._exceptions import ProcessError
from ebonyhaven_standins.cluster._fault_proxy import FaultProxyCaller
from ebonyhaven_standins.cluster._platform import PlatformCaller
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
    "FaultProxyCaller",
    "PlatformCaller",
    "ProcessError",
    "ProcessSet",
    "allocate_address",
    "derive_block",
    "find_binary",
    "mix_seed",
]
