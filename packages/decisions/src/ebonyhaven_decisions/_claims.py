"""Claims: at-most-once dispatch of requests that are not repeatable.

A claim is a row of the platform's table. Its insertion is confirmed before the
request is dispatched. Only the incarnation that inserted a claim may dispatch the
request for the first time, only before the deadline to start it, and only if its
process was not paused since it sent the write.

Another instance never takes over the first dispatch: it attaches to the run or
reports the outcome ``unknown``. Only a continuation may take over a claim. It
increments the epoch of the row, which is the fencing number of the new attempt.
"""

from __future__ import annotations

import enum
from typing import TypedDict

import attrs


class ClaimRow(TypedDict):
    """Value of the row ``claims/RUN_ID``.

    ``epoch`` starts at 1 and is incremented by each continuation. It is the fencing
    number of the attempt.
    """

    owner: str
    incarnation: int
    generation: str
    server: str
    epoch: int
    digest: str
    claimed_at_ms: int


class ClaimDecision(enum.Enum):
    """What an instance does with a request whose claim it has read."""

    DISPATCH = "dispatch"
    ATTACH = "attach"
    DIGEST_MISMATCH = "digest_mismatch"


@attrs.frozen(slots=True, kw_only=True)
class Claimant:
    """Identity of a node process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Number that is unique to each start of the process.
    """

    instance: str
    incarnation: int


def evaluate_claim(
    row: ClaimRow,
    *,
    claimant: Claimant,
    digest: str,
    inserted_by_submission: bool,
) -> ClaimDecision:
    """Decide whether to dispatch a request, given its claim in the table.

    Parameters
    ----------
    row : ClaimRow
        The row as read from the table, or as written by a confirmed insertion.
    claimant : Claimant
        This process.
    digest : str
        Digest of the request that is being submitted.
    inserted_by_submission : bool
        Whether this submission of the request inserted the row. If the confirmation
        was lost, this is determined by reading the row back.

    Returns
    -------
    ClaimDecision
    """
    if row["digest"] != digest:
        return ClaimDecision.DIGEST_MISMATCH
    is_owner = (row["owner"], row["incarnation"]) == (
        claimant.instance,
        claimant.incarnation,
    )
    if inserted_by_submission and is_owner and row["epoch"] == 1:
        return ClaimDecision.DISPATCH
    return ClaimDecision.ATTACH


def may_dispatch(
    *, write_sent_at: float, deadline: float, pause_ended_at: float, now: float
) -> bool:
    """Return whether a confirmed claim still allows the first dispatch.

    Parameters
    ----------
    write_sent_at : float
        Monotonic time at which the write of the claim was sent, in seconds.
    deadline : float
        Monotonic time until which the request may be started, in seconds.
    pause_ended_at : float
        Monotonic time at which the last pause of this process ended, in seconds;
        negative infinity if there was none.
    now : float
        Monotonic time immediately before the dispatch, in seconds.

    Returns
    -------
    bool
        False after the deadline, and after a pause between claim and dispatch: by
        then another instance may have answered the caller.
    """
    return now <= deadline and pause_ended_at < write_sent_at


def build_continuation_claim(
    row: ClaimRow, *, claimant: Claimant, server: str
) -> ClaimRow:
    """Return the claim row for a continuation on another backend server.

    Parameters
    ----------
    row : ClaimRow
        The row as last read; the write must be conditional on its version.
    claimant : Claimant
        This process, the new owner.
    server : str
        Name of the backend server that continues the run.

    Returns
    -------
    ClaimRow
    """
    continued = dict(row)
    continued["owner"] = claimant.instance
    continued["incarnation"] = claimant.incarnation
    continued["server"] = server
    continued["epoch"] = row["epoch"] + 1
    return ClaimRow(**continued)
