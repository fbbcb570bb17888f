"""Decision logic of ebonyhaven, without input and output.

Times and random sources are arguments, so each decision is deterministic and can
be tested and benchmarked in isolation.
"""

from __future__ import annotations

from ebonyhaven_decisions import (
    exceptions,
)
from ebonyhaven_decisions._claims import (
    Claimant,
    ClaimDecision,
    ClaimRow,
    build_continuation_claim,
    evaluate_claim,
    may_dispatch,
)
from ebonyhaven_decisions._configuration import (
    ConfigurationView,
    PeerReport,
    apply_peer_report,
    apply_table_entry,
    compute_quorum_size,
)
from ebonyhaven_decisions._configuration_entries import (
    CONFIGURATION_HISTORY_PREFIX,
    CURRENT_CONFIGURATION_KEY,
    MAX_ENTRY_BYTES,
    AcceptanceTransaction,
    ConfigurationEntry,
    CurrentEntry,
    RowCondition,
    RowWrite,
    build_acceptance_transaction,
    format_change_key,
    format_history_key,
    parse_configuration_entry,
)
from ebonyhaven_decisions._crashes import (
    EVIDENCE_TTL_S,
    EVIDENCE_WAIT_S,
    CrashEvidence,
    CrashLedger,
    CrashVerdict,
)
from ebonyhaven_decisions._declaration_checks import (
    DeclarationError,
    DeclarationProblem,
    parse_declaration,
)
from ebonyhaven_decisions._declarations import (
    Declaration,
    DeclarationChange,
    Model,
    Pool,
    PoolKind,
    RequestClass,
    Workspace,
    diff,
)
from ebonyhaven_decisions._detection import (
    DetectionResult,
    FailureDetector,
)
from ebonyhaven_decisions._discovery import (
    Discovery,
)
from ebonyhaven_decisions._dispatching import (
    Dispatcher,
    FailureKind,
)
from ebonyhaven_decisions._document_edits import (
    apply_edits,
    compute_document_checksum,
    list_edits,
)
from ebonyhaven_decisions._documents import (
    MAX_DOCUMENT_DEPTH,
    check_integer,
    check_number,
    check_token,
    decode_document,
    is_field_value,
    parse_count,
    quote,
)
from ebonyhaven_decisions._entries import (
    EntryCandidate,
    EntryList,
    choose_entries,
)
from ebonyhaven_decisions._event_ids import (
    OFFSET_BEFORE_FIRST_TOKEN,
    EventId,
    parse_event_id,
)
from ebonyhaven_decisions._gossip import (
    GossipEntry,
    GossipTable,
)
from ebonyhaven_decisions._leases import (
    LEASE_PREFIX,
    LeaseAction,
    LeaseRow,
    LeaseTiming,
    LeaseView,
    build_lease_row,
    build_release_row,
    confirm_lease,
    decide_lease_action,
    is_held,
    may_order,
    observe_lease,
    parse_lease_row,
)
from ebonyhaven_decisions._limits import (
    ConcurrencyLimit,
    RetryBudget,
)
from ebonyhaven_decisions._link_load import LinkLoad
from ebonyhaven_decisions._listing import Listing
from ebonyhaven_decisions._listing_schedule import (
    READ_INTERVAL_S,
    ListingReadSchedule,
    all_instances_read,
    choose_readers,
)
from ebonyhaven_decisions._load_digests import (
    LoadEntry,
    build_load_digest,
    merge_load_digest,
)
from ebonyhaven_decisions._loads import (
    LoadTable,
)
from ebonyhaven_decisions._member_view import MembershipCounts
from ebonyhaven_decisions._members import (
    MemberRecord,
    MemberState,
    MemberTable,
    merge_records,
)
from ebonyhaven_decisions._membership import (
    TICK_S,
    Membership,
)
from ebonyhaven_decisions._membership_messages import (
    Envelope,
    Heartbeat,
    LoadReport,
    MembershipMessage,
    Probe,
    ProbeAnswer,
    Query,
    QueryAnswer,
    TableAnswer,
    TableRequest,
)
from ebonyhaven_decisions._outcomes import (
    Outcome,
    OutcomeTag,
    RequestFailure,
    downgrade_unproved_outcome,
)
from ebonyhaven_decisions._placement import (
    Order,
    OrderKind,
    OrderTarget,
    PlacedServer,
    Placement,
    PlacementPolicy,
    is_order_applied,
    list_orders,
    update_placement,
)
from ebonyhaven_decisions._policies import (
    ClassPolicy,
    ClassTargets,
    derive_policies,
)
from ebonyhaven_decisions._queueing import (
    FairQueue,
    FifoQueue,
    SubqueueKey,
    WorkQueue,
)
from ebonyhaven_decisions._rendezvous import choose_instances
from ebonyhaven_decisions._rings import (
    NEIGHBOUR_COUNT,
    Rings,
)
from ebonyhaven_decisions._routing import (
    LeastConnectionsRouter,
    LoadAwareRouter,
    Locality,
    RoundRobinRouter,
    Router,
    SlotAllowance,
    has_free_slot,
)
from ebonyhaven_decisions._scheduler import (
    Scheduler,
    SchedulingDecisions,
)
from ebonyhaven_decisions._scheduler_factory import (
    SchedulingAlgorithm,
    build_scheduler,
)
from ebonyhaven_decisions._server_table import (
    ServerTable,
)
from ebonyhaven_decisions._servers import (
    ServerEntry,
    ServerReport,
    ServerState,
)
from ebonyhaven_decisions._suspicion import (
    ResumePlan,
    StreamPace,
    plan_resume,
)
from ebonyhaven_decisions._usage import (
    UsageEntry,
    UsageLedger,
)
from ebonyhaven_decisions._work import (
    Dispatch,
    Refusal,
    RefusalReason,
    ServerChoice,
    WorkItem,
    compute_cost,
)

__all__ = [
    "CONFIGURATION_HISTORY_PREFIX",
    "CURRENT_CONFIGURATION_KEY",
    "EVIDENCE_TTL_S",
    "EVIDENCE_WAIT_S",
    "LEASE_PREFIX",
    "MAX_DOCUMENT_DEPTH",
    "MAX_ENTRY_BYTES",
    "NEIGHBOUR_COUNT",
    "OFFSET_BEFORE_FIRST_TOKEN",
    "READ_INTERVAL_S",
    "TICK_S",
    "AcceptanceTransaction",
    "ClaimDecision",
    "ClaimRow",
    "Claimant",
    "ClassPolicy",
    "ClassTargets",
    "ConcurrencyLimit",
    "ConfigurationEntry",
    "ConfigurationView",
    "CrashEvidence",
    "CrashLedger",
    "CrashVerdict",
    "CurrentEntry",
    "Declaration",
    "DeclarationChange",
    "DeclarationError",
    "DeclarationProblem",
    "DetectionResult",
    "Discovery",
    "Dispatch",
    "Dispatcher",
    "EntryCandidate",
    "EntryList",
    "Envelope",
    "EventId",
    "FailureDetector",
    "FailureKind",
    "FairQueue",
    "FifoQueue",
    "GossipEntry",
    "GossipTable",
    "Heartbeat",
    "LeaseAction",
    "LeaseRow",
    "LeaseTiming",
    "LeaseView",
    "LeastConnectionsRouter",
    "LinkLoad",
    "Listing",
    "ListingReadSchedule",
    "LoadAwareRouter",
    "LoadEntry",
    "LoadReport",
    "LoadTable",
    "Locality",
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "Membership",
    "MembershipCounts",
    "MembershipMessage",
    "Model",
    "Order",
    "OrderKind",
    "OrderTarget",
    "Outcome",
    "OutcomeTag",
    "PeerReport",
    "PlacedServer",
    "Placement",
    "PlacementPolicy",
    "Pool",
    "PoolKind",
    "Probe",
    "ProbeAnswer",
    "Query",
    "QueryAnswer",
    "Refusal",
    "RefusalReason",
    "RequestClass",
    "RequestFailure",
    "ResumePlan",
    "RetryBudget",
    "Rings",
    "RoundRobinRouter",
    "Router",
    "RowCondition",
    "RowWrite",
    "Scheduler",
    "SchedulingAlgorithm",
    "SchedulingDecisions",
    "ServerChoice",
    "ServerEntry",
    "ServerReport",
    "ServerState",
    "ServerTable",
    "SlotAllowance",
    "StreamPace",
    "SubqueueKey",
    "TableAnswer",
    "TableRequest",
    "UsageEntry",
    "UsageLedger",
    "WorkItem",
    "WorkQueue",
    "Workspace",
    "all_instances_read",
    "apply_edits",
    "build_acceptance_transaction",
    "build_continuation_claim",
    "build_lease_row",
    "build_load_digest",
    "build_release_row",
    "build_scheduler",
    "check_integer",
    "check_number",
    "check_token",
    "choose_instances",
    "choose_entries",
    "choose_readers",
    "compute_cost",
    "compute_document_checksum",
    "compute_quorum_size",
    "confirm_lease",
    "decide_lease_action",
    "decode_document",
    "derive_policies",
    "diff",
    "evaluate_claim",
    "exceptions",
    "format_change_key",
    "format_history_key",
    "has_free_slot",
    "is_field_value",
    "is_held",
    "is_order_applied",
    "list_edits",
    "list_orders",
    "may_dispatch",
    "may_order",
    "merge_load_digest",
    "merge_records",
    "observe_lease",
    "apply_peer_report",
    "apply_table_entry",
    "parse_configuration_entry",
    "parse_count",
    "parse_declaration",
    "parse_event_id",
    "parse_lease_row",
    "plan_resume",
    "quote",
    "downgrade_unproved_outcome",
    "update_placement",
]
