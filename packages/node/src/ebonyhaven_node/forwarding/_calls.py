"""Requests with a single response: retries and hedging of repeatable ones."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import Route

from ebonyhaven_node._failures import make_not_run_failure, make_unknown_failure
from ebonyhaven_node.forwarding._attempt_logs import log_call_sent
from ebonyhaven_node.forwarding._attempts import (
    Attempt,
    AttemptFailed,
    ResponseCompleted,
    ResponseData,
    ResponseEndChecked,
    ResponseStarted,
)
from ebonyhaven_node.forwarding._call_limits import CallLimits
from ebonyhaven_node.forwarding._call_records import CallRecorder, is_own_response
from ebonyhaven_node.forwarding._call_servers import CallServerSelector
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._http_client import HttpConnection
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._outcomes import (
    ALL_LEAVING_REASON,
    LIMITED_REASON,
    NO_SERVER_RETRY_AFTER_S,
    NOT_RUN_STATUSES,
    REPLACEMENT_RETRY_AFTER_S,
    RESTING_REASON,
    SILENT_REASON,
    UNREACHED_REASON,
    make_crash_reason,
    make_late_call_failure,
    make_leaving_failure,
    make_unreached_failure,
)
from ebonyhaven_node.forwarding._requests import (
    ForwardRequest,
    ResponseHead,
)
from ebonyhaven_node.forwarding._response_buffers import ResponseBuffers

_log = structlog.get_logger()


class CallRelay:
    """Forwards a request that has a single response, buffered until complete.

    A request that was certainly not run is sent to another server. One that may have
    run is retried only if its route allows retries. On such routes, a slow attempt is
    also hedged by an attempt on a second server.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    workspace : str or None
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
        workspace: str | None,
        guard: CrashGuard,
        exchange: Exchange,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._guard = guard
        self._exchange = exchange
        self._context = context
        self._inbox = Inbox(context.reactor)
        self._attempts: list[Attempt] = []
        self._running: list[Attempt] = []
        self._connections: list[HttpConnection] = []
        self._responses = ResponseBuffers(context.response_bytes)
        self._error_response: tuple[ResponseHead, bytes] | None = None
        self._limits = CallLimits(route, earlier_runs=request.count_earlier_runs())
        self._last_reason = "no server was tried"
        self._last_peer = "self"
        self._retry_after_s = NO_SERVER_RETRY_AFTER_S
        self._servers = CallServerSelector(
            request=request,
            route=route,
            service=service,
            workspace=workspace,
            context=context,
        )
        self._recorder = CallRecorder(route=route, guard=guard, context=context)
        self._caller_deadline = self._servers.caller_deadline

    @property
    def possible_runs(self) -> int:
        """Number of servers that may have run the request."""
        return self._limits.possible_runs

    @property
    def _deadline(self) -> float:
        return self._context.shutdown.limit_deadline(self._caller_deadline)

    async def run(self) -> None:
        """Forward the request and send the response to the caller.

        Raises
        ------
        RequestFailure
            If no server returned a response that may be forwarded.
        """
        self._context.capacity_notifier.subscribe(self._inbox)
        try:
            await self._run_attempts()
        finally:
            self._context.capacity_notifier.unsubscribe(self._inbox)
            self._context.permits.withdraw(self._request.request_id)
            for attempt in self._attempts:
                attempt.cancel()
            self._responses.close()
            self._inbox.close()

    async def _run_attempts(self) -> None:
        self._advance()
        while not self._exchange.is_done:
            now = self._context.clock()
            if now >= self._deadline:
                raise self._make_late_failure(now)
            message = await self._inbox.get(self._next_timeout(now))
            if message is not None:
                self._handle_message(message)
            if self._exchange.is_done:
                return
            self._advance()

    def _advance(self) -> None:
        """Start another attempt if one is due; fail if no further one is possible."""
        now = self._context.clock()
        if self._guard.is_undecided():
            return
        if self._running:
            if self._is_hedge_due(now) and not self._is_blocked():
                self._start_attempt()
            return
        if self._context.is_left_to_peers() and not self._limits.possible_runs:
            raise make_unreached_failure(UNREACHED_REASON)
        may_start = not self._limits.is_exhausted() and not self._is_blocked()
        if may_start and self._start_attempt():
            return
        if not self._limits.possible_runs:
            self._leave_to_other_instance()
        if may_start and self._may_wait(now):
            return
        self._finish_without_success()

    def _leave_to_other_instance(self) -> None:
        """Refuse a request that would wait longer than this instance is there.

        Raises
        ------
        RequestFailure
            If this instance stops before the deadline of the request.
        """
        if self._context.shutdown.cuts(self._caller_deadline):
            raise make_leaving_failure()

    def _may_wait(self, now: float) -> bool:
        """Return whether a server may take the request soon."""
        if now >= self._servers.wait_deadline:
            return False
        if self._context.state.backends.has_only_leaving(self._service):
            self._last_reason = ALL_LEAVING_REASON
            self._retry_after_s = REPLACEMENT_RETRY_AFTER_S
            return False
        limits = self._context.state.backends.limits
        rest_end = limits.find_rest_end(self._service, now)
        if rest_end is not None:
            self._last_reason = RESTING_REASON
            self._retry_after_s = rest_end - now
            return rest_end <= self._servers.target_deadline
        if limits.find_limit_end(self._service, now) is None:
            self._servers.ask_for_permit()
            return True
        self._last_reason = LIMITED_REASON
        return False

    def _is_blocked(self) -> bool:
        return self._guard.find_blocked_trait() is not None

    def _finish_without_success(self) -> None:
        """Forward the last error response if allowed, or fail the request."""
        if self._error_response is not None and self._may_forward_error():
            self._respond(*self._error_response)
        elif self._limits.possible_runs:
            raise make_unknown_failure(
                self._last_reason, step="call", peer=self._last_peer
            )
        elif self._is_blocked():
            trait = self._guard.find_blocked_trait()
            raise make_not_run_failure(make_crash_reason(trait), step="crash")
        elif self._servers.has_only_silent() and not self._limits.refusals:
            raise make_unreached_failure(SILENT_REASON, peer=self._last_peer)
        elif self._limits.unreached and not self._limits.refusals:
            raise make_unreached_failure(self._last_reason, peer=self._last_peer)
        else:
            raise make_not_run_failure(
                f"no server took the request: {self._last_reason}",
                step="route",
                peer=self._last_peer,
                retry_after_s=self._retry_after_s,
            )

    def _may_forward_error(self) -> bool:
        """Return whether the error response may be forwarded.

        Callers read some statuses as proof that the request was not run.
        """
        return self._error_response[0].status not in NOT_RUN_STATUSES

    def _next_timeout(self, now: float) -> float:
        wake_at = self._deadline
        running = self._running
        if not running:
            wake_at = min(wake_at, self._servers.find_next_choice(now))
        elif len(running) == 1 and self._limits.can_hedge():
            wake_at = min(wake_at, running[0].sent_at + self._limits.hedge_delay_s)
        return max(0.001, wake_at - now)

    def _is_hedge_due(self, now: float) -> bool:
        return (
            len(self._running) == 1
            and self._limits.can_hedge()
            and not self._guard.is_trial
            and now - self._running[0].sent_at >= self._limits.hedge_delay_s
        )

    def _start_attempt(self) -> bool:
        """Start an attempt if a server is available and the retry budget allows it."""
        now = self._context.clock()
        backend = self._servers.choose(now)
        if backend is None:
            return False
        if self._limits.is_retry and not self._context.budget.acquire_retry(
            self._service, now
        ):
            self._context.metrics.budget_refusals.inc()
            self._limits.is_budget_exhausted = True
            return False
        attempt = Attempt(
            request=self._request,
            backend=backend,
            plan=self._servers.make_plan(backend, now),
            guard=self._guard,
            connections=self._connections,
            inbox=self._inbox,
            context=self._context,
        )
        log_call_sent(
            attempt,
            request=self._request,
            route_name=self._route.name,
            guard=self._guard,
            attempts=len(self._attempts) + 1,
            now=now,
            context=self._context,
        )
        self._attempts.append(attempt)
        self._running.append(attempt)
        self._limits.attempts += 1
        attempt.start()
        self._context.permits.withdraw(self._request.request_id)
        return True

    def _handle_message(self, message: object) -> None:
        match message:
            case ResponseStarted(attempt, head):
                self._responses.start(attempt, head)
            case ResponseData(attempt, data):
                self._buffer_data(attempt, data)
            case ResponseCompleted(attempt, is_delimited) if attempt in self._running:
                self._recorder.record_end(is_delimited=is_delimited)
                if is_delimited or attempt.head.not_run:
                    self._complete_attempt(attempt, is_delimited=is_delimited)
                else:
                    attempt.check_end()
            case ResponseEndChecked(attempt, has_ended) if attempt in self._running:
                if has_ended:
                    self._lose_ended_attempt(attempt)
                else:
                    self._complete_attempt(attempt, is_delimited=False)
            case AttemptFailed(
                attempt, was_sent, is_connection_lost, reason, unreached, is_final
            ):
                self._running.remove(attempt)
                self._limits.unreached += unreached
                self._limits.is_unsendable |= is_final
                self._fail_attempt(attempt, was_sent, reason)
                if was_sent:
                    self._recorder.record_broken(
                        attempt, is_connection_lost=is_connection_lost
                    )

    def _buffer_data(self, attempt: Attempt, data: bytes) -> None:
        if self._responses.add(attempt, data):
            return
        attempt.cancel()
        self._running.remove(attempt)
        self._fail_attempt(attempt, True, "too much of other responses is kept")

    def _lose_ended_attempt(self, attempt: Attempt) -> None:
        """Treat a response whose server has ended with it as broken off."""
        self._running.remove(attempt)
        self._fail_attempt(attempt, True, "the server ended with its response")
        self._recorder.record_broken(attempt, is_connection_lost=True)

    def _complete_attempt(self, attempt: Attempt, *, is_delimited: bool) -> None:
        self._running.remove(attempt)
        head, body = self._responses.take(attempt)
        latency_s = self._context.clock() - attempt.sent_at
        if head.not_run:
            self._record_refusal(attempt, head)
            return
        is_success = self._recorder.record_response(
            attempt, head, is_delimited=is_delimited, latency_s=latency_s
        )
        if is_success:
            self._servers.record_answer(attempt.backend, latency_s)
            self._recorder.count("answered")
            self._recorder.record_overtaken(self._running, attempt)
            self._respond(head, body)
            return
        self._limits.possible_runs += 1
        self._recorder.count("error")
        self._servers.exclude(attempt.backend)
        self._record_last_failure(attempt, f"server answered with {head.status}")
        if is_own_response(head):
            self._error_response = (head, body)

    def _record_refusal(self, attempt: Attempt, head: ResponseHead) -> None:
        self._recorder.record_refusal(attempt, head)
        self._limits.refusals += 1
        self._servers.exclude(attempt.backend)
        self._record_last_failure(attempt, f"server refused with {head.status}")

    def _fail_attempt(self, attempt: Attempt, was_sent: bool, reason: str) -> None:
        self._responses.drop(attempt)
        self._servers.exclude(attempt.backend)
        self._record_last_failure(attempt, reason)
        self._recorder.count("lost" if was_sent else "unreachable")
        if was_sent:
            self._limits.possible_runs += 1
            attempt.backend.record_result(succeeded=False, latency_s=None)
        else:
            self._attempts.remove(attempt)
            self._limits.attempts -= 1
            if self._limits.is_retry:
                self._context.budget.refund_retry(self._service, self._context.clock())
        _log.info(
            "attempt_failed",
            request=self._request.request_id,
            server=attempt.backend.server_id,
            was_sent=was_sent,
            reason=reason,
        )

    def _record_last_failure(self, attempt: Attempt, reason: str) -> None:
        self._last_reason = reason
        self._last_peer = attempt.backend.server_id

    def _respond(self, head: ResponseHead, body: bytes) -> None:
        elapsed_s = self._context.clock() - self._request.arrived_at
        self._context.metrics.latency.labels(self._route.kind.value).observe(elapsed_s)
        self._exchange.respond(head.status, head.headers, body)

    def _make_late_failure(self, now: float) -> Exception:
        """Return the failure of a request at its deadline."""
        may_have_run = self._limits.possible_runs > 0 or any(
            each.was_sent for each in self._attempts
        )
        is_timeout = now >= self._caller_deadline
        if is_timeout:
            self._recorder.record_timeouts(self._running)
        return make_late_call_failure(
            is_timeout=is_timeout, may_have_run=may_have_run, peer=self._last_peer
        )
