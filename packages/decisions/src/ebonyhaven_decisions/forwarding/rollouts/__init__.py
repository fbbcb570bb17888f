"""Roll-outs: a service's requests move to another version, step by step.

Decisions without input, output or clock.
"""

from ebonyhaven_decisions.forwarding.rollouts._book import RolloutBook, StoredStage
from ebonyhaven_decisions.forwarding.rollouts._decider import (
    RolloutView,
    compute_validity_s,
    decide_stage,
    is_handover,
)
from ebonyhaven_decisions.forwarding.rollouts._evidence import EvidenceBoard
from ebonyhaven_decisions.forwarding.rollouts._exposure import ExposureLimits
from ebonyhaven_decisions.forwarding.rollouts._gate import RolloutGate
from ebonyhaven_decisions.forwarding.rollouts._route_traffic import (
    TRAFFIC_SPAN_S,
    RouteTraffic,
)
from ebonyhaven_decisions.forwarding.rollouts._stage_codec import (
    decode_order,
    decode_stage,
    encode_order,
    encode_stage,
)
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
    "TRAFFIC_SPAN_S",
    "EvidenceBoard",
    "RolloutGate",
    "ExposureLimits",
    "RolloutBook",
    "RolloutOrder",
    "RolloutStage",
    "RolloutState",
    "RolloutView",
    "RouteTraffic",
    "StoredStage",
    "VersionQuality",
    "VersionVerdict",
    "compute_validity_s",
    "decide_stage",
    "decode_order",
    "decode_stage",
    "encode_order",
    "encode_stage",
    "is_handover",
]
