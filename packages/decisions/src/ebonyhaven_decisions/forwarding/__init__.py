"""Rules for forwarding requests and streams to backend servers, without I/O."""

from ebonyhaven_decisions.forwarding._backends import (
    Backend,
    BackendEntry,
    BackendState,
)
from ebonyhaven_decisions.forwarding._budget import RepeatBudget
from ebonyhaven_decisions.forwarding._directory import BackendDirectory
from ebonyhaven_decisions.forwarding._pace import (
    RECHECK_S,
    AnswerTimes,
    PrefillRate,
    SilenceLimits,
    limit_first_event,
    limit_gap,
)
from ebonyhaven_decisions.forwarding._placement import (
    EngineUse,
    Need,
    PeerUse,
    choose_copy_holder,
    choose_engine,
    count_prompt_tokens,
    has_room,
    is_prompt_admitted,
    rank_engines,
)
from ebonyhaven_decisions.forwarding._routes import (
    CallerLimits,
    EngineTraits,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
    ServiceShare,
    Workspace,
    group_routes,
)
from ebonyhaven_decisions.forwarding._run_places import (
    RunPlace,
    RunPlaces,
    choose_keepers,
)
from ebonyhaven_decisions.forwarding._selection import choose_backend

__all__ = [
    "RECHECK_S",
    "AnswerTimes",
    "Backend",
    "BackendDirectory",
    "BackendEntry",
    "BackendState",
    "CallerLimits",
    "EngineTraits",
    "EngineUse",
    "Need",
    "PeerUse",
    "PrefillRate",
    "RepeatBudget",
    "RequestKind",
    "Route",
    "RoutingConfiguration",
    "RunPlace",
    "RunPlaces",
    "Service",
    "ServiceShare",
    "SilenceLimits",
    "Workspace",
    "choose_backend",
    "choose_copy_holder",
    "choose_engine",
    "choose_keepers",
    "count_prompt_tokens",
    "group_routes",
    "has_room",
    "is_prompt_admitted",
    "limit_first_event",
    "limit_gap",
    "rank_engines",
]
