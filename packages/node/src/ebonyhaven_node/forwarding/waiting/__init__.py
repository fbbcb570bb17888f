"""Streams that wait for room at model engines, and what instances tell of them."""

from ebonyhaven_node.forwarding.waiting._metrics import WaitingMetrics
from ebonyhaven_node.forwarding.waiting._section import WaitingSection
from ebonyhaven_node.forwarding.waiting._state import (
    EngineRoom,
    ServiceWaiting,
    WaitingState,
)

__all__ = [
    "EngineRoom",
    "ServiceWaiting",
    "WaitingMetrics",
    "WaitingSection",
    "WaitingState",
]
