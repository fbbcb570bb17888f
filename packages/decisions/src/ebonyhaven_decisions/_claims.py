"""Claims: at most one fresh start for a request that must not be repeated.

A claim is a row of the platform's table. It is inserted, and its insertion
confirmed, before the request is dispatched. Only the instance incarnation that
inserted a claim ever dispatches its fresh start, only while the request may wait
to be started, and not after a pause of its process.
There is no takeover of a fresh start: another instance attaches to the run or
answers ``unknown``. A takeover exists for continuations alone; it raises the
epoch of the row, which serves as fence.
"""

from __future__ import annotations

import enum
from typing import TypedDict

import attrs


class ClaimRow(TypedDict):
    """Value of the row ``claims/RUN_ID``.

    ``epoch`` counts from 1; it is raised by each continuation and is the fence
    number of the attempt.
    """

    owner: str
    incarnation: int
    generation: str
    server: str
    epoch: int
    digest: str
    claimed_at_ms: int


class ClaimVerdict(enum.Enum):
    """What an instance may do with a request whose claim it has read."""

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
        Number that differs for each start of the process.
    """

    instance: str
    incarnation: int


def judge_claim(
    row: ClaimRow,
    *,
    claimant: Claimant,
    digest: str,
    inserted_now: bool,
) -> ClaimVerdict:
    """Decide what follows from the claim that stands in the table.

    Parameters
    ----------
    row : ClaimRow
        The row as read or as confirmed.
    claimant : Claimant
        This process.
    digest : str
        Digest of the request at hand.
    inserted_now : bool
        Whether the row was written by the very attempt at hand; a lost
        confirmation counts once it is resolved by reading the row back.

    Returns
    -------
    ClaimVerdict
    """
    if row["digest"] != digest:
        return ClaimVerdict.DIGEST_MISMATCH
    owned = (row["owner"], row["incarnation"]) == (
        claimant.instance,
        claimant.incarnation,
    )
    if inserted_now and owned and row["epoch"] == 1:
        return ClaimVerdict.DISPATCH
    return ClaimVerdict.ATTACH


def may_dispatch(
    *, write_sent_at: float, deadline: float, woke_at: float, now: float
) -> bool:
    """Tell whether a confirmed claim still allows the fresh start.

    Parameters
    ----------
    write_sent_at : float
        Monotonic time at which the claim's write was sent, seconds.
    deadline : float
        Monotonic time until which the request may wait to be started, seconds.
    woke_at : float
        Monotonic time at which this process last woke from a pause, seconds.
    now : float
        Monotonic time immediately before the dispatch, seconds.

    Returns
    -------
    bool
        False after a pause between claim and dispatch, when a caller may have
        been told of the request elsewhere, and once the request is out of time.
    """
    return now <= deadline and woke_at < write_sent_at


def raise_epoch(row: ClaimRow, *, claimant: Claimant, server: str) -> ClaimRow:
    """Return the row for a continuation on another backend server.

    Parameters
    ----------
    row : ClaimRow
        The row as last read; the write is conditional on its version.
    claimant : Claimant
        This process.
    server : str
        Backend server that continues the run.

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
