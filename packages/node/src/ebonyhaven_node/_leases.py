"""Controller of a lease in the platform's table."""

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

STEP_PERIOD_S = 1.0
STEP_JITTER_RATIO = 0.3

_log = structlog.get_logger()


def read_boottime_clock() -> float:
    """Return seconds of a monotonic clock that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseIdentity(NamedTuple):
    """Name and incarnation with which an instance holds leases."""

    name: str
    incarnation: int


class Candidacy(abc.ABC):
    """Decides whether this instance is a candidate for a free lease."""

    @abc.abstractmethod
    def is_candidate(self, lease: str) -> bool:
        """Return whether to poll the lease's row and acquire the lease when free."""


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


class _UnconfirmedWrite(NamedTuple):
    """Write of a lease row whose response was lost.

    Parameters
    ----------
    row : LeaseRow
    sent_at : float
        Time just before the write was sent, seconds of the controller's clock.
    """

    row: LeaseRow
    sent_at: float


class LeaseController:
    """Acquires, renews and releases one lease.

    Parameters
    ----------
    lease : str
        Name of the lease.
    owner : LeaseIdentity
        Identity of this instance.
    table : TableClient
    reactor : IReactorTime
    rng : random.Random
    candidacy : Candidacy
    metrics : LeaseMetrics
    timing : LeaseTiming or None
        Durations of the lease; None for the defaults.
    clock : callable
        Returns seconds of a monotonic clock that also advances while the process
        or the machine is suspended.
    """

    def __init__(
        self,
        *,
        lease: str,
        owner: LeaseIdentity,
        table: TableClient,
        reactor: IReactorTime,
        rng: random.Random,
        candidacy: Candidacy,
        metrics: LeaseMetrics,
        timing: LeaseTiming | None = None,
        clock: Callable[[], float] = read_boottime_clock,
    ):
        self.lease = lease
        self._key = f"{LEASE_PREFIX}{lease}"
        self._table = table
        self._reactor = reactor
        self._rng = rng
        self._candidacy = candidacy
        self._metrics = metrics
        self._timing = timing or LeaseTiming()
        self._clock = clock
        self._view = LeaseView(owner=owner.name, incarnation=owner.incarnation)
        self._lifecycle = make_lease_lifecycle(self._record_state)
        self._unconfirmed_write: _UnconfirmedWrite | None = None
        self._stopped = False
        self._pending_delay: Deferred | None = None

    @property
    def fence(self) -> int:
        """Fencing number of the lease row as last read or written."""
        return self._view.fence

    def is_held(self) -> bool:
        """Return whether this instance currently holds the lease."""
        return is_held(self._view, self._clock())

    def may_order(self, *, longest_pause_s: float) -> bool:
        """Return whether an order may be sent now.

        Parameters
        ----------
        longest_pause_s : float
            0 for servers that check fencing numbers; for others, the maximum pause
            of an earlier holder between its lease check and its order, seconds.
        """
        return may_order(self._view, self._clock(), longest_pause_s=longest_pause_s)

    def step_down(self) -> None:
        """Give up the lease without a write, as another instance has acquired it."""
        self._view = LeaseView(
            owner=self._view.owner, incarnation=self._view.incarnation
        )
        self._update_lifecycle()

    async def run(self) -> None:
        """Acquire and renew the lease until `stop` is called."""
        while not self._stopped:
            # After a failed read or write the next step retries; a lease that is not
            # renewed in time expires.
            with contextlib.suppress(PlatformError, ValueError):
                await self._step()
            self._update_lifecycle()
            period_s = STEP_PERIOD_S * self._rng.uniform(1 - STEP_JITTER_RATIO, 1)
            self._pending_delay = task.deferLater(self._reactor, period_s)
            try:
                await self._pending_delay
            except CancelledError:
                return

    def stop(self) -> None:
        """Stop `run`; a lease that is held expires."""
        self._stopped = True
        if self._pending_delay is not None:
            self._pending_delay.cancel()

    async def release(self) -> None:
        """Stop `run` and release the lease if it is held.

        Another instance can then acquire it before it expires.
        """
        self.stop()
        if self.is_held():
            with contextlib.suppress(PlatformError, ValueError):
                await self._write_row("release")

    async def _step(self) -> None:
        if not self.is_held():
            if not self._candidacy.is_candidate(self.lease):
                return
            await self._read_row()
        elif self._unconfirmed_write is not None:
            await self._read_row()
        action = decide_lease_action(self._view, self._timing, self._clock())
        if action is not LeaseAction.WAIT:
            await self._write_row(action.value)

    async def _read_row(self) -> None:
        rows = await self._table.read_rows([self._key])
        self._observe_row(rows.find(self._key))

    async def _write_row(self, action: str) -> None:
        row = self._build_row(action)
        sent_at = self._clock()
        transaction = Transaction(
            uuid.uuid4().hex,
            (Condition(self._key, self._view.row_version),),
            (Write(self._key, row.serialize()),),
        )
        try:
            version = await self._table.transact(transaction)
        except Conflict as conflict:
            self._count_write(action, "conflict")
            self._observe_row(conflict.rows[0])
        except Unconfirmed:
            self._count_write(action, "unconfirmed")
            self._unconfirmed_write = _UnconfirmedWrite(row, sent_at)
        except PlatformError:
            self._count_write(action, "failed")
            raise
        else:
            self._count_write(action, "done")
            self._confirm_write(row, version, sent_at)

    def _build_row(self, action: str) -> LeaseRow:
        if action == "release":
            return build_release_row(self._view)
        return build_lease_row(
            self._view, LeaseAction(action), self._timing, time.time()
        )

    def _observe_row(self, read: Row) -> None:
        row = parse_lease_row(read.value) if read.value is not None else None
        unconfirmed, self._unconfirmed_write = self._unconfirmed_write, None
        if unconfirmed is not None and row == unconfirmed.row:
            self._confirm_write(row, read.version, unconfirmed.sent_at)
            return
        self._view = observe_lease(self._view, row, read.version, self._clock())

    def _confirm_write(self, row: LeaseRow, version: int, sent_at: float) -> None:
        now = self._clock()
        if row.holder != self._view.owner:
            self._view = observe_lease(self._view, row, version, now)
            return
        self._view = confirm_lease(
            self._view, row, version, self._timing, sent_at=sent_at, now=now
        )

    def _update_lifecycle(self) -> None:
        if self.is_held():
            self._lifecycle.acquire()
        else:
            self._lifecycle.lose()

    def _record_state(self, state: LeaseState) -> None:
        held = state is LeaseState.HOLDING
        self._metrics.held.labels(self.lease).set(int(held))
        _log.info(
            "lease_acquired" if held else "lease_lost",
            lease=self.lease,
            fence=self.fence,
        )

    def _count_write(self, action: str, result: str) -> None:
        self._metrics.writes.labels(action, result).inc()
