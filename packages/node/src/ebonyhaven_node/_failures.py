"""Failures that an instance itself reports to callers."""

from __future__ import annotations

from ebonyhaven_decisions import Outcome, OutcomeTag, RequestFailure


def make_failure(
    tag: OutcomeTag,
    step: str,
    reason: str,
    *,
    peer: str = "self",
    status: int = 503,
    retry_after_s: float | None = None,
) -> RequestFailure:
    """Return a failure with the given outcome.

    Parameters
    ----------
    tag, step, reason, peer, status, retry_after_s
        See `Outcome`.

    Returns
    -------
    RequestFailure
    """
    return RequestFailure(
        Outcome(
            tag=tag,
            step=step,
            peer=peer,
            reason=reason,
            status=status,
            retry_after_s=retry_after_s,
        )
    )


def make_not_run_failure(
    reason: str,
    *,
    step: str,
    status: int = 503,
    peer: str = "self",
    retry_after_s: float | None = None,
) -> RequestFailure:
    """Return the failure of a request that was not run and will not be run.

    Parameters
    ----------
    reason, step, status, peer, retry_after_s
        See `Outcome`.

    Returns
    -------
    RequestFailure
    """
    return make_failure(
        OutcomeTag.NOT_RUN,
        step,
        reason,
        peer=peer,
        status=status,
        retry_after_s=retry_after_s,
    )


def make_unknown_failure(
    reason: str, *, step: str, peer: str, status: int = 502
) -> RequestFailure:
    """Return the failure of a request that may have been run.

    Parameters
    ----------
    reason, step, peer, status
        See `Outcome`.

    Returns
    -------
    RequestFailure
    """
    return make_failure(OutcomeTag.UNKNOWN, step, reason, peer=peer, status=status)
