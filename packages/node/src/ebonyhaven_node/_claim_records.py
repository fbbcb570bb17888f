"""Claims as read from the table, and the errors of writing them."""

from __future__ import annotations

import time

import attrs
from ebonyhaven_decisions import ClaimRow
from ebonyhaven_store import Row


def format_claim_key(run_id: str) -> str:
    """Return the key of the row that contains a run's claim."""
    return f"claims/{run_id}"


class ClaimTimeout(Exception):
    """Raised when a claim was not confirmed before its deadline.

    The row may exist in the table nevertheless; no request is dispatched for it.
    """


class ClaimUnavailable(Exception):
    """Raised when a claim was not written because the table is unavailable."""


@attrs.frozen(slots=True, kw_only=True)
class Claim:
    """A claim as stored in the table.

    Parameters
    ----------
    row : ClaimRow
    version : int
        Version of the row.
    is_acquired : bool
        Whether the operation that returned the claim wrote the row.
    write_sent_at : float
        Monotonic time at which the write was first sent, in seconds.
    """

    row: ClaimRow
    version: int
    is_acquired: bool
    write_sent_at: float


def make_claim(
    row: Row, *, is_acquired: bool, write_sent_at: float | None = None
) -> Claim:
    """Return the claim that a row contains.

    Parameters
    ----------
    row : Row
    is_acquired : bool
        Whether the present operation wrote the row.
    write_sent_at : float or None
        See `Claim`; None for the present time.

    Returns
    -------
    Claim
    """
    sent_at = time.monotonic() if write_sent_at is None else write_sent_at
    value = ClaimRow(**row.value)
    return Claim(
        row=value,
        version=row.version,
        is_acquired=is_acquired,
        write_sent_at=sent_at,
    )
