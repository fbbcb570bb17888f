"""Decision logic of ebonyhaven, free of input and output.

Clocks and random sources are passed in as arguments, so each decision can be
read, tested and measured alone.
"""

from __future__ import annotations

from ebonyhaven_decisions._assembly import Scheduling, build_scheduler
from ebonyhaven_decisions._contacts import Contacts
from ebonyhaven_decisions._detection import Detector, Findings
from ebonyhaven_decisions._dispatching import Dispatcher, FailureKind
from ebonyhaven_decisions._entries import EntryCandidate, EntryList, choose_entries
from ebonyhaven_decisions._gossip import GossipEntry, GossipTable
from ebonyhaven_decisions._limits import ConcurrencyLimit, RetryBudget
from ebonyhaven_decisions._load_digests import (
    LoadEntry,
    build_load_digest,
    merge_load_digest,
)
from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import (
    MemberRecord,
    MemberState,
    MemberTable,
    merge_records,
)
from ebonyhaven_decisions._membership import TICK_S, Membership, MembershipCounts
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
from ebonyhaven_decisions._outcomes import Outcome, OutcomeTag, RequestFailure
from ebonyhaven_decisions._policies import ClassPolicy, ClassTargets, derive_policies
from ebonyhaven_decisions._queueing import FairQueue, FifoQueue, LaneKey, WorkQueue
from ebonyhaven_decisions._rings import Rings
from ebonyhaven_decisions._routing import (
    LeastConnectionsRouter,
    LoadAwareRouter,
    Place,
    Room,
    RoundRobinRouter,
    Router,
    has_room,
)
from ebonyhaven_decisions._scheduler import Decisions, Scheduler
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import ServerEntry, ServerReport, ServerState
from ebonyhaven_decisions._usage import UsageEntry, UsageLedger
from ebonyhaven_decisions._work import (
    Choice,
    Dispatch,
    Refusal,
    RefusalReason,
    WorkItem,
    compute_cost,
)

__all__ = [
    "Choice",
    "ClassPolicy",
    "ClassTargets",
    "ConcurrencyLimit",
    "Contacts",
    "Decisions",
    "Detector",
    "Dispatch",
    "Dispatcher",
    "EntryCandidate",
    "EntryList",
    "Envelope",
    "FailureKind",
    "FairQueue",
    "FifoQueue",
    "Findings",
    "GossipEntry",
    "GossipTable",
    "Heartbeat",
    "LaneKey",
    "LeastConnectionsRouter",
    "LoadAwareRouter",
    "LoadEntry",
    "LoadReport",
    "LoadTable",
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "Membership",
    "MembershipCounts",
    "MembershipMessage",
    "Outcome",
    "OutcomeTag",
    "Place",
    "Probe",
    "ProbeAnswer",
    "Query",
    "QueryAnswer",
    "Refusal",
    "RefusalReason",
    "RequestFailure",
    "RetryBudget",
    "Rings",
    "Room",
    "RoundRobinRouter",
    "Router",
    "Scheduler",
    "Scheduling",
    "ServerEntry",
    "ServerReport",
    "ServerState",
    "ServerTable",
    "TICK_S",
    "TableAnswer",
    "TableRequest",
    "UsageEntry",
    "UsageLedger",
    "WorkItem",
    "WorkQueue",
    "build_load_digest",
    "build_scheduler",
    "choose_entries",
    "compute_cost",
    "derive_policies",
    "has_room",
    "merge_load_digest",
    "merge_records",
]
