"""Claims as they stand in the table, and why there may be none."""

from __future__ import annotations

import time

import attrs
from ebonyhaven_decisions import ClaimRow
from ebonyhaven_store import Row


def format_claim_key(run_id: str) -> str:
    """Return the key of the row that holds a run's claim."""
    return f"claims/{run_id}"


class ClaimTimeout(Exception):
    """Raised when a claim could not be settled in time.

    A row may stand in the table all the same; nobody will dispatch for it.
    """


class ClaimUnavailable(Exception):
    """Raised when a claim was not written because the table is out."""


@attrs.frozen(slots=True, kw_only=True)
class Claim:
    """A claim as it stands in the table.

    Parameters
    ----------
    row : ClaimRow
    version : int
        Version of the row.
    own : bool
        Whether this very attempt wrote it.
    write_sent_at : float
        Monotonic time at which the write was first sent, seconds.
    """

    row: ClaimRow
    version: int
    own: bool
    write_sent_at: float


def make_claim(row: Row, *, own: bool, write_sent_at: float | None = None) -> Claim:
    """Return the claim that a row holds.

    Parameters
    ----------
    row : Row
    own : bool
        Whether this very attempt wrote it.
    write_sent_at : float or None
        See `Claim`; None for now.

    Returns
    -------
    Claim
    """
    sent_at = time.monotonic() if write_sent_at is None else write_sent_at
    value = ClaimRow(**row.value)
    return Claim(row=value, version=row.version, own=own, write_sent_at=sent_at)
