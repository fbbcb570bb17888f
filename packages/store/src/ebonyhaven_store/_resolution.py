"""Writes whose lost confirmation is resolved by reading back.

An unconfirmed transaction may have been applied, may never be applied, or may
still be on its way. Repeating it settles the matter: it carries a condition on
the row that it writes, so at most one of its copies commits, and whichever
commits keeps the others out.
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
    """How long a write is tried.

    Parameters
    ----------
    deadline : float
        Time in seconds of the clock after which no new attempt starts.
    rng : random.Random
        Source of the jitter between attempts.
    """

    deadline: float
    rng: random.Random


class WriteResult(NamedTuple):
    """A write that is known to have taken effect.

    Parameters
    ----------
    version : int
        Version of the written marker row.
    confirmed_by_read : bool
        True if the answer was lost and the row was read back instead.
    """

    version: int
    confirmed_by_read: bool


def resolve_write(
    table: TableClient,
    transaction: Transaction,
    *,
    marker_key: str,
    clock: Any,
    retry_policy: RetryPolicy,
) -> Deferred[WriteResult]:
    """Apply a transaction and find out whether it took effect.

    Parameters
    ----------
    table : TableClient
        The table to write to.
    transaction : Transaction
        It must hold a condition on ``marker_key`` and a write to it whose value no
        other writer uses.
    marker_key : str
        Key of the row that proves the write, and that nobody overwrites while
        the write is being resolved.
    clock : IReactorTime
        Source of time and delayed calls.
    retry_policy : RetryPolicy
        When to give up.

    Returns
    -------
    Deferred of WriteResult

    Raises
    ------
    Conflict
        Another write won; this one did not and will not take effect.
    Unavailable
        No attempt was ever unconfirmed: nothing was written.
    Unconfirmed
        The deadline passed before the matter could be settled.
    """
    resolution = _Resolution(table, transaction, marker_key, clock, retry_policy)
    return Deferred.fromCoroutine(resolution.run())


class _Resolution:
    """One write being tried until it is settled."""

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
        self._marker = marker_key
        self._clock = clock
        self._limit = retry_policy
        self._value = {item.key: item.value for item in transaction.writes}[marker_key]
        self._doubt: Unconfirmed | None = None

    async def run(self) -> WriteResult:
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            wait_s = delay_s
            try:
                return WriteResult(await self._table.transact(self._transaction), False)
            except Conflict as conflict:
                return self._settle(conflict)
            except Unconfirmed as error:
                self._doubt = error
                failure: Exception = error
            except Throttled as error:
                wait_s = max(delay_s, error.retry_after_s)
                failure = error
            except Unavailable as error:
                failure = error
            wait_s *= self._limit.rng.uniform(0.5, 1.5)
            if self._clock.seconds() + wait_s > self._limit.deadline:
                raise self._doubt or failure
            await task.deferLater(self._clock, wait_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * RETRY_DELAY_FACTOR)

    def _settle(self, conflict: Conflict) -> WriteResult:
        for row in conflict.rows:
            if self._is_own(row):
                return WriteResult(row.version, True)
        raise conflict

    def _is_own(self, row: Row) -> bool:
        return (
            self._doubt is not None
            and row.key == self._marker
            and row.value == self._value
        )
