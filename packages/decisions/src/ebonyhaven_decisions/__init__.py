"""Decision logic of ebonyhaven, free of input and output.

Clocks and random sources are passed in as arguments, so each decision can be
read, tested and measured alone.
"""

from __future__ import annotations

from ebonyhaven_decisions import (
    exceptions,
)
from ebonyhaven_decisions._assembly import (
    Scheduling,
    build_scheduler,
)
from ebonyhaven_decisions._claims import (
    Claimant,
    ClaimRow,
    ClaimVerdict,
    judge_claim,
    may_dispatch,
    raise_epoch,
)
from ebonyhaven_decisions._configuration import (
    ConfigurationView,
    PeerReport,
    count_needed_reports,
    observe_peer,
    observe_table,
)
from ebonyhaven_decisions._configuration_entries import (
    CURRENT_KEY,
    HISTORY_PREFIX,
    MAX_ENTRY_BYTES,
    Acceptance,
    ConfigurationEntry,
    CurrentEntry,
    RowCondition,
    RowWrite,
    name_change_key,
    name_history_key,
    parse_entry,
    propose_entry,
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
from ebonyhaven_decisions._entries import (
    EntryCandidate,
    EntryList,
    choose_entries,
)
from ebonyhaven_decisions._event_ids import (
    BEFORE_FIRST,
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
    LeaseTerms,
    LeaseView,
    confirm_lease,
    decide_lease,
    draft_release,
    draft_row,
    is_held,
    may_order,
    observe_lease,
    parse_lease_row,
)
from ebonyhaven_decisions._limits import (
    ConcurrencyLimit,
    RetryBudget,
)
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
    qualify_outcome,
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
    "Acceptance",
    "BEFORE_FIRST",
    "CURRENT_KEY",
    "ServerChoice",
    "ClaimRow",
    "ClaimVerdict",
    "Claimant",
    "ClassPolicy",
    "ClassTargets",
    "ConcurrencyLimit",
    "ConfigurationEntry",
    "ConfigurationView",
    "Discovery",
    "CrashEvidence",
    "CrashLedger",
    "CrashVerdict",
    "CurrentEntry",
    "SchedulingDecisions",
    "Declaration",
    "DeclarationChange",
    "DeclarationError",
    "DeclarationProblem",
    "FailureDetector",
    "Dispatch",
    "Dispatcher",
    "EVIDENCE_TTL_S",
    "EVIDENCE_WAIT_S",
    "EntryCandidate",
    "EntryList",
    "Envelope",
    "EventId",
    "FailureKind",
    "FairQueue",
    "FifoQueue",
    "DetectionResult",
    "GossipEntry",
    "GossipTable",
    "HISTORY_PREFIX",
    "Heartbeat",
    "LEASE_PREFIX",
    "SubqueueKey",
    "LeaseAction",
    "LeaseRow",
    "LeaseTerms",
    "LeaseView",
    "LeastConnectionsRouter",
    "Listing",
    "ListingReadSchedule",
    "LoadAwareRouter",
    "LoadEntry",
    "LoadReport",
    "LoadTable",
    "MAX_ENTRY_BYTES",
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "Membership",
    "MembershipCounts",
    "MembershipMessage",
    "Model",
    "NEIGHBOUR_COUNT",
    "Order",
    "OrderKind",
    "OrderTarget",
    "Outcome",
    "OutcomeTag",
    "PeerReport",
    "Locality",
    "PlacedServer",
    "Placement",
    "PlacementPolicy",
    "Pool",
    "PoolKind",
    "Probe",
    "ProbeAnswer",
    "Query",
    "QueryAnswer",
    "READ_INTERVAL_S",
    "Refusal",
    "RefusalReason",
    "RequestClass",
    "RequestFailure",
    "ResumePlan",
    "RetryBudget",
    "Rings",
    "SlotAllowance",
    "RoundRobinRouter",
    "Router",
    "RowCondition",
    "RowWrite",
    "Scheduler",
    "Scheduling",
    "ServerEntry",
    "ServerReport",
    "ServerState",
    "ServerTable",
    "StreamPace",
    "TICK_S",
    "TableAnswer",
    "TableRequest",
    "UsageEntry",
    "UsageLedger",
    "WorkItem",
    "WorkQueue",
    "Workspace",
    "build_load_digest",
    "build_scheduler",
    "choose_entries",
    "compute_cost",
    "confirm_lease",
    "count_needed_reports",
    "decide_lease",
    "derive_policies",
    "diff",
    "draft_release",
    "draft_row",
    "all_instances_read",
    "exceptions",
    "has_free_slot",
    "is_order_applied",
    "is_held",
    "judge_claim",
    "list_orders",
    "choose_readers",
    "may_dispatch",
    "may_order",
    "merge_load_digest",
    "merge_records",
    "name_change_key",
    "name_history_key",
    "observe_lease",
    "observe_peer",
    "observe_table",
    "parse_declaration",
    "parse_entry",
    "parse_event_id",
    "parse_lease_row",
    "plan_resume",
    "propose_entry",
    "qualify_outcome",
    "raise_epoch",
    "update_placement",
]
