"""Decision logic of ebonyhaven, free of input and output.

Clocks and random sources are passed in as arguments, so each decision can be
read, tested and measured alone.
"""

from __future__ import annotations

from ebonyhaven_decisions._contacts import Contacts
from ebonyhaven_decisions._detection import Detector, Findings
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
from ebonyhaven_decisions._rings import Rings

__all__ = [
    "Contacts",
    "Detector",
    "Envelope",
    "Findings",
    "Heartbeat",
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
    "Probe",
    "ProbeAnswer",
    "Query",
    "QueryAnswer",
    "RequestFailure",
    "Rings",
    "TICK_S",
    "TableAnswer",
    "TableRequest",
    "merge_records",
]
