"""Violations of guarantees that the checks detect."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ViolationKind(enum.StrEnum):
    """Guarantee that was violated."""

    MISSING_TOKEN = "missing_token"
    REPEATED_TOKEN = "repeated_token"
    MIXED_ANSWER = "mixed_answer"
    FOREIGN_ANSWER = "foreign_answer"
    FALSE_NOT_RUN = "false_not_run"
    SECOND_RUN = "second_run"
    WORK_AFTER_LEAVING = "work_after_leaving"
    CUT_BY_SHUTDOWN = "cut_by_shutdown"
    CONFIGURATION_REVERTED = "configuration_reverted"
    CONFIGURATION_LATE = "configuration_late"
    UNTAGGED_ERROR = "untagged_error"


class Violation(NamedTuple):
    """One violated guarantee.

    ``subject`` is the key of a request or the name of a server or instance; ``count``
    is the number of affected tokens, runs or events.
    """

    kind: ViolationKind
    subject: str
    detail: str
    count: int = 1
