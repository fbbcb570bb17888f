"""Timers, writes and log lines of the decider of roll-outs."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog
from ebonyhaven_decisions.forwarding.rollouts import (
    ExposureLimits,
    RolloutOrder,
    RolloutStage,
    RolloutView,
    StoredStage,
    VersionQuality,
    VersionVerdict,
    decide_stage,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import (
    RecordStoreError,
    RolloutRecordStore,
    StageConflict,
)
from ebonyhaven_node.forwarding.rollouts._metrics import RolloutMetrics
from ebonyhaven_node.forwarding.rollouts._views import RolloutViewReader

if TYPE_CHECKING:
    from ebonyhaven_decisions.forwarding.rollouts import EvidenceBoard, RolloutGate

TICK_S = 0.1
RETRY_INTERVAL_S = 0.4  # after a write or read that failed
TAKEOVER_DELAY_S = 0.2  # after a stage lapsed, for the preferred instance
STANDBY_DELAY_S = 1.0  # for the others, beside a random time as long
PAUSE_S = 1.0  # between two ticks, after which the process was paused
PAUSE_REST_S = 1.5  # until the news of other instances is present again

_log = structlog.get_logger()


def read_boot_time() -> float:
    """Return seconds of a clock that counts the time for which a machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RolloutController:
    """Decides the stages of roll-outs while this instance is the one that does.

    It runs only while there is an order that hasn't ended.

    Parameters
    ----------
    instance : str
        Name of this instance.
    limits : ExposureLimits
    state : ForwardingState
    gate : RolloutGate
        Follows the orders and stages.
    board : EvidenceBoard
    store : RolloutRecordStore
    metrics : RolloutMetrics
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds of a monotonic clock.
    pause_clock : callable
        Returns seconds of a clock that also runs while the machine is suspended.
    """

    def __init__(
        self,
        *,
        instance: str,
        limits: ExposureLimits,
        state: ForwardingState,
        gate: RolloutGate,
        board: EvidenceBoard,
        store: RolloutRecordStore,
        metrics: RolloutMetrics,
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float],
        pause_clock: Callable[[], float] = read_boot_time,
    ):
        self._instance = instance
        self._limits = limits
        self._state = state
        self._book = state.rollouts
        self._gate = gate
        self._views = RolloutViewReader(state=state, board=board, clock=clock)
        self._store = store
        self._metrics = metrics
        self._reactor = reactor
        self._rng = rng
        self._clock = clock
        self._pause_clock = pause_clock
        self._is_chosen: Callable[[str], bool] = lambda _: False
        self._announce: Callable[[], None] = lambda: None
        self._timer: Any = None
        self._ticked_at = pause_clock()
        self._rests_until = 0.0
        self._writing: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}  # orders by id
        self._standby_s: dict[str, float] = {}
        self._has_rows = False
        self._is_reading = False
        self._is_started = False

    def start(
        self, is_chosen: Callable[[str], bool], announce: Callable[[], None]
    ) -> None:
        """Follow the orders.

        Parameters
        ----------
        is_chosen : callable
            Returns whether this instance is the preferred one for a key.
        announce : callable
            Has all instances told of the stages.
        """
        self._is_chosen = is_chosen
        self._announce = announce
        self._is_started = True
        self._book.observe(self._handle_change)
        self._state.observe(self._forget_ended)
        self._handle_change(False)

    def stop(self) -> None:
        """Stop deciding; the stage lapses, and another instance goes on."""
        self._is_started = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def find_decider(self, service: str) -> str | None:
        """Return the name of the instance that decides for a service.

        Parameters
        ----------
        service : str
        """
        stage = self._book.find_stage(service)
        return stage.decider if stage is not None else None

    def _handle_change(self, is_news: bool) -> None:
        if not self._is_started:
            return
        for service in self._book.list_services():
            self._apply(service)
        if self._book.has_read and not self._has_rows:
            self._read_rows()
        if is_news:
            self._announce()
        self._schedule()

    def _apply(self, service: str) -> None:
        """Pass on what holds for a service."""
        now = self._clock()
        order, stage = self._book.find_order(service), self._book.find_stage(service)
        if order is not None and order.order_id not in self._heard_at:
            self._heard_at[order.order_id] = now
            _log.info(
                "rollout_ordered",
                service=service,
                version=order.version,
                order=order.order_id,
                duration_s=order.duration_s,
            )
        if stage is not None:
            plain_order = stage.order.without_era()
            self._gate.apply_stage(stage._replace(order=plain_order), now)
        if order is not None and (stage is None or not stage.order.is_same(order)):
            self._gate.apply_order(order.without_era(), now)

    def _forget_ended(self) -> None:
        """Forget orders that were taken back once their versions have no servers."""
        if not self._is_started:
            return
        for order in self._book.list_withdrawn():
            service = order.service
            versions = {
                each.software_version
                for each in self._state.backends
                if each.entry.service == service
            }
            if order.version not in versions and not self._book.is_open(service):
                self._book.forget(service)
                self._gate.withdraw(service, self._clock())

    def _schedule(self) -> None:
        is_idle = self._timer is None or not self._timer.active()
        if self._is_started and is_idle and self._book.list_open():
            self._ticked_at = self._pause_clock()
            self._timer = self._reactor.callLater(TICK_S, self._tick)

    def _tick(self) -> None:
        self._record_pause()
        now_s = self._store.read_time_s()
        if now_s is not None and self._clock() >= self._rests_until:
            for service in self._book.list_open():
                try:
                    self._advance(service, now_s)
                except Exception:  # the other services' roll-outs go on
                    _log.exception("rollout_not_advanced", service=service)
        self._schedule()

    def _record_pause(self) -> None:
        paused_s = self._pause_clock() - self._ticked_at - TICK_S
        if paused_s > PAUSE_S:
            self._rests_until = self._clock() + PAUSE_REST_S
            _log.warning("rollout_decider_paused", paused_s=round(paused_s, 2))

    def _advance(self, service: str, now_s: float) -> None:
        if service in self._writing or self._clock() < self._retry_at.get(service, 0.0):
            return
        order = self._book.find_order(service)
        stage = self._book.find_stage(service)
        if not self._may_decide(order, stage, now_s):
            return
        view = self._views.read(order, stage)
        decided = decide_stage(view, self._limits, decider=self._instance, now=now_s)
        if decided is None:
            return
        if view.verdict.quality is VersionQuality.BAD and stage is not None:
            self._book.withhold(service)
        self._writing.add(service)
        writing = ensureDeferred(self._write(decided, view))
        writing.addBoth(self._handle_written, service)

    def _may_decide(
        self, order: RolloutOrder, stage: RolloutStage | None, now_s: float
    ) -> bool:
        """Return whether this instance is the one that should write."""
        if stage is not None and stage.decider == self._instance:
            return True
        is_first = stage is None or not stage.order.is_same(order)
        if is_first:
            waited_s = self._clock() - self._heard_at[order.order_id]
        else:
            waited_s = now_s - stage.valid_until_s - TAKEOVER_DELAY_S
        if self._is_chosen(make_decider_key(order.service)):
            return waited_s >= 0.0
        standby_s = self._standby_s.setdefault(
            order.service, STANDBY_DELAY_S * (1.0 + self._rng.random())
        )
        return waited_s >= standby_s

    async def _write(self, decided: RolloutStage, view: RolloutView) -> None:
        service, before = decided.order.service, view.stage
        is_change = (
            before is None
            or not before.order.is_same(decided.order)
            or before.state is not decided.state
        )
        row_version = self._book.read_row_version(service)
        try:
            written = await self._store.write(
                decided, row_version=row_version, tells_operators=is_change
            )
        except StageConflict as conflict:
            self._metrics.record_write("conflict")
            self._handle_conflict(service, conflict, row_version)
            return
        self._metrics.record_write("written")
        if before is None or before.number != decided.number or is_change:
            _log_stage(decided, view.verdict)
        self._book.merge_stage(StoredStage(decided, written), is_row=True)

    def _handle_conflict(
        self, service: str, conflict: StageConflict, row_version: int
    ) -> None:
        current = conflict.current
        _log.info(
            "rollout_stage_overtaken",
            service=service,
            expected=row_version,
            found=conflict.row_version,
            decider=current.stage.decider if current else None,
        )
        if current is not None:
            self._book.merge_stage(current, is_row=True)
        else:
            self._book.set_row_version(service, conflict.row_version)

    def _handle_written(self, result: Any, service: str) -> None:
        self._writing.discard(service)
        self._standby_s.pop(service, None)
        if isinstance(result, Failure):
            self._metrics.record_write("failed")
            self._retry_at[service] = self._clock() + RETRY_INTERVAL_S
            self._log_failure(result, "write")

    def _read_rows(self) -> None:
        """Read the stages once if orders were there before this instance started.

        The others don't tell of roll-outs that have ended. For orders that come later,
        it hears of each stage.
        """
        if self._is_reading:
            return
        if not self._book.list_services():
            self._record_rows_known()
            return
        self._is_reading = True
        reading = ensureDeferred(self._store.read())
        reading.addCallbacks(self._handle_rows, self._handle_read_failure)

    def _handle_rows(self, stages: list[StoredStage]) -> None:
        self._record_rows_known()
        for stored in stages:
            self._book.merge_stage(stored)

    def _record_rows_known(self) -> None:
        self._is_reading, self._has_rows = False, True
        self._gate.unordered.record_orders_read()

    def _handle_read_failure(self, failure: Failure) -> None:
        self._log_failure(failure, "read")
        self._reactor.callLater(RETRY_INTERVAL_S, self._retry_read)

    def _retry_read(self) -> None:
        self._is_reading = False
        if self._is_started:
            self._read_rows()

    def _log_failure(self, failure: Failure, step: str) -> None:
        if failure.check(RecordStoreError):
            reason = str(failure.value)
            _log.warning("rollout_rows_unavailable", step=step, reason=reason)
        else:
            _log.error("rollout_crashed", step=step, error=failure.getTraceback())


def make_decider_key(service: str) -> str:
    """Return the key by which the preferred decider of a service is chosen.

    Parameters
    ----------
    service : str
    """
    return f"rollout/{service}"


def _log_stage(stage: RolloutStage, verdict: VersionVerdict) -> None:
    _log.info(
        "rollout_stage",
        service=stage.order.service,
        version=stage.order.version,
        order=stage.order.order_id,
        state=stage.state.value,
        stage=stage.number,
        share=round(stage.share, 4),
        reason=stage.reason,
        remaining_s=round(stage.order.limit_s - stage.started_at_s, 2),
        quality=verdict.quality.value,
        requests=verdict.requests,
        exposed=verdict.exposed,
        answers=verdict.answers,
        bad_answers=verdict.bad_answers,
        old_versions=list(stage.old_versions),
    )
