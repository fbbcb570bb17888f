"""Claims of requests that must not be repeated, written in groups."""

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

GROUP_DELAY_S = 0.01
MAX_GROUP = 64
RETRY_DELAY_S = 0.1
READ_RETRY_DELAY_S = 0.2
PROBE_PERIOD_S = 0.5
ERASE_DELAY_S = 2.0
ERASE_TRIES = 30

_log = structlog.get_logger()


@attrs.define(slots=True, kw_only=True, eq=False)
class _Pending:
    """One row waiting to be written."""

    key: str
    value: ClaimRow | None
    version: int
    deadline: float
    settled: Deferred
    sent_at: float | None = None
    doubtful: bool = False


class ClaimStore:
    """Writes claims, several in one transaction.

    Parameters
    ----------
    table : TableClient
    claimant : Claimant
        This process.
    pauses : PauseDetector
        Tells when this process last woke from a pause.
    reactor : IReactorTime
        Source of delayed calls.
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
        self._pending: list[_Pending] = []
        self._writing = False
        self._available = True
        self._waiting: list[Deferred] = []

    async def wait_available(self, deadline: float) -> None:
        """Wait until the table takes writes, as far as is known.

        Parameters
        ----------
        deadline : float
            Monotonic time after which to give up, seconds.

        Raises
        ------
        ClaimTimeout
        """
        while not self._available:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise ClaimTimeout("the table was out")
            waiter = Deferred()
            self._waiting.append(waiter)
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
        """Insert a claim, or return the one that stands already.

        Parameters
        ----------
        run_id, generation, server, digest : str
            Values of the row.
        deadline : float
            Monotonic time after which to give up, seconds.

        Returns
        -------
        Claim

        Raises
        ------
        ClaimTimeout
            If the table did not settle it in time.
        ClaimUnavailable
            If the table is out; nothing was written.
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
            The claim as last seen.
        server : str
            Backend server that is to continue the run.
        deadline : float
            Monotonic time after which to give up, seconds.

        Returns
        -------
        Claim
            Not `own` if another instance was first.

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
            Monotonic time after which to give up, seconds.

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
            return make_claim(found, own=False)

    async def withdraw(self, run_id: str, claim: Claim) -> None:
        """Delete an own claim for which nothing was dispatched.

        Where the deletion fails, the row stays and a resubmission of the key is
        told ``unknown``.

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
        pending = _Pending(
            key=key,
            value=row,
            version=version,
            deadline=deadline,
            settled=Deferred(),
        )
        self._pending.append(pending)
        if not self._writing:
            self._writing = True
            self._reactor.callLater(GROUP_DELAY_S, self._start_writing)
        return await pending.settled

    def _start_writing(self) -> None:
        ensureDeferred(self._write_groups())

    async def _write_groups(self) -> None:
        while self._pending:
            group = self._take_group()
            retry_after_s = await self._write_group(group)
            unsettled = [item for item in group if not item.settled.called]
            self._pending[:0] = self._drop_expired(unsettled)
            if retry_after_s and self._pending:
                await task.deferLater(self._reactor, retry_after_s)
        self._writing = False

    def _take_group(self) -> list[_Pending]:
        keys: set[str] = set()
        group = []
        for item in self._pending:
            if item.key not in keys and len(group) < MAX_GROUP:
                keys.add(item.key)
                group.append(item)
        self._pending = [item for item in self._pending if item not in group]
        return group

    async def _write_group(self, group: Sequence[_Pending]) -> float:
        """Try one transaction; return the delay before the next, seconds."""
        now = time.monotonic()
        for item in group:
            if item.sent_at is None:
                item.sent_at = now
        transaction = Transaction(
            uuid.uuid4().hex,
            tuple(Condition(item.key, item.version) for item in group),
            tuple(Write(item.key, item.value) for item in group),
        )
        try:
            version = await self._table.transact(transaction)
        except Conflict as conflict:
            self._settle_conflict(group, conflict)
            return 0.0
        except Throttled as error:
            return error.retry_after_s
        except Unavailable as error:
            self._note_unavailable()
            self._settle_unwritten(group, error)
            return RETRY_DELAY_S
        except Unconfirmed:
            self._note_unavailable()
            for item in group:
                item.doubtful = True
            return RETRY_DELAY_S
        for item in group:
            self._settle(item, Row(item.key, item.value, version), own=True)
        return 0.0

    def _settle_unwritten(self, group: Sequence[_Pending], error: Unavailable) -> None:
        """Give inserts back that were certainly not written."""
        for item in group:
            if item.version == 0 and not item.doubtful:
                item.settled.errback(ClaimUnavailable(error.reason))

    def _note_unavailable(self) -> None:
        if self._available:
            self._available = False
            _log.info("claims_available", available=False)
            ensureDeferred(self._probe())

    async def _probe(self) -> None:
        """Read a row until the table answers, then let requests go on."""
        while True:
            await task.deferLater(self._reactor, PROBE_PERIOD_S)
            try:
                await self._table.read_rows([format_claim_key("probe")])
                break
            except PlatformError:
                continue
        self._available = True
        _log.info("claims_available", available=True)
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.called:
                waiter.callback(None)

    def _settle_conflict(self, group: Sequence[_Pending], conflict: Conflict) -> None:
        """Settle the rows that changed; the others are tried again."""
        changed = {row.key: row for row in conflict.rows}
        for item in group:
            row = changed.get(item.key)
            if row is None:
                continue
            self._settle(item, row, own=row.value == item.value)

    def _settle(self, item: _Pending, row: Row, *, own: bool) -> None:
        if row.value is None:
            item.settled.errback(ClaimTimeout("the claim was withdrawn"))
            return
        claim = make_claim(row, own=own, write_sent_at=item.sent_at)
        item.settled.callback(claim)

    def _drop_expired(self, items: Sequence[_Pending]) -> list[_Pending]:
        now = time.monotonic()
        remaining = []
        for item in items:
            if now < item.deadline:
                remaining.append(item)
            else:
                item.settled.errback(ClaimTimeout("the table did not confirm in time"))
                if item.version == 0 and item.sent_at is not None:
                    ensureDeferred(self._erase(item))
        return remaining

    async def _erase(self, item: _Pending) -> None:
        """Delete a row whose write was given up but may still take effect."""
        for _ in range(ERASE_TRIES):
            await task.deferLater(self._reactor, ERASE_DELAY_S)
            try:
                row = (await self._table.read_rows([item.key])).find(item.key)
            except (Unavailable, Unconfirmed):
                continue
            if row.value == item.value:
                await self._delete(item.key, row.version)
            return
