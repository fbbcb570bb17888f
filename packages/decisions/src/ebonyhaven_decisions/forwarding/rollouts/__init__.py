"""Roll-outs: a service's requests move to another version, step by step.

Decisions without input, output or clock.
"""

from ebonyhaven_decisions.forwarding.rollouts._evidence import EvidenceBoard
from ebonyhaven_decisions.forwarding.rollouts._gate import RolloutGate
from ebonyhaven_decisions.forwarding.rollouts._stages import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)
from ebonyhaven_decisions.forwarding.rollouts._verdicts import (
    VersionQuality,
    VersionVerdict,
)

__all__ = [
    "EvidenceBoard",
    "RolloutGate",
    "RolloutOrder",
    "RolloutStage",
    "RolloutState",
    "VersionQuality",
    "VersionVerdict",
]
