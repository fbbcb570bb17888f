"""Slot scheduler based on ``ebonyhaven_decisions``.

The decision package performs admission, fair queueing and routing.
"""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Callable

import attrs
import structlog
from ebonyhaven_decisions import (
    ClassTargets,
    Declaration,
    Dispatch,
    FailureKind,
    Pool,
    PoolKind,
    Refusal,
    RefusalReason,
    RequestFailure,
    Scheduler,
    ServerEntry,
    ServerReport,
    WorkItem,
    derive_policies,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._engines import ENGINE_FULL, LIMITED
from ebonyhaven_node._failures import make_not_run_failure
from ebonyhaven_node._prefixes import hash_prefixes
from ebonyhaven_node._scheduling import Slot, SlotRequest, SlotScheduler
from ebonyhaven_node._servers import (
    BackendServer,
    BackendServers,
    ReportedLoad,
    ServerListener,
)

RECHECK_PERIOD_S = 0.05
OVERLOAD_CAPACITY_SHARE = 0.95
OVERLOAD_RETRY_S = 0.5
NO_SERVER_RETRY_S = 1.0
NO_SERVER_LOG_INTERVAL_S = 1.0
MODEL_MISSING = "model_not_loaded"
_FAILURE_KINDS = {
    MODEL_MISSING: FailureKind.MODEL_MISSING,
    ENGINE_FULL: FailureKind.FULL,
    LIMITED: FailureKind.FULL,
    "leaving": FailureKind.LEAVING,
}

_log = structlog.get_logger()


@attrs.define(slots=True, kw_only=True, eq=False)
class PolicySlot(Slot):
    """Slot that is counted by the scheduler.

    Parameters
    ----------
    item_id : str
        ID of the request in the scheduler; empty for an adopted stream.
    scheduling : PolicySlotScheduler
    is_complete : bool
        Whether the output is complete.
    """

    item_id: str
    scheduling: PolicySlotScheduler
    is_complete: bool = False

    def release(self) -> None:
        """See `Slot.release`."""
        if self.held:
            self.held = False
            self.server.in_flight -= 1
            self.scheduling.end_slot(self)

    def record_tokens(self, count: int) -> None:
        """See `Slot.record_tokens`."""
        if self.held and self.item_id:
            self.scheduling.record_tokens(self.item_id, count)

    def record_completion(self) -> None:
        """See `Slot.record_completion`."""
        self.is_complete = True

    def record_refusal(self, reason: str) -> None:
        """See `Slot.record_refusal`."""
        kind = _FAILURE_KINDS.get(reason)
        if self.held and kind is not None:
            self.scheduling.record_failure(self.item_id, kind)


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    slot_request: SlotRequest
    item: WorkItem
    granted: Deferred


class PolicySlotScheduler(SlotScheduler, ServerListener):
    """Assigns slots according to the decisions of a `Scheduler`.

    Parameters
    ----------
    scheduler : Scheduler
    servers : BackendServers
    configuration : ActiveConfiguration
    reactor : IReactorTime
    read_instance_load : callable
        Returns the share of the capacity of this instance in use, 0 to 1.
    clock : callable
        Returns monotonic seconds of the clock with which ``scheduler`` was built.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        servers: BackendServers,
        configuration: ActiveConfiguration,
        reactor: IReactorTime,
        read_instance_load: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self.scheduler = scheduler
        self._read_instance_load = read_instance_load
        self._servers = servers
        self._configuration = configuration
        self._reactor = reactor
        self._waiters: dict[str, _Waiter] = {}
        self._resumes: dict[str, _Waiter] = {}
        self._item_numbers = itertools.count()
        self._is_processing = False
        self._must_repeat = False
        self._recheck: IDelayedCall | None = None
        self._no_server_logged_at = -math.inf
        servers.observe(self._update_servers)
        servers.listener = self
        configuration.observe(self._apply_declaration)

    # -- SlotScheduler -----------------------------------------------------

    async def acquire(self, slot_request: SlotRequest) -> Slot:
        """See `SlotScheduler.acquire`."""
        if (
            not slot_request.resume
            and self._read_instance_load() >= OVERLOAD_CAPACITY_SHARE
        ):
            raise _make_overload_failure()
        item = self._build_item(slot_request)
        waiter = _Waiter(
            slot_request, item, Deferred(lambda _: self._cancel(item.item_id))
        )
        if slot_request.resume:
            self._resumes[item.item_id] = waiter
        else:
            self._waiters[item.item_id] = waiter
            self._submit(waiter)
        self.process_queue()
        return await waiter.granted

    def adopt(self, server: BackendServer) -> Slot:
        """See `SlotScheduler.adopt`."""
        server.in_flight += 1
        state = self.scheduler.dispatcher.table.get(server.name)
        if state is not None:
            state.record_dispatch(0, self._clock())
        return PolicySlot(server=server, item_id="", scheduling=self)

    # -- ServerListener ----------------------------------------------------

    def record_load(self, server: BackendServer, load: ReportedLoad) -> None:
        """See `ServerListener.record_load`."""
        report = ServerReport(
            running=load.running,
            waiting=load.waiting,
            measured_at=self._clock() - load.age_s,
            capacity=load.capacity,
            pace_ms=load.pace_s * 1000.0,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            is_leaving=load.leaving,
        )
        self.scheduler.dispatcher.record_report(server.name, report)

    def record_answer(self, server: BackendServer) -> None:
        """See `ServerListener.record_answer`."""
        state = self.scheduler.dispatcher.table.get(server.name)
        if state is not None:
            state.record_success(self._clock())

    def record_unreachable(self, server: BackendServer) -> None:
        """See `ServerListener.record_unreachable`."""
        self.scheduler.dispatcher.record_unreachable(server.name, self._clock())

    # -- slots -------------------------------------------------------------

    def record_tokens(self, item_id: str, count: int) -> None:
        """Record tokens received for a request."""
        dispatcher = self.scheduler.dispatcher
        now = self._clock()
        dispatcher.record_first_token(item_id, now)
        dispatcher.record_tokens(item_id, count, now)

    def record_failure(self, item_id: str, kind: FailureKind) -> None:
        """Record why a server did not run a request."""
        self.scheduler.dispatcher.record_failure(item_id, kind, self._clock())

    def end_slot(self, slot: PolicySlot) -> None:
        """Record the end of the stream in a slot."""
        dispatcher = self.scheduler.dispatcher
        now = self._clock()
        if slot.item_id:
            dispatcher.record_end(slot.item_id, now, is_complete=slot.is_complete)
        elif (state := dispatcher.table.get(slot.server.name)) is not None:
            state.record_end(now)
        self.process_queue()

    # -- queue -------------------------------------------------------------

    def process_queue(self) -> None:
        """Apply the pending decisions of the scheduler."""
        if self._is_processing:
            self._must_repeat = True
            return
        self._is_processing = True
        try:
            self._must_repeat = True
            while self._must_repeat:
                self._must_repeat = False
                self._apply_decisions()
        finally:
            self._is_processing = False
        self._schedule_recheck()

    def _apply_decisions(self) -> None:
        now = self._clock()
        self._route_resumes(now)
        decisions = self.scheduler.collect_decisions(now)
        for dispatch in decisions.dispatches:
            self._grant(self._waiters.pop(dispatch.item.item_id, None), dispatch)
        for refusal in decisions.refusals:
            self._refuse(refusal)

    def _submit(self, waiter: _Waiter) -> None:
        now = self._clock()
        if waiter.slot_request.retry:
            refusal = self.scheduler.requeue(
                waiter.item, waiter.slot_request.excluded, now
            )
        else:
            refusal = self.scheduler.submit(waiter.item, now)
        if refusal is not None:
            self._refuse(refusal)

    def _route_resumes(self, now: float) -> None:
        for item_id, waiter in list(self._resumes.items()):
            dispatch = self.scheduler.dispatcher.route_resume(
                waiter.item, waiter.slot_request.excluded, now
            )
            if dispatch is not None:
                del self._resumes[item_id]
                self._grant(waiter, dispatch)
            elif now >= waiter.slot_request.deadline:
                del self._resumes[item_id]
                waiter.granted.errback(_make_unavailable_failure())

    def _grant(self, waiter: _Waiter | None, dispatch: Dispatch) -> None:
        server = self._servers.find(dispatch.choice.server.name)
        if waiter is None or server is None:
            self.scheduler.cancel(dispatch.item.item_id, self._clock())
            return
        server.in_flight += 1
        slot = PolicySlot(server=server, item_id=dispatch.item.item_id, scheduling=self)
        slot.priority = dispatch.engine_priority
        waiter.granted.callback(slot)

    def _refuse(self, refusal: Refusal) -> None:
        waiter = self._waiters.pop(refusal.item.item_id, None)
        if refusal.reason is RefusalReason.NO_SERVER:
            self._log_unusable_servers(refusal.item)
        if waiter is not None:
            waiter.granted.errback(_make_refusal_failure(refusal))

    def _log_unusable_servers(self, item: WorkItem) -> None:
        now = self._clock()
        if now - self._no_server_logged_at < NO_SERVER_LOG_INTERVAL_S:
            return
        self._no_server_logged_at = now
        servers = self.scheduler.dispatcher.table.list_for(item.model)
        _log.warning(
            "no_server_usable",
            request=item.item_id,
            model=item.model,
            known_servers=len(list(self._servers)),
            configuration=self._configuration.version,
            unusable={each.name: each.describe_obstacle(now) for each in servers},
        )

    def _cancel(self, item_id: str) -> None:
        self._waiters.pop(item_id, None)
        self._resumes.pop(item_id, None)
        self.scheduler.cancel(item_id, self._clock())

    def _schedule_recheck(self) -> None:
        if not self._waiters and not self._resumes:
            return
        if self._recheck is None or not self._recheck.active():
            self._recheck = self._reactor.callLater(
                RECHECK_PERIOD_S, self.process_queue
            )

    # -- scheduler inputs --------------------------------------------------

    def _build_item(self, slot_request: SlotRequest) -> WorkItem:
        request = slot_request.request
        digests, tokens = hash_prefixes(request)
        return WorkItem(
            item_id=f"{request.run_id}/{next(self._item_numbers)}",
            workspace=request.workspace,
            class_name=request.class_name,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_digests=digests,
            prefix_tokens=tokens,
            arrival=slot_request.arrival,
        )

    def _apply_declaration(self, declaration: Declaration) -> None:
        targets = {
            name: ClassTargets(
                first_token_ms=each.first_token_ms,
                gap_ms=each.gap_ms,
                resume_ms=each.resume_ms,
                may_wait_ms=each.may_wait_ms,
            )
            for name, each in declaration.classes.items()
        }
        self.scheduler.replace_policies(derive_policies(targets))
        self._update_servers()
        self.process_queue()

    def _update_servers(self) -> None:
        declaration = self._configuration.declaration
        if declaration is None:
            return
        entries = [
            ServerEntry(
                name=server.name,
                address=server.address,
                data_centre=server.data_centre,
                region=server.region,
                models=_list_models(declaration.pools[server.pool]),
                is_leaving=server.leaving,
            )
            for server in self._servers.list_in_pools(declaration.pools)
        ]
        self.scheduler.dispatcher.replace_servers(entries)


def _list_models(pool: Pool) -> frozenset[str]:
    if pool.kind is PoolKind.SERVICE:
        return frozenset({f"service/{pool.service}"})
    return frozenset(pool.models)


def _make_refusal_failure(refusal: Refusal) -> RequestFailure:
    retry_after_s = round(refusal.retry_after_s, 2)
    return make_not_run_failure(
        str(refusal.reason), step="admit", retry_after_s=retry_after_s
    )


def _make_overload_failure() -> RequestFailure:
    return make_not_run_failure(
        "this instance is overloaded; ask for entries and use another",
        step="admit",
        retry_after_s=OVERLOAD_RETRY_S,
    )


def _make_unavailable_failure() -> RequestFailure:
    return make_not_run_failure(
        "no backend server could take the request in time",
        step="route",
        retry_after_s=NO_SERVER_RETRY_S,
    )
