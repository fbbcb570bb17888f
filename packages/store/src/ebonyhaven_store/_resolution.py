"""Transactions that are retried until their outcome is known.

An unconfirmed transaction may have been applied, may still be applied later, or may
never be. Retrying it determines which: the transaction has a condition on the row
that it writes, so at most one attempt commits, and all others fail with a conflict
that reports the row as written.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from twisted.internet import task
from twisted.internet.defer import Deferred

from ebonyhaven_store._rows import Row, Transaction
from ebonyhaven_store._table import TableClient
from ebonyhaven_store.exceptions import Conflict, Throttled, Unavailable, Unconfirmed

INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
RETRY_DELAY_FACTOR = 2.0


class RetryPolicy(NamedTuple):
    """Deadline and jitter of the retries of an operation.

    Parameters
    ----------
    deadline : float
        Time in seconds, on the clock of the operation, after which no attempt
        starts.
    rng : random.Random
        Source of the jitter of retry delays.
    """

    deadline: float
    rng: random.Random


class WriteResult(NamedTuple):
    """Result of a transaction that is known to have committed.

    Parameters
    ----------
    version : int
        Version of the written marker row.
    confirmed_by_conflict : bool
        True if the response to the committed attempt was lost and the row in the
        conflict of a later attempt confirmed it.
    """

    version: int
    confirmed_by_conflict: bool


def resolve_write(
    table: TableClient,
    transaction: Transaction,
    *,
    marker_key: str,
    clock: Any,
    retry_policy: RetryPolicy,
) -> Deferred[WriteResult]:
    """Apply a transaction, retrying it until its outcome is known.

    Parameters
    ----------
    table : TableClient
        Table to write to.
    transaction : Transaction
        Must include a condition on ``marker_key`` and a write to it whose value no
        other writer uses.
    marker_key : str
        Key of the row that identifies the writer. Other writers must not overwrite
        the row before the outcome is known.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        Deadline and jitter of the retries.

    Returns
    -------
    Deferred of WriteResult

    Raises
    ------
    Conflict
        Another transaction committed first; this one has not been and will not be
        applied.
    Unavailable
        The deadline passed and no attempt was unconfirmed; nothing was written.
    Unconfirmed
        The deadline passed before the outcome was known.
    """
    resolution = _Resolution(table, transaction, marker_key, clock, retry_policy)
    return Deferred.fromCoroutine(resolution.run())


class _Resolution:
    """Retries of one transaction until its outcome is known."""

    def __init__(
        self,
        table: TableClient,
        transaction: Transaction,
        marker_key: str,
        clock: Any,
        retry_policy: RetryPolicy,
    ):
        self._table = table
        self._transaction = transaction
        self._marker_key = marker_key
        self._clock = clock
        self._retry_policy = retry_policy
        self._value = {item.key: item.value for item in transaction.writes}[marker_key]
        self._unconfirmed_error: Unconfirmed | None = None

    async def run(self) -> WriteResult:
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            wait_s = delay_s
            try:
                return WriteResult(await self._table.transact(self._transaction), False)
            except Conflict as conflict:
                return self._resolve_conflict(conflict)
            except Unconfirmed as error:
                self._unconfirmed_error = error
                last_error: Exception = error
            except Throttled as error:
                wait_s = max(delay_s, error.retry_after_s)
                last_error = error
            except Unavailable as error:
                last_error = error
            wait_s *= self._retry_policy.rng.uniform(0.5, 1.5)
            if self._clock.seconds() + wait_s > self._retry_policy.deadline:
                raise self._unconfirmed_error or last_error
            await task.deferLater(self._clock, wait_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * RETRY_DELAY_FACTOR)

    def _resolve_conflict(self, conflict: Conflict) -> WriteResult:
        for row in conflict.rows:
            if self._was_written_by_earlier_attempt(row):
                return WriteResult(row.version, True)
        raise conflict

    def _was_written_by_earlier_attempt(self, row: Row) -> bool:
        return (
            self._unconfirmed_error is not None
            and row.key == self._marker_key
            and row.value == self._value
        )
