"""Outcomes that the forwarding path tells callers itself."""

from __future__ import annotations

from ebonyhaven_decisions import Outcome, OutcomeTag, RequestFailure

NOT_READY_RETRY_S = 0.5  # about the time that a start or a restart takes
NO_SERVER_RETRY_S = 0.5  # a third of the time in which a lost server is replaced
LEAVING_RETRY_S = 0.0
PROMISING_STATUSES = frozenset({408, 421, 429, 503})  # callers read "not run"


def refuse(
    reason: str,
    *,
    step: str,
    status: int = 503,
    peer: str = "self",
    retry_after_s: float | None = None,
) -> RequestFailure:
    """Return the failure of a request that was not run and never will be.

    Parameters
    ----------
    reason : str
    step : str
    status : int
    peer : str
    retry_after_s : float or None
        When coming back may help, seconds.

    Returns
    -------
    RequestFailure
    """
    return RequestFailure(
        Outcome(
            tag=OutcomeTag.NOT_RUN,
            step=step,
            peer=peer,
            reason=reason,
            status=status,
            retry_after_s=retry_after_s,
        )
    )


def give_up(reason: str, *, step: str, peer: str, status: int = 502) -> RequestFailure:
    """Return the failure of a request that may have run.

    Parameters
    ----------
    reason : str
    step : str
    peer : str
    status : int

    Returns
    -------
    RequestFailure
    """
    return RequestFailure(
        Outcome(
            tag=OutcomeTag.UNKNOWN, step=step, peer=peer, reason=reason, status=status
        )
    )
