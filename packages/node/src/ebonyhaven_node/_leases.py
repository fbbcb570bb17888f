"""Controller of one lease in the platform's table."""

from __future__ import annotations

import abc
import contextlib
import random
import time
import uuid
from collections.abc import Callable
from typing import NamedTuple

import structlog
from ebonyhaven_decisions import (
    LEASE_PREFIX,
    LeaseAction,
    LeaseRow,
    LeaseTiming,
    LeaseView,
    build_lease_row,
    build_release_row,
    confirm_lease,
    decide_lease_action,
    is_held,
    may_order,
    observe_lease,
    parse_lease_row,
)
from ebonyhaven_store import (
    Condition,
    Conflict,
    PlatformError,
    Row,
    TableClient,
    Transaction,
    Unconfirmed,
    Write,
)
from prometheus_client import CollectorRegistry, Counter, Gauge
from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._lease_lifecycle import LeaseState, make_lease_lifecycle

STEP_S = 1.0
JITTER = 0.3

_log = structlog.get_logger()


def read_clock() -> float:
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseOwner(NamedTuple):
    """Who contends for a lease: name and incarnation of the instance."""

    name: str
    incarnation: int


class Candidacy(abc.ABC):
    """Says whether this instance contends for a lease that is free."""

    @abc.abstractmethod
    def is_candidate(self, lease: str) -> bool:
        """Return whether to read the lease's row and take it over when free."""


class LeaseMetrics:
    """Metrics of the leases of an instance.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, registry: CollectorRegistry):
        self.held = Gauge(
            "ebonyhaven_lease_held",
            "1 while this instance holds the lease.",
            ["lease"],
            registry=registry,
        )
        self.writes = Counter(
            "ebonyhaven_lease_writes",
            "Writes of lease rows by action and result.",
            ["action", "result"],
            registry=registry,
        )


class _Doubt(NamedTuple):
    """A write whose confirmation was lost, and when it was sent."""

    row: LeaseRow
    sent_at: float


class LeaseController:
    """Acquires, renews and gives up one lease.

    Parameters
    ----------
    lease : str
        Name of the lease.
    owner : LeaseOwner
        This instance.
    table : TableClient
    reactor : IReactorTime
    rng : random.Random
    candidacy : Candidacy
    metrics : LeaseMetrics
    terms : LeaseTiming
    clock : callable
        Seconds of a steady clock that goes on while the process is paused.
    """

    def __init__(
        self,
        *,
        lease: str,
        owner: LeaseOwner,
        table: TableClient,
        reactor: IReactorTime,
        rng: random.Random,
        candidacy: Candidacy,
        metrics: LeaseMetrics,
        terms: LeaseTiming | None = None,
        clock: Callable[[], float] = read_clock,
    ):
        self.lease = lease
        self._key = f"{LEASE_PREFIX}{lease}"
        self._table = table
        self._reactor = reactor
        self._rng = rng
        self._candidacy = candidacy
        self._metrics = metrics
        self._terms = terms or LeaseTiming()
        self._clock = clock
        self._view = LeaseView(owner=owner.name, incarnation=owner.incarnation)
        self._lifecycle = make_lease_lifecycle(self._note_state)
        self._doubt: _Doubt | None = None
        self._stopped = False
        self._waiting: Deferred | None = None

    @property
    def fence(self) -> int:
        """Fencing number of the present term."""
        return self._view.fence

    def is_held(self) -> bool:
        """Return whether this instance holds the lease right now."""
        return is_held(self._view, self._clock())

    def may_order(self, *, longest_pause_s: float) -> bool:
        """Return whether an order may be sent right now.

        Parameters
        ----------
        longest_pause_s : float
            How long an earlier holder may have paused before its last order.
        """
        return may_order(self._view, self._clock(), longest_pause_s=longest_pause_s)

    def step_down(self) -> None:
        """Give the lease up locally, after proof that another one holds it."""
        self._view = LeaseView(
            owner=self._view.owner, incarnation=self._view.incarnation
        )
        self._update_lifecycle()

    async def run(self) -> None:
        """Keep the lease as long as `stop` is not called."""
        while not self._stopped:
            # A lease that can not be read or renewed lapses by itself.
            with contextlib.suppress(PlatformError, ValueError):
                await self._step()
            self._update_lifecycle()
            period_s = STEP_S * self._rng.uniform(1 - JITTER, 1)
            self._waiting = task.deferLater(self._reactor, period_s)
            try:
                await self._waiting
            except CancelledError:
                return

    def stop(self) -> None:
        """End `run`; the lease lapses by itself."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def release(self) -> None:
        """End `run` and let another instance take the lease at once."""
        self.stop()
        if self.is_held():
            with contextlib.suppress(PlatformError, ValueError):
                await self._write_row("release")

    async def _step(self) -> None:
        if not self.is_held():
            if not self._candidacy.is_candidate(self.lease):
                return
            await self._read_row()
        elif self._doubt is not None:
            await self._read_row()
        action = decide_lease_action(self._view, self._terms, self._clock())
        if action is not LeaseAction.WAIT:
            await self._write_row(action.value)

    async def _read_row(self) -> None:
        rows = await self._table.read_rows([self._key])
        self._observe(rows.find(self._key))

    async def _write_row(self, action: str) -> None:
        row = self._draft(action)
        sent_at = self._clock()
        transaction = Transaction(
            uuid.uuid4().hex,
            (Condition(self._key, self._view.row_version),),
            (Write(self._key, row.serialize()),),
        )
        try:
            version = await self._table.transact(transaction)
        except Conflict as conflict:
            self._count(action, "conflict")
            self._observe(conflict.rows[0])
        except Unconfirmed:
            self._count(action, "unconfirmed")
            self._doubt = _Doubt(row, sent_at)
        except PlatformError:
            self._count(action, "failed")
            raise
        else:
            self._count(action, "done")
            self._confirm(row, version, sent_at)

    def _draft(self, action: str) -> LeaseRow:
        if action == "release":
            return build_release_row(self._view)
        return build_lease_row(
            self._view, LeaseAction(action), self._terms, time.time()
        )

    def _observe(self, read: Row) -> None:
        row = parse_lease_row(read.value) if read.value is not None else None
        doubt, self._doubt = self._doubt, None
        if doubt is not None and row == doubt.row:
            self._confirm(row, read.version, doubt.sent_at)
            return
        self._view = observe_lease(self._view, row, read.version, self._clock())

    def _confirm(self, row: LeaseRow, version: int, sent_at: float) -> None:
        now = self._clock()
        if row.holder != self._view.owner:
            self._view = observe_lease(self._view, row, version, now)
            return
        self._view = confirm_lease(
            self._view, row, version, self._terms, sent_at=sent_at, now=now
        )

    def _update_lifecycle(self) -> None:
        if self.is_held():
            self._lifecycle.acquire()
        else:
            self._lifecycle.lose()

    def _note_state(self, state: LeaseState) -> None:
        held = state is LeaseState.HOLDING
        self._metrics.held.labels(self.lease).set(int(held))
        _log.info(
            "lease_acquired" if held else "lease_lost",
            lease=self.lease,
            fence=self.fence,
        )

    def _count(self, action: str, result: str) -> None:
        self._metrics.writes.labels(action, result).inc()
