"""Reads and writes the claims of requests that are not repeatable."""

from __future__ import annotations

import time
import uuid
from collections.abc import Sequence

import attrs
import structlog
from ebonyhaven_decisions import Claimant, ClaimRow, build_continuation_claim
from ebonyhaven_store import (
    Condition,
    Conflict,
    PlatformError,
    Row,
    TableClient,
    Throttled,
    Transaction,
    Unavailable,
    Unconfirmed,
    Write,
)
from twisted.internet import defer, task
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._claim_records import (
    Claim,
    ClaimTimeout,
    ClaimUnavailable,
    format_claim_key,
    make_claim,
)
from ebonyhaven_node._pauses import PauseDetector

BATCH_DELAY_S = 0.01
MAX_BATCH_ROWS = 64
WRITE_RETRY_DELAY_S = 0.1
READ_RETRY_DELAY_S = 0.2
PROBE_INTERVAL_S = 0.5
CLEANUP_DELAY_S = 2.0
MAX_CLEANUP_TRIES = 30

_log = structlog.get_logger()


@attrs.define(slots=True, kw_only=True, eq=False)
class _PendingWrite:
    """A row that is to be written.

    Parameters
    ----------
    key : str
    value : ClaimRow or None
    version : int
        Version that the row must have; 0 for an insert.
    deadline : float
        Monotonic time after which the write is given up, in seconds.
    result : Deferred
        Fires with the `Claim` that the row contains after the write.
    sent_at : float or None
        Monotonic time at which the write was first sent, in seconds.
    is_unconfirmed : bool
        Whether an earlier transaction may have written the row.
    """

    key: str
    value: ClaimRow | None
    version: int
    deadline: float
    result: Deferred
    sent_at: float | None = None
    is_unconfirmed: bool = False


class ClaimStore:
    """Reads and writes claims in the platform's table.

    Writes are batched: those that arrive within `BATCH_DELAY_S`, or while a
    transaction is in flight, share a transaction.

    Parameters
    ----------
    table : TableClient
    claimant : Claimant
        This process.
    pauses : PauseDetector
        Detects pauses of this process.
    reactor : IReactorTime
    """

    def __init__(
        self,
        *,
        table: TableClient,
        claimant: Claimant,
        pauses: PauseDetector,
        reactor: IReactorTime,
    ):
        self._table = table
        self.claimant = claimant
        self.pauses = pauses
        self._reactor = reactor
        self._pending: list[_PendingWrite] = []
        self._is_writing = False
        self._is_available = True
        self._waiters: list[Deferred] = []

    async def wait_available(self, deadline: float) -> None:
        """Wait until the table is available, as far as this process knows.

        Parameters
        ----------
        deadline : float
            Monotonic time after which to give up, in seconds.

        Raises
        ------
        ClaimTimeout
        """
        while not self._is_available:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise ClaimTimeout("the table was out")
            waiter = Deferred()
            self._waiters.append(waiter)
            waiter.addTimeout(remaining_s, self._reactor)
            waiter.addErrback(lambda failure: failure.trap(defer.TimeoutError))
            await waiter

    async def insert(
        self,
        run_id: str,
        *,
        generation: str,
        server: str,
        digest: str,
        deadline: float,
    ) -> Claim:
        """Insert a claim, or return the existing one.

        Parameters
        ----------
        run_id, generation, server, digest : str
            Values of the row.
        deadline : float
            Monotonic time after which to give up, in seconds.

        Returns
        -------
        Claim

        Raises
        ------
        ClaimTimeout
            If the write was neither confirmed nor rejected by the deadline.
        ClaimUnavailable
            If the table is unavailable; nothing was written.
        """
        row = ClaimRow(
            owner=self.claimant.instance,
            incarnation=self.claimant.incarnation,
            generation=generation,
            server=server,
            epoch=1,
            digest=digest,
            claimed_at_ms=int(time.time() * 1000),
        )
        return await self._write(format_claim_key(run_id), row, 0, deadline)

    async def move(
        self, run_id: str, claim: Claim, *, server: str, deadline: float
    ) -> Claim:
        """Take over a claim for a continuation on another backend server.

        Parameters
        ----------
        run_id : str
        claim : Claim
            The claim as last read or written.
        server : str
            Backend server that is to continue the run.
        deadline : float
            Monotonic time after which to give up, in seconds.

        Returns
        -------
        Claim
            Its ``is_acquired`` is False if another instance has changed the row since.

        Raises
        ------
        ClaimTimeout
        """
        row = build_continuation_claim(claim.row, claimant=self.claimant, server=server)
        return await self._write(format_claim_key(run_id), row, claim.version, deadline)

    async def read(self, run_id: str, *, deadline: float) -> Claim | None:
        """Read a claim.

        Parameters
        ----------
        run_id : str
        deadline : float
            Monotonic time after which to give up, in seconds.

        Returns
        -------
        Claim or None

        Raises
        ------
        ClaimTimeout
        """
        key = format_claim_key(run_id)
        while True:
            try:
                found = (await self._table.read_rows([key])).find(key)
            except (Unavailable, Unconfirmed) as error:
                if time.monotonic() + READ_RETRY_DELAY_S > deadline:
                    raise ClaimTimeout(error.reason) from error
                await task.deferLater(self._reactor, READ_RETRY_DELAY_S)
                continue
            if found.value is None:
                return None
            return make_claim(found, is_acquired=False)

    async def withdraw(self, run_id: str, claim: Claim) -> None:
        """Delete a claim of this process for which nothing was dispatched.

        If the deletion fails, the row remains, and a resubmission with the same
        idempotency key is answered with ``unknown``.

        Parameters
        ----------
        run_id : str
        claim : Claim
        """
        await self._delete(format_claim_key(run_id), claim.version)

    async def _delete(self, key: str, version: int) -> None:
        conditions = (Condition(key, version),)
        transaction = Transaction(uuid.uuid4().hex, conditions, (Write(key, None),))
        try:
            await self._table.transact(transaction)
        except PlatformError as error:
            _log.info("claim_left", key=key, reason=error.reason)

    async def _write(
        self, key: str, row: ClaimRow, version: int, deadline: float
    ) -> Claim:
        write = _PendingWrite(
            key=key,
            value=row,
            version=version,
            deadline=deadline,
            result=Deferred(),
        )
        self._pending.append(write)
        if not self._is_writing:
            self._is_writing = True
            self._reactor.callLater(BATCH_DELAY_S, self._start_writing)
        return await write.result

    def _start_writing(self) -> None:
        ensureDeferred(self._write_batches())

    async def _write_batches(self) -> None:
        while self._pending:
            batch = self._take_batch()
            retry_after_s = await self._write_batch(batch)
            unresolved = [write for write in batch if not write.result.called]
            self._pending[:0] = self._drop_expired(unresolved)
            if retry_after_s and self._pending:
                await task.deferLater(self._reactor, retry_after_s)
        self._is_writing = False

    def _take_batch(self) -> list[_PendingWrite]:
        """Remove and return pending writes that have different keys."""
        keys: set[str] = set()
        batch = []
        for write in self._pending:
            if write.key not in keys and len(batch) < MAX_BATCH_ROWS:
                keys.add(write.key)
                batch.append(write)
        self._pending = [write for write in self._pending if write not in batch]
        return batch

    async def _write_batch(self, batch: Sequence[_PendingWrite]) -> float:
        """Send one transaction; return the delay before the next one, in seconds."""
        now = time.monotonic()
        for write in batch:
            if write.sent_at is None:
                write.sent_at = now
        transaction = Transaction(
            uuid.uuid4().hex,
            tuple(Condition(write.key, write.version) for write in batch),
            tuple(Write(write.key, write.value) for write in batch),
        )
        try:
            version = await self._table.transact(transaction)
        except Conflict as conflict:
            self._resolve_conflict(batch, conflict)
            return 0.0
        except Throttled as error:
            return error.retry_after_s
        except Unavailable as error:
            self._mark_unavailable()
            self._fail_unwritten(batch, error)
            return WRITE_RETRY_DELAY_S
        except Unconfirmed:
            self._mark_unavailable()
            for write in batch:
                write.is_unconfirmed = True
            return WRITE_RETRY_DELAY_S
        for write in batch:
            self._resolve(write, Row(write.key, write.value, version), is_acquired=True)
        return 0.0

    def _fail_unwritten(
        self, batch: Sequence[_PendingWrite], error: Unavailable
    ) -> None:
        """Fail the inserts that no transaction can have written."""
        for write in batch:
            if write.version == 0 and not write.is_unconfirmed:
                write.result.errback(ClaimUnavailable(error.reason))

    def _mark_unavailable(self) -> None:
        if self._is_available:
            self._is_available = False
            _log.info("claims_available", available=False)
            ensureDeferred(self._probe())

    async def _probe(self) -> None:
        """Read a row until the table answers, then resume the waiting requests."""
        while True:
            await task.deferLater(self._reactor, PROBE_INTERVAL_S)
            try:
                await self._table.read_rows([format_claim_key("probe")])
                break
            except PlatformError:
                continue
        self._is_available = True
        _log.info("claims_available", available=True)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def _resolve_conflict(
        self, batch: Sequence[_PendingWrite], conflict: Conflict
    ) -> None:
        """Resolve the writes whose rows have changed; the others are retried.

        A changed row that has the written value was written by an earlier
        transaction of this process whose confirmation was lost.
        """
        changed = {row.key: row for row in conflict.rows}
        for write in batch:
            row = changed.get(write.key)
            if row is None:
                continue
            self._resolve(write, row, is_acquired=row.value == write.value)

    def _resolve(self, write: _PendingWrite, row: Row, *, is_acquired: bool) -> None:
        if row.value is None:
            write.result.errback(ClaimTimeout("the claim was withdrawn"))
            return
        claim = make_claim(row, is_acquired=is_acquired, write_sent_at=write.sent_at)
        write.result.callback(claim)

    def _drop_expired(self, writes: Sequence[_PendingWrite]) -> list[_PendingWrite]:
        """Fail the writes whose deadline has passed and return the others."""
        now = time.monotonic()
        remaining = []
        for write in writes:
            if now < write.deadline:
                remaining.append(write)
            else:
                write.result.errback(ClaimTimeout("the table did not confirm in time"))
                if write.version == 0 and write.sent_at is not None:
                    ensureDeferred(self._delete_expired(write))
        return remaining

    async def _delete_expired(self, write: _PendingWrite) -> None:
        """Delete a row whose insert has expired but may still take effect."""
        for _ in range(MAX_CLEANUP_TRIES):
            await task.deferLater(self._reactor, CLEANUP_DELAY_S)
            try:
                row = (await self._table.read_rows([write.key])).find(write.key)
            except (Unavailable, Unconfirmed):
                continue
            if row.value == write.value:
                await self._delete(write.key, row.version)
            return
