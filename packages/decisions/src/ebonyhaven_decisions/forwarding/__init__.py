"""Rules for forwarding requests and streams to backend servers, without I/O."""

from ebonyhaven_decisions.forwarding._backend_limits import BackendLimits
from ebonyhaven_decisions.forwarding._backends import (
    Backend,
    BackendEntry,
    BackendState,
    ServerListVersion,
)
from ebonyhaven_decisions.forwarding._budget import BudgetUse, ServiceRetryBudget
from ebonyhaven_decisions.forwarding._change_feed import (
    MAX_FEED_TIMEOUT_S,
    STANDBY_READERS,
    ChangeFeed,
    MessageAges,
    RecentChanges,
    find_reader_rank,
    list_readers,
)
from ebonyhaven_decisions.forwarding._crash_history import (
    SETTLE_S,
    TRIAL_DELAY_S,
    CrashHistory,
)
from ebonyhaven_decisions.forwarding._departures import DepartedServers
from ebonyhaven_decisions.forwarding._directory import BackendDirectory
from ebonyhaven_decisions.forwarding._engine_loads import (
    SAMPLED_ENGINES,
    EngineLoad,
    SampledEngine,
    choose_sampled_engine,
)
from ebonyhaven_decisions.forwarding._engine_use import (
    USABLE_MEMORY_SHARE,
    EngineUse,
    PeerEngineUse,
    TokenDemand,
    count_queued_prefill_tokens,
    estimate_use,
    fits_in_memory,
    have_room,
    sum_run_tokens,
)
from ebonyhaven_decisions.forwarding._limit_shares import (
    LimitedServer,
    LimitedServerDirectory,
    LimitShares,
    ServerLimiter,
)
from ebonyhaven_decisions.forwarding._loss_codec import (
    decode_loss_report,
    decode_survivals,
    encode_loss_report,
    encode_survivals,
)
from ebonyhaven_decisions.forwarding._losses import LossReport, Traits
from ebonyhaven_decisions.forwarding._permit_limiters import PermitLimiter
from ebonyhaven_decisions.forwarding._permits import (
    PERMIT_TTL_S,
    Permit,
    PermitLedger,
)
from ebonyhaven_decisions.forwarding._placement import (
    choose_copy_holder,
    choose_memory_share,
    is_prompt_admitted,
    rank_engines,
    select_preferred_engines,
    select_replaceable_engines,
)
from ebonyhaven_decisions.forwarding._priorities import choose_engine_priority
from ebonyhaven_decisions.forwarding._progress_traits import (
    EARLY_EVENTS,
    choose_progress_traits,
    list_progress_traits,
)
from ebonyhaven_decisions.forwarding._record_segments import (
    RecordSegments,
    SegmentWrite,
)
from ebonyhaven_decisions.forwarding._refusal_limits import CAUTION_S, RefusalLimiter
from ebonyhaven_decisions.forwarding._request_pacing import (
    CONFIRMATION_TTL_S,
    RequestPacer,
    count_holders,
)
from ebonyhaven_decisions.forwarding._restored_list import merge_restored_list
from ebonyhaven_decisions.forwarding._room_estimates import RoomEstimate
from ebonyhaven_decisions.forwarding._route_services import (
    RouteServices,
    choose_service,
    list_stream_shares,
)
from ebonyhaven_decisions.forwarding._routes import (
    DEFAULT_HEALTH_PATH,
    EngineTraits,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    ServiceShare,
    Workspace,
    group_routes,
)
from ebonyhaven_decisions.forwarding._selection import choose_backend, compute_mean_use
from ebonyhaven_decisions.forwarding._send_obstacles import SendObstacle
from ebonyhaven_decisions.forwarding._server_contact import (
    ServerContact,
    choose_checked_servers,
)
from ebonyhaven_decisions.forwarding._server_limits import NO_LIMITS, ServerLimits
from ebonyhaven_decisions.forwarding._server_rests import MAX_REST_S, ServerRest
from ebonyhaven_decisions.forwarding._server_silence import (
    ServerSilence,
    compute_patience_s,
)
from ebonyhaven_decisions.forwarding._service_versions import ServiceVersions
from ebonyhaven_decisions.forwarding._startup import StateWaitLimits
from ebonyhaven_decisions.forwarding._stream_index import (
    StreamIndex,
    choose_index_instances,
    choose_recorder,
)
from ebonyhaven_decisions.forwarding._stream_records import (
    RunCopyLocation,
    StreamKey,
    StreamLookup,
    StreamRecord,
    decode_stream_record,
    encode_stream_record,
)
from ebonyhaven_decisions.forwarding._stream_retention import StreamRetention
from ebonyhaven_decisions.forwarding._stream_timing import (
    SERVER_PROBE_INTERVAL_S,
    PrefillRate,
    SilenceLimits,
    StreamDurations,
    compute_first_event_limits,
    compute_gap_limits,
    compute_gap_patience_s,
)
from ebonyhaven_decisions.forwarding._version_history import (
    VersionRecord,
    VersionSnapshot,
)
from ebonyhaven_decisions.forwarding.balancing import ServerLoad, ServiceTimes

__all__ = [
    "RouteServices",
    "choose_service",
    "list_stream_shares",
    "CAUTION_S",
    "CONFIRMATION_TTL_S",
    "DEFAULT_HEALTH_PATH",
    "PERMIT_TTL_S",
    "SAMPLED_ENGINES",
    "SERVER_PROBE_INTERVAL_S",
    "SETTLE_S",
    "MAX_FEED_TIMEOUT_S",
    "MAX_REST_S",
    "STANDBY_READERS",
    "TRIAL_DELAY_S",
    "Backend",
    "BackendDirectory",
    "BackendEntry",
    "BackendLimits",
    "BackendState",
    "BudgetUse",
    "ChangeFeed",
    "MessageAges",
    "RecentChanges",
    "CrashHistory",
    "RequestLimits",
    "EngineLoad",
    "EngineTraits",
    "DepartedServers",
    "EngineUse",
    "LimitShares",
    "LimitedServer",
    "LimitedServerDirectory",
    "LossReport",
    "PeerEngineUse",
    "Permit",
    "PermitLedger",
    "PermitLimiter",
    "PrefillRate",
    "NO_LIMITS",
    "RecordSegments",
    "RefusalLimiter",
    "RequestKind",
    "RequestPacer",
    "RoomEstimate",
    "Route",
    "RoutingConfiguration",
    "StreamIndex",
    "StreamRetention",
    "RunCopyLocation",
    "SampledEngine",
    "SegmentWrite",
    "SendObstacle",
    "ServerContact",
    "ServerLimiter",
    "ServerLimits",
    "ServerLoad",
    "ServerListVersion",
    "ServerRest",
    "ServerSilence",
    "Service",
    "ServiceRetryBudget",
    "ServiceShare",
    "ServiceTimes",
    "ServiceVersions",
    "SilenceLimits",
    "StateWaitLimits",
    "StreamDurations",
    "StreamKey",
    "StreamLookup",
    "StreamRecord",
    "TokenDemand",
    "Traits",
    "VersionRecord",
    "VersionSnapshot",
    "Workspace",
    "choose_backend",
    "choose_checked_servers",
    "choose_copy_holder",
    "choose_engine_priority",
    "choose_index_instances",
    "choose_memory_share",
    "choose_progress_traits",
    "list_progress_traits",
    "list_readers",
    "EARLY_EVENTS",
    "USABLE_MEMORY_SHARE",
    "choose_recorder",
    "choose_sampled_engine",
    "compute_first_event_limits",
    "compute_gap_limits",
    "compute_gap_patience_s",
    "compute_patience_s",
    "compute_mean_use",
    "count_holders",
    "count_queued_prefill_tokens",
    "estimate_use",
    "find_reader_rank",
    "fits_in_memory",
    "decode_loss_report",
    "decode_stream_record",
    "decode_survivals",
    "encode_survivals",
    "encode_loss_report",
    "encode_stream_record",
    "group_routes",
    "have_room",
    "rank_engines",
    "is_prompt_admitted",
    "merge_restored_list",
    "select_preferred_engines",
    "select_replaceable_engines",
    "sum_run_tokens",
]
