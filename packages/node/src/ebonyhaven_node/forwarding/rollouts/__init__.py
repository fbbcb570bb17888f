"""Roll-outs of software versions: what an instance records and tells the others."""

from ebonyhaven_node.forwarding.rollouts._recorder import RolloutRecorder
from ebonyhaven_node.forwarding.rollouts._section import (
    EvidenceSection,
    build_evidence_board,
)

__all__ = ["EvidenceSection", "RolloutRecorder", "build_evidence_board"]
