"""Relay of event streams that delivers each event once despite server losses."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import (
    EngineTraits,
    Route,
    StreamKey,
    TokenDemand,
    choose_engine_priority,
    compute_gap_patience_s,
)

from ebonyhaven_node._failures import make_not_run_failure, make_unknown_failure
from ebonyhaven_node.forwarding._attempt_logs import (
    log_stream_attempt_ended,
    log_stream_sent,
)
from ebonyhaven_node.forwarding._attempt_monitors import AttemptMonitor
from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._begun_streams import BegunStream
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._earlier_runs import EarlierRun
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._http_client import HttpConnection
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import (
    MAX_STREAM_BYTES,
    AttemptPlan,
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
from ebonyhaven_node.forwarding._stream_limits import GiveUpReason, StreamLimits
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector
from ebonyhaven_node.forwarding._stream_targets import (
    StreamTarget,
    StreamTargetFinder,
)
from ebonyhaven_node.forwarding._stream_versions import StreamVersion
from ebonyhaven_node.forwarding._stream_waits import StreamWait

_log = structlog.get_logger()


class StreamRelay:
    """Relays one event stream, resuming it on other servers after losses.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    begun : BegunStream or None
        What is known of the stream that the caller takes up; None if it takes up none.
    engine : EngineTraits or None
    workspace : str or None
    priority : int
        Priority of the request; 0 is the most urgent.
    guard : CrashGuard
    exchange : Exchange
    context : RelayContext
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        service: str,
        begun: BegunStream | None,
        engine: EngineTraits | None,
        workspace: str | None,
        priority: int,
        guard: CrashGuard,
        exchange: Exchange,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._engine = engine
        self._workspace = workspace
        self._priority = priority
        self._guard = guard
        self._exchange = exchange
        self._context = context
        self._inbox = Inbox(context.reactor)
        self._connections: list[HttpConnection] = []
        size = request.size
        self._demand = (
            TokenDemand(size.prompt_tokens, size.output_tokens)
            if size
            else TokenDemand(0, 0)
        )
        self._version = StreamVersion(service, context.state.backends.versions)
        self._progress = StreamProgress(
            request=request,
            route=route,
            exchange=exchange,
            version=self._version,
            context=context,
        )
        self._server_selector = StreamServerSelector(
            service=service,
            engine=engine,
            demand=self._demand,
            priority=priority,
            context=context,
        )
        self._run_copy: RunCopy | None = None
        self._earlier_run = EarlierRun(
            request=request,
            begun=begun,
            service=service,
            engine=engine,
            version=self._version,
            context=context,
        )
        self._limits = StreamLimits(
            request=request,
            route=route,
            guard=guard,
            version=self._version,
            progress=self._progress,
            earlier_run=self._earlier_run,
            server_selector=self._server_selector,
            context=context,
        )
        self._targets = StreamTargetFinder(
            request=request,
            service=service,
            engine=engine,
            version=self._version,
            progress=self._progress,
            guard=guard,
            limits=self._limits,
            wait=StreamWait(
                request=request,
                route=route,
                service=service,
                priority=priority,
                workspace=workspace,
                tokens=self._demand.tokens if engine else 0,
                progress=self._progress,
                limits=self._limits,
                server_selector=self._server_selector,
                context=context,
            ),
            earlier_run=self._earlier_run,
            server_selector=self._server_selector,
            exchange=exchange,
            inbox=self._inbox,
            context=context,
        )
        self._error_response: tuple[ResponseHead, bytes] | None = None

    @property
    def possible_runs(self) -> int:
        """Number of servers that may have run the request."""
        return self._limits.attempts

    async def run(self) -> None:
        """Relay the stream to the caller and resume it after losses of servers.

        Raises
        ------
        RequestFailure
            If no event was delivered and no further attempt is possible.
        """
        try:
            self._earlier_run.bind()
            await self._try_targets()
        finally:
            self._context.permits.withdraw(self._request.request_id)
            self._inbox.close()

    async def _try_targets(self) -> None:
        while not self._exchange.is_done:
            target = await self._targets.find(self._run_copy)
            if isinstance(target, GiveUpReason):
                self._give_up(self._context.clock(), target)
            if not isinstance(target, StreamTarget) or self._exchange.is_done:
                return
            result = await self._try_target(target)
            if result.end is AttemptEnd.DONE or self._exchange.is_done:
                return
            self._record_result(target, result)

    def _give_up(self, now: float, reason: GiveUpReason) -> None:
        """End the request without another attempt.

        Raises
        ------
        RequestFailure
            If no event was delivered and no server sent an error response.
        """
        _log.warning(
            "stream_given_up",
            request=self._request.request_id,
            reason=reason.text,
            last_end=self._limits.name_last_end(now),
            last_reason=self._limits.last_reason,
            delivered=self._progress.delivered,
            attempts=self._limits.attempts,
            waited_s=round(now - self._request.arrived_at, 3),
            remaining_s=round(self._limits.caller_deadline - now, 3),
        )
        if self._exchange.is_started:
            self._exchange.abort(self._limits.name_last_end(now))
            return
        if self._error_response is not None:  # more specific than `reason`
            head, body = self._error_response
            self._exchange.respond(head.status, head.headers, body)
            return
        if not self._limits.may_have_run:
            raise make_not_run_failure(
                reason.text, step=reason.step, retry_after_s=reason.retry_after_s
            )
        raise make_unknown_failure(
            reason.text,
            step="stream" if reason.step == "route" else reason.step,
            peer=self._limits.last_peer,
            status=504 if now >= self._limits.caller_deadline else 502,
        )

    # -- attempt -----------------------------------------------------------

    async def _try_target(self, target: StreamTarget) -> AttemptResult:
        now = self._context.clock()
        backend = target.backend
        self._run_copy = None  # a copy can be used only once
        holder = None
        if self._route.may_retry:
            holder = self._server_selector.choose_holder(backend, now)
        self._limits.record_start()
        attempt = Attempt(
            request=self._request,
            backend=backend,
            plan=AttemptPlan(
                remaining_s=self._limits.caller_deadline - now,
                workspace=self._workspace,
                priority=choose_engine_priority(
                    is_late=self._progress.is_late,
                    is_resumed=target.copy is not None or self._progress.delivered > 0,
                    priority=self._priority,
                ),
                copy_to=holder.entry.address if holder else None,
                copy=target.copy,
                last_event_id=self._progress.position,
                max_response_bytes=MAX_STREAM_BYTES,
                patience_s=self._server_selector.estimate_patience_s(
                    backend, now, target_s=self._route.target_latency_s
                ),
                gap_patience_s=compute_gap_patience_s(self._route.target_gap_s),
            ),
            guard=self._guard,
            connections=self._connections,
            inbox=self._inbox,
            context=self._context,
        )
        prefill_tokens = 0 if target.copy else self._demand.prompt_tokens
        reservation = EngineReservation(
            backend, holder, self._demand, prefill_tokens, self._context.on_usage_change
        )
        copy = RunCopy(
            request_id=self._request.request_id,
            stream_key=self._make_key() if self._route.may_retry else None,
            source=backend,
            holder=holder,
            engine=self._engine if self._route.may_retry else None,
            reservation=reservation,
            server_selector=self._server_selector,
            inbox=self._inbox,
            context=self._context,
        )
        log_stream_sent(
            attempt,
            request=self._request,
            route_name=self._route.name,
            guard=self._guard,
            holder=holder,
            demand=self._demand,
            attempts=self._limits.attempts,
            now=now,
            context=self._context,
        )
        return await self._run_attempt(attempt, reservation, copy, target)

    def _make_key(self) -> StreamKey:
        content = self._request.compute_stream_content(self._workspace)
        return StreamKey(content, self._earlier_run.first_request_id)

    async def _run_attempt(
        self,
        attempt: Attempt,
        reservation: EngineReservation,
        copy: RunCopy,
        target: StreamTarget,
    ) -> AttemptResult:
        self._context.suspicion_notifier.subscribe(self._inbox)
        self._context.crash_notifier.subscribe(self._inbox)
        if self._progress.delivered:
            self._progress.resume_source = "copy" if target.copy else "prompt"
        attempt.start()
        self._context.permits.withdraw(self._request.request_id)
        monitor = AttemptMonitor(attempt, self._route, self._context, reservation)
        stream_attempt = StreamAttempt(
            attempt=attempt,
            monitor=monitor,
            copy=copy,
            progress=self._progress,
            guard=self._guard,
            exchange=self._exchange,
            inbox=self._inbox,
            context=self._context,
            read_deadline=lambda: self._limits.deadline,
            can_go_on_elsewhere=lambda: self._targets.has_other(
                copy if monitor.events else None, attempt.backend
            ),
        )
        try:
            result = await stream_attempt.run()
            self._record_quality(attempt, monitor, result)
            if monitor.events:  # engines create copies only after the first event
                self._run_copy = copy
            if result.end is AttemptEnd.LOST:
                self._guard.check_loss(
                    attempt.backend,
                    has_begun=attempt.head is not None,
                    events=monitor.events,
                )
            return result
        finally:
            copy.close(
                is_needed=not self._exchange.is_done,
                is_complete=self._progress.is_complete,
            )
            reservation.release()
            self._context.capacity_notifier.notify()
            self._context.suspicion_notifier.unsubscribe(self._inbox)
            self._context.crash_notifier.unsubscribe(self._inbox)
            attempt.cancel()

    # -- result ------------------------------------------------------------

    def _record_quality(
        self, attempt: Attempt, monitor: AttemptMonitor, result: AttemptResult
    ) -> None:
        """Record a failure of the server for the roll-out of its version."""
        rollouts, name = self._context.rollouts, self._route.name
        is_answer = not monitor.events
        is_over = self._context.clock() >= self._limits.caller_deadline
        if result.end is AttemptEnd.SILENT and is_over:
            rollouts.record_timeout(
                attempt.backend,
                name,
                request_id=attempt.request_id,
                sent_at=attempt.sent_at,
                timeout_s=self._route.timeout_s,
                is_answer=is_answer,
            )
        elif result.end in (AttemptEnd.LOST, AttemptEnd.SILENT, AttemptEnd.ERROR):
            rollouts.record_broken(
                attempt.backend,
                name,
                request_id=attempt.request_id,
                is_answer=is_answer,
                is_connection_lost=result.end is not AttemptEnd.ERROR,
            )

    def _record_result(self, target: StreamTarget, result: AttemptResult) -> None:
        now = self._context.clock()
        backend = target.backend
        end = result.end
        self._context.metrics.attempts.labels(self._route.kind.value, end.value).inc()
        self._error_response = result.error_response or self._error_response
        log_stream_attempt_ended(
            result,
            request=self._request,
            backend=backend,
            is_from_copy=target.copy is not None,
            progress=self._progress,
            copy=self._run_copy,
            now=now,
        )
        if target.copy is not None and end is AttemptEnd.NOT_RUN:
            self._context.metrics.resumes.labels("copy_gone").inc()
        else:
            self._server_selector.avoid(backend, now)
        self._limits.record_end(end, result.reason, backend)
        if end is AttemptEnd.UNREACHABLE and self._limits.attempts:
            self._context.budget.refund_retry(self._service, now)
        if end in (AttemptEnd.LOST, AttemptEnd.SILENT, AttemptEnd.ERROR):
            backend.record_result(succeeded=False, latency_s=None)
