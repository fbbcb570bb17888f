"""Roll-outs of software versions: timers, messages, writes and log lines."""

from ebonyhaven_node.forwarding.rollouts._assembly import RolloutParts
from ebonyhaven_node.forwarding.rollouts._controller import RolloutController
from ebonyhaven_node.forwarding.rollouts._recorder import RolloutRecorder
from ebonyhaven_node.forwarding.rollouts._section import (
    EvidenceSection,
    build_evidence_board,
)
from ebonyhaven_node.forwarding.rollouts._stage_section import StageSection

__all__ = [
    "EvidenceSection",
    "RolloutController",
    "RolloutParts",
    "RolloutRecorder",
    "StageSection",
    "build_evidence_board",
]
