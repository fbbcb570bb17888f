"""Outcomes of requests that did not complete."""

from __future__ import annotations

import dataclasses
import enum


class OutcomeTag(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Final answer for a request that did not complete.

    Parameters
    ----------
    tag : OutcomeTag
        ``NOT_RUN`` is only used with proof that no backend server ran the request.
        ``FAILED`` means that it ran, ``UNKNOWN`` that it may have run.
    step : str
        Step of request processing at which the error occurred.
    peer : str
        Name of the process involved in that step, or ``"self"``.
    reason : str
        Explanation for the caller, one sentence.
    status : int
        HTTP status code.
    retry_after_s : float or None
        Seconds after which a retry may succeed; None if unknown.
    """

    tag: OutcomeTag
    step: str
    peer: str
    reason: str
    status: int = 503
    retry_after_s: float | None = None


# These steps reject the submission itself, so an earlier one doesn't affect NOT_RUN.
STEPS_BEFORE_ACCEPTANCE = frozenset({"identify", "validate", "deduplicate"})


def downgrade_unproved_outcome(outcome: Outcome, *, first_submission: bool) -> Outcome:
    """Replace ``NOT_RUN`` by ``UNKNOWN`` if an earlier submission may have run.

    An instance only knows that it did not run the request itself. If an earlier
    submission with the same idempotency key may have run on another instance,
    ``NOT_RUN`` is unproved and becomes ``UNKNOWN``, except in
    ``STEPS_BEFORE_ACCEPTANCE``.

    Parameters
    ----------
    outcome : Outcome
        Outcome on this instance.
    first_submission : bool
        Whether no earlier submission with the idempotency key can have run.

    Returns
    -------
    Outcome
    """
    if outcome.tag is not OutcomeTag.NOT_RUN or first_submission:
        return outcome
    if outcome.step in STEPS_BEFORE_ACCEPTANCE:
        return outcome
    reason = f"{outcome.reason}; an earlier submission of this key may have run"
    return dataclasses.replace(outcome, tag=OutcomeTag.UNKNOWN, reason=reason)


class RequestFailure(Exception):
    """Raised when a request does not complete.

    Parameters
    ----------
    outcome : Outcome
        Outcome that is reported to the caller.
    """

    def __init__(self, outcome: Outcome):
        super().__init__(f"{outcome.tag} at {outcome.step}: {outcome.reason}")
        self.outcome = outcome
