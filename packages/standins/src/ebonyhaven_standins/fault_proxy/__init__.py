"""Fault-injecting TCP proxy based on Twisted's port forwarding."""

from __future__ import annotations

from ebonyhaven_standins.fault_proxy._faults import FaultKind, LinkFaults
from ebonyhaven_standins.fault_proxy._forwarding import LinkFactory
from ebonyhaven_standins.fault_proxy._http import ControlInterface
from ebonyhaven_standins.fault_proxy._links import Link, LinkTable

__all__ = [
    "ControlInterface",
    "FaultKind",
    "Link",
    "LinkFactory",
    "LinkFaults",
    "LinkTable",
]
