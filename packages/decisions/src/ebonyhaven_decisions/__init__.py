"""Decision logic of ebonyhaven, without input and output.

Times and random sources are arguments, so each decision is deterministic and can
be tested and benchmarked in isolation. The modules are imported when one of their
names is first used: a process that forwards requests needs less than half of them.
"""

from __future__ import annotations

from ebonyhaven_decisions._lazy_names import attach_names

__getattr__, __dir__, __all__ = attach_names(
    __name__,
    {
        "_claims": (
            "Claimant",
            "ClaimDecision",
            "ClaimRow",
            "build_continuation_claim",
            "evaluate_claim",
            "may_dispatch",
        ),
        "_configuration": (
            "ConfigurationView",
            "PeerReport",
            "apply_peer_report",
            "apply_table_entry",
            "compute_quorum_size",
        ),
        "_configuration_entries": (
            "CONFIGURATION_HISTORY_PREFIX",
            "CURRENT_CONFIGURATION_KEY",
            "MAX_ENTRY_BYTES",
            "AcceptanceTransaction",
            "ConfigurationEntry",
            "CurrentEntry",
            "RowCondition",
            "RowWrite",
            "build_acceptance_transaction",
            "format_change_key",
            "format_history_key",
            "parse_configuration_entry",
        ),
        "_crashes": (
            "EVIDENCE_TTL_S",
            "EVIDENCE_WAIT_S",
            "CrashEvidence",
            "CrashLedger",
            "CrashVerdict",
        ),
        "_declaration_checks": (
            "DeclarationError",
            "DeclarationProblem",
            "parse_declaration",
        ),
        "_declarations": (
            "Declaration",
            "DeclarationChange",
            "Model",
            "Pool",
            "PoolKind",
            "RequestClass",
            "Workspace",
            "diff",
        ),
        "_detection": (
            "DetectionResult",
            "FailureDetector",
        ),
        "_discovery": ("Discovery",),
        "_dispatching": (
            "Dispatcher",
            "FailureKind",
        ),
        "_document_edits": (
            "apply_edits",
            "compute_document_checksum",
            "list_edits",
        ),
        "_documents": (
            "MAX_DOCUMENT_DEPTH",
            "check_integer",
            "check_number",
            "check_token",
            "decode_document",
            "is_field_value",
            "parse_count",
            "quote",
        ),
        "_entries": (
            "EntryCandidate",
            "EntryList",
            "choose_entries",
        ),
        "_event_ids": (
            "OFFSET_BEFORE_FIRST_TOKEN",
            "EventId",
            "parse_event_id",
        ),
        "_gossip": (
            "GossipEntry",
            "GossipTable",
        ),
        "_leases": (
            "LEASE_PREFIX",
            "LeaseAction",
            "LeaseRow",
            "LeaseTiming",
            "LeaseView",
            "build_lease_row",
            "build_release_row",
            "confirm_lease",
            "decide_lease_action",
            "is_held",
            "may_order",
            "observe_lease",
            "parse_lease_row",
        ),
        "_limits": (
            "ConcurrencyLimit",
            "RetryBudget",
        ),
        "_link_load": ("LinkLoad",),
        "_listing": ("Listing",),
        "_listing_schedule": (
            "READ_INTERVAL_S",
            "ListingReadSchedule",
            "all_instances_read",
            "choose_readers",
        ),
        "_load_digests": (
            "LoadEntry",
            "build_load_digest",
            "merge_load_digest",
        ),
        "_loads": ("LoadTable",),
        "_member_view": ("MembershipCounts",),
        "_members": (
            "MemberRecord",
            "MemberState",
            "MemberTable",
            "merge_records",
        ),
        "_membership": (
            "TICK_S",
            "Membership",
        ),
        "_membership_messages": (
            "Envelope",
            "Heartbeat",
            "LoadReport",
            "MembershipMessage",
            "Probe",
            "ProbeAnswer",
            "Query",
            "QueryAnswer",
            "TableAnswer",
            "TableRequest",
        ),
        "_outcomes": (
            "Outcome",
            "OutcomeTag",
            "RequestFailure",
            "downgrade_unproved_outcome",
        ),
        "_placement": (
            "Order",
            "OrderKind",
            "OrderTarget",
            "PlacedServer",
            "Placement",
            "PlacementPolicy",
            "is_order_applied",
            "list_orders",
            "update_placement",
        ),
        "_policies": (
            "ClassPolicy",
            "ClassTargets",
            "derive_policies",
        ),
        "_queueing": (
            "FairQueue",
            "FifoQueue",
            "SubqueueKey",
            "WorkQueue",
        ),
        "_rendezvous": ("choose_instances",),
        "_rings": (
            "NEIGHBOUR_COUNT",
            "Rings",
        ),
        "_routing": (
            "LeastConnectionsRouter",
            "LoadAwareRouter",
            "Locality",
            "RoundRobinRouter",
            "Router",
            "SlotAllowance",
            "has_free_slot",
        ),
        "_scheduler": (
            "Scheduler",
            "SchedulingDecisions",
        ),
        "_scheduler_factory": (
            "SchedulingAlgorithm",
            "build_scheduler",
        ),
        "_server_table": ("ServerTable",),
        "_servers": (
            "ServerEntry",
            "ServerReport",
            "ServerState",
        ),
        "_suspicion": (
            "ResumePlan",
            "StreamPace",
            "plan_resume",
        ),
        "_usage": (
            "UsageEntry",
            "UsageLedger",
        ),
        "_work": (
            "Dispatch",
            "Refusal",
            "RefusalReason",
            "ServerChoice",
            "WorkItem",
            "compute_cost",
        ),
    },
)
