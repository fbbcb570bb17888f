"""Relay of event streams that delivers each event once despite server losses."""

from __future__ import annotations

from typing import NamedTuple

import structlog
from ebonyhaven_decisions import CrashVerdict
from ebonyhaven_decisions.forwarding import (
    Backend,
    EngineTraits,
    EngineUse,
    Route,
    TokenDemand,
    choose_engine_priority,
)

from ebonyhaven_node._failures import make_not_run_failure, make_unknown_failure
from ebonyhaven_node.forwarding._attempt_monitors import AttemptMonitor
from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._earlier_runs import EarlierRun
from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import CapacityChanged
from ebonyhaven_node.forwarding._outcomes import NO_SERVER_RETRY_AFTER_S
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import (
    AttemptPlan,
    CopyReference,
    ForwardRequest,
    ResponseHead,
)
from ebonyhaven_node.forwarding._reservations import EngineReservation
from ebonyhaven_node.forwarding._run_copies import RunCopy
from ebonyhaven_node.forwarding._stream_attempts import (
    AttemptEnd,
    AttemptResult,
    StreamAttempt,
)
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector
from ebonyhaven_node.forwarding._stream_versions import StreamVersion

CAPACITY_POLL_INTERVAL_S = 0.1  # if no notification arrives
MAX_TRIED_SERVERS = 40  # lost servers do not count against the route's max_attempts
LATEST_START_SHARE = 0.75  # of the timeout; streams started later would not complete

_log = structlog.get_logger()


class _Target(NamedTuple):
    """Server of an attempt, and the copy that the run resumes from."""

    backend: Backend
    copy: CopyReference | None


class StreamRelay:
    """Relays one event stream, resuming it on other servers after losses.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    engine : EngineTraits or None
    workspace : str or None
    priority : int
        Priority of the request; 0 is the most urgent.
    exchange : Exchange
    context : RelayContext
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        service: str,
        engine: EngineTraits | None,
        workspace: str | None,
        priority: int,
        exchange: Exchange,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._engine = engine
        self._workspace = workspace
        self._priority = priority
        self._exchange = exchange
        self._context = context
        self._inbox = Inbox(context.reactor)
        size = request.size
        self._demand = (
            TokenDemand(size.prompt_tokens, size.output_tokens)
            if size
            else TokenDemand(0, 0)
        )
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        self._deadline = request.arrived_at + timeout_s
        self._latest_start = request.arrived_at + LATEST_START_SHARE * timeout_s
        self._version = StreamVersion(service, context.state.backends)
        self._progress = StreamProgress(
            request=request,
            route=route,
            exchange=exchange,
            version=self._version,
            context=context,
        )
        self._attempts = 0
        self._tried_servers = 0
        self._failed_attempts = 0
        self._may_have_run = False
        self._server_selector = StreamServerSelector(
            service=service, engine=engine, demand=self._demand, context=context
        )
        self._run_copy: RunCopy | None = None
        self._earlier_run = EarlierRun(
            request=request,
            route=route,
            engine=engine,
            version=self._version,
            context=context,
        )
        self._error_response: tuple[ResponseHead, bytes] | None = None
        self._last_reason = "no server was tried"
        self._last_peer = "self"

    async def run(self) -> None:
        """Relay the stream to the caller and resume it after losses of servers.

        Raises
        ------
        RequestFailure
            If no event was delivered and no further attempt is possible.
        """
        self._context.budget.record_request(self._service, self._context.clock())
        await self._earlier_run.find()
        while not self._exchange.is_done:
            target = await self._wait_for_target()
            if target is None or self._exchange.is_done:
                return
            result = await self._try_target(target)
            if result.end is AttemptEnd.DONE or self._exchange.is_done:
                return
            self._record_result(target, result)

    # -- target selection --------------------------------------------------

    async def _wait_for_target(self) -> _Target | None:
        """Wait for a server with capacity; return None if the request has ended."""
        self._context.capacity_notifier.subscribe(self._inbox)
        try:
            while not self._exchange.is_done:
                now = self._context.clock()
                self._check_may_continue(now)
                choice = self._choose_target(now)
                if choice is not None and self._acquire_retry(now):
                    return choice
                message = await self._inbox.get(CAPACITY_POLL_INTERVAL_S)
                while message is not None and not isinstance(message, CapacityChanged):
                    message = await self._inbox.get(0.0)
        finally:
            self._context.capacity_notifier.unsubscribe(self._inbox)
        return None

    def _acquire_retry(self, now: float) -> bool:
        if not self._attempts:
            return True
        if self._context.budget.acquire_retry(self._service, now):
            return True
        self._context.metrics.budget_refusals.inc()
        return False

    def _check_may_continue(self, now: float) -> None:
        """Fail the request if another attempt is not allowed or cannot succeed."""
        obstacle = self._version.find_obstacle(now)
        if now >= self._deadline:
            self._give_up(now, "the time of the request is over")
        elif obstacle is not None:
            self._give_up(now, obstacle, retry_after_s=None)
        elif not self._may_have_run and now >= self._latest_start:
            self._give_up(now, "no server had room in time")
        elif not self._progress.delivered and not self._can_finish_in_time(now):
            reason = "too little time is left for a whole answer"
            self._give_up(now, reason, retry_after_s=None)
        elif self._may_have_run and not self._route.may_retry:
            self._give_up(now, self._last_reason)
        elif self._is_stopped_by_crashes():
            self._give_up(now, "servers died each time they began the request")
        elif (
            self._failed_attempts >= self._route.max_attempts
            or self._tried_servers >= MAX_TRIED_SERVERS
        ):
            self._give_up(now, f"too many attempts; last: {self._last_reason}")

    def _can_finish_in_time(self, now: float) -> bool:
        position = self._progress.position or ""
        return self._context.get_stream_durations(self._route.name).can_finish_in_time(
            remaining_s=self._deadline - now,
            events_delivered=int(position) if position.isdigit() else 0,
            has_copy=self._earlier_run.has_copy,
            has_room=self._server_selector.has_room(now, self._version.name),
        )

    def _is_stopped_by_crashes(self) -> bool:
        if not self._may_have_run:
            return False
        verdict = self._context.crashes.evaluate(self._request.content_digest)
        return verdict is CrashVerdict.STOPPED

    def _give_up(
        self,
        now: float,
        reason: str,
        *,
        retry_after_s: float | None = NO_SERVER_RETRY_AFTER_S,
    ) -> None:
        _log.warning(
            "stream_given_up",
            request=self._request.request_id,
            reason=reason,
            delivered=self._progress.delivered,
            attempts=self._attempts,
            waited_s=round(now - self._request.arrived_at, 3),
            remaining_s=round(self._deadline - now, 3),
        )
        if self._exchange.is_started:
            self._exchange.abort()
            return
        if self._error_response is not None:  # more specific than `reason`
            head, body = self._error_response
            self._exchange.respond(head.status, head.headers, body)
            return
        if not self._may_have_run:
            raise make_not_run_failure(
                reason, step="route", retry_after_s=retry_after_s
            )
        is_late = now >= self._deadline
        raise make_unknown_failure(
            reason, step="stream", peer=self._last_peer, status=504 if is_late else 502
        )

    def _choose_target(self, now: float) -> _Target | None:
        copy = self._run_copy
        if copy is not None and copy.is_usable(now):
            return _Target(copy.holder, copy.reference)
        self._run_copy = None
        earlier = self._earlier_run.take_copy(now)
        if earlier is not None:
            return _Target(*earlier)
        waited_s, target_s = self._progress.measure_wait(now)
        backend = self._server_selector.choose(
            self._request.prompt_id or "",
            now,
            waited_s=waited_s,
            target_s=target_s,
            version=self._version.name,
        )
        return None if backend is None else _Target(backend, None)

    # -- attempt -----------------------------------------------------------

    async def _try_target(self, target: _Target) -> AttemptResult:
        now = self._context.clock()
        backend = target.backend
        self._run_copy = None  # a copy can be used only once
        holder = None
        if self._route.may_retry:
            holder = self._server_selector.choose_holder(backend, now)
        self._attempts += 1
        self._tried_servers += 1
        attempt = Attempt(
            request=self._request,
            backend=backend,
            plan=AttemptPlan(
                remaining_s=self._deadline - now,
                workspace=self._workspace,
                priority=choose_engine_priority(
                    is_late=self._progress.is_late,
                    is_resumed=target.copy is not None or self._progress.delivered > 0,
                    priority=self._priority,
                ),
                copy_to=holder.entry.address if holder else None,
                copy=target.copy,
                last_event_id=self._progress.position,
            ),
            inbox=self._inbox,
            context=self._context,
        )
        prefill_tokens = 0 if target.copy else self._demand.prompt_tokens
        reservation = EngineReservation(
            backend, holder, self._demand, prefill_tokens, self._context.on_usage_change
        )
        copy = RunCopy(
            request_id=self._request.request_id,
            first_request_id=self._earlier_run.first_request_id,
            stream_key=self._request.stream_key if self._route.may_retry else None,
            source=backend,
            holder=holder,
            engine=self._engine if self._route.may_retry else None,
            reservation=reservation,
            server_selector=self._server_selector,
            inbox=self._inbox,
            context=self._context,
        )
        self._log_attempt_sent(target, holder, now)
        return await self._run_attempt(attempt, reservation, copy, target)

    async def _run_attempt(
        self,
        attempt: Attempt,
        reservation: EngineReservation,
        copy: RunCopy,
        target: _Target,
    ) -> AttemptResult:
        self._context.suspicion_notifier.subscribe(self._inbox)
        if self._progress.delivered:
            self._progress.resume_source = "copy" if target.copy else "prompt"
        attempt.start()
        monitor = AttemptMonitor(attempt, self._route, self._context, reservation)
        stream_attempt = StreamAttempt(
            attempt=attempt,
            monitor=monitor,
            copy=copy,
            progress=self._progress,
            exchange=self._exchange,
            inbox=self._inbox,
            context=self._context,
            deadline=self._deadline,
        )
        try:
            result = await stream_attempt.run()
            if monitor.events:  # engines create copies only after the first event
                self._run_copy = copy
            elif result.end is AttemptEnd.LOST:
                self._context.schedule_crash_check(self._request, attempt.backend)
            return result
        finally:
            copy.close(
                is_needed=not self._exchange.is_done,
                is_complete=self._progress.is_complete,
            )
            reservation.release()
            self._context.capacity_notifier.notify()
            self._context.suspicion_notifier.unsubscribe(self._inbox)
            attempt.cancel()

    def _log_attempt_sent(
        self, target: _Target, holder: Backend | None, now: float
    ) -> None:
        backend = target.backend
        peer_use = self._context.peers.sum_by_server(now).get(
            backend.server_id, EngineUse()
        )
        _log.info(
            "stream_sent",
            request=self._request.request_id,
            route=self._route.name,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            version=backend.software_version,
            from_copy=target.copy is not None,
            copy_to=holder.server_id if holder else None,
            position=self._progress.position,
            attempt=self._attempts,
            tokens=self._demand.tokens,
            own_use=[backend.run_tokens, backend.copy_tokens, backend.prefill_tokens],
            peer_use=list(peer_use),
            waited_s=round(now - self._request.arrived_at, 3),
            remaining_s=round(self._deadline - now, 3),
        )

    # -- result ------------------------------------------------------------

    def _record_result(self, target: _Target, result: AttemptResult) -> None:
        now = self._context.clock()
        backend = target.backend
        end = result.end
        self._context.metrics.attempts.labels(self._route.kind.value, end.value).inc()
        self._last_reason = result.reason
        self._last_peer = backend.server_id
        self._error_response = result.error_response or self._error_response
        self._log_attempt_ended(target, result, now)
        if target.copy is not None and end is AttemptEnd.NOT_RUN:
            self._context.metrics.resumes.labels("copy_gone").inc()
            return
        self._server_selector.avoid(backend, now)
        if end is AttemptEnd.UNREACHABLE:
            self._attempts -= 1
            if self._attempts:
                self._context.budget.refund_retry(self._service, now)
        if end in (AttemptEnd.NOT_RUN, AttemptEnd.UNREACHABLE):
            return
        self._may_have_run = True
        backend.record_result(succeeded=False, latency_s=None)
        if end in (AttemptEnd.SILENT, AttemptEnd.ERROR):
            self._failed_attempts += 1

    def _log_attempt_ended(
        self, target: _Target, result: AttemptResult, now: float
    ) -> None:
        copy = self._run_copy
        _log.info(
            "stream_attempt_ended",
            request=self._request.request_id,
            server=target.backend.server_id,
            end=result.end.value,
            reason=result.reason,
            delivered=self._progress.delivered,
            position=self._progress.position,
            from_copy=target.copy is not None,
            copy_at=copy.holder.server_id if copy and copy.holder else None,
            copy_usable=copy is not None and copy.is_usable(now),
        )
