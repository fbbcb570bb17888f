"""Scenarios: deployments under the load of callers, with injected faults."""

from __future__ import annotations

from ebonyhaven_standins.scenario._deployments import (
    ANALYSIS,
    LOOK_UP,
    Deployment,
    ServerSpec,
    start_deployment,
)
from ebonyhaven_standins.scenario._runner import (
    Arrival,
    Progress,
    Runner,
    Scenario,
    TimedAction,
    kill_busiest_engine,
    kill_busiest_instance,
    terminate_busiest_instance,
)

__all__ = [
    "ANALYSIS",
    "LOOK_UP",
    "Arrival",
    "Deployment",
    "Progress",
    "Runner",
    "Scenario",
    "ServerSpec",
    "TimedAction",
    "kill_busiest_engine",
    "kill_busiest_instance",
    "start_deployment",
    "terminate_busiest_instance",
]
