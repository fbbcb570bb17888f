"""Event streams: each event once, across the loss of backend servers."""

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
)

from ebonyhaven_node._failures import give_up, refuse
from ebonyhaven_node.forwarding._attempt_monitors import AttemptMonitor
from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._earlier_runs import EarlierRun
from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    AnswerHead,
    AttemptPlan,
    BackendsChanged,
    CopyPlace,
    ForwardRequest,
)
from ebonyhaven_node.forwarding._outcomes import NO_SERVER_RETRY_S
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._reservations import EngineReservation
from ebonyhaven_node.forwarding._run_copies import RunCopy
from ebonyhaven_node.forwarding._stream_attempts import (
    AttemptEnd,
    AttemptResult,
    StreamAttempt,
)
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector

WAIT_STEP_S = 0.1  # how often a waiting stream looks for room without being woken
TRIES_MAX = 40  # servers that vanish do not count against the route's attempts
RESUME_URGENCY = 2  # before new requests, as a caller is in the middle of its answer
LATE_URGENCY = 7  # a stream that is late already yields to those on time
NEW_URGENCY = 5  # what engines assume by themselves
LAST_START_SHARE = 0.75  # of the caller's time: a later start would not finish
TOO_LATE = "too little time is left for a whole answer"

_log = structlog.get_logger()


class _Target(NamedTuple):
    """Where an attempt goes, and the copy that it goes on from."""

    backend: Backend
    copy: CopyPlace | None


class StreamRelay:
    """Passes on the events of one generation, whatever happens to its engine.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    engine : EngineTraits or None
    workspace : str or None
    urgency : int
        Rank of the request among others, 0 is the most urgent.
    exchange : Exchange
    parts : RelayContext
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        service: str,
        engine: EngineTraits | None,
        workspace: str | None,
        urgency: int,
        exchange: Exchange,
        parts: RelayContext,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._engine = engine
        self._workspace = workspace
        self._urgency = urgency
        self._exchange = exchange
        self._context = parts
        self._inbox = Inbox(parts.reactor)
        size = request.size
        self._need = (
            TokenDemand(size.prompt_tokens, size.output_tokens)
            if size
            else TokenDemand(0, 0)
        )
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        self._deadline = request.arrived_at + wait_s
        self._last_start = request.arrived_at + LAST_START_SHARE * wait_s
        self._progress = StreamProgress(
            request=request, route=route, exchange=exchange, parts=parts
        )
        self._attempts = 0
        self._tries = 0
        self._charged = 0
        self._may_have_run = False
        self._servers = StreamServerSelector(
            service=service, engine=engine, demand=self._need, parts=parts
        )
        self._copy: RunCopy | None = None
        self._earlier = EarlierRun(request=request, route=route, parts=parts)
        self._failed: tuple[AnswerHead, bytes] | None = None
        self._last_reason = "no server was tried"
        self._last_peer = "self"

    async def run(self) -> None:
        """Answer the caller.

        Raises
        ------
        RequestFailure
            When nothing was delivered and nothing more can be tried.
        """
        self._context.budget.record_request(self._service, self._context.clock())
        await self._earlier.look()
        while not self._exchange.is_done:
            target = await self._find_server()
            if target is None or self._exchange.is_done:
                return
            result = await self._try_server(target)
            if result.end is AttemptEnd.DONE or self._exchange.is_done:
                return
            self._note_result(target, result)

    # -- choosing ----------------------------------------------------------

    async def _find_server(self) -> _Target | None:
        """Wait for a server with room and return it; None when given up."""
        self._context.capacity_notifier.subscribe(self._inbox)
        try:
            while not self._exchange.is_done:
                now = self._context.clock()
                self._check_limits(now)
                choice = self._choose(now)
                if choice is not None and self._take_repeat(now):
                    return choice
                message = await self._inbox.get(WAIT_STEP_S)
                while message is not None and not isinstance(message, BackendsChanged):
                    message = await self._inbox.get(0.0)
        finally:
            self._context.capacity_notifier.unsubscribe(self._inbox)
        return None

    def _take_repeat(self, now: float) -> bool:
        if not self._attempts:
            return True
        if self._context.budget.acquire_retry(self._service, now):
            return True
        self._context.metrics.budget_refusals.inc()
        return False

    def _check_limits(self, now: float) -> None:
        """End the request if another attempt is not allowed or cannot help."""
        if now >= self._deadline:
            self._end_without(now, "the time of the request is over")
        elif not self._may_have_run and now >= self._last_start:
            self._end_without(now, "no server had room in time")
        elif not self._progress.delivered and not self._can_end_in_time(now):
            self._end_without(now, TOO_LATE)
        elif self._may_have_run and not self._route.may_retry:
            self._end_without(now, self._last_reason)
        elif self._stops_servers():
            self._end_without(now, "servers died each time they began the request")
        elif self._charged >= self._route.max_attempts or self._tries >= TRIES_MAX:
            self._end_without(now, f"too many attempts; last: {self._last_reason}")

    def _can_end_in_time(self, now: float) -> bool:
        position = self._progress.position or ""
        return self._context.get_stream_durations(self._route.name).can_finish_in_time(
            remaining_s=self._deadline - now,
            events_delivered=int(position) if position.isdigit() else 0,
            has_copy=self._earlier.has_copy,
        )

    def _stops_servers(self) -> bool:
        if not self._may_have_run:
            return False
        verdict = self._context.crashes.judge(self._request.content)
        return verdict is CrashVerdict.STOPPED

    def _end_without(self, now: float, reason: str) -> None:
        _log.warning(
            "stream_given_up",
            request=self._request.request_id,
            reason=reason,
            delivered=self._progress.delivered,
            attempts=self._attempts,
            waited_s=round(now - self._request.arrived_at, 3),
        )
        if self._exchange.is_started:
            self._exchange.abort()
            return
        if self._failed is not None:  # the server's own failure says more
            head, body = self._failed
            self._exchange.respond(head.status, head.headers, body)
            return
        if not self._may_have_run:
            retry_after_s = None if reason == TOO_LATE else NO_SERVER_RETRY_S
            raise refuse(reason, step="route", retry_after_s=retry_after_s)
        is_late = now >= self._deadline
        raise give_up(
            reason, step="stream", peer=self._last_peer, status=504 if is_late else 502
        )

    def _choose(self, now: float) -> _Target | None:
        copy = self._copy
        if copy is not None and copy.is_usable(now):
            return _Target(copy.holder, copy.place)
        self._copy = None
        earlier = self._earlier.take_copy(now)
        if earlier is not None:
            return _Target(*earlier)
        waited_s, target_s = self._progress.read_wait(now)
        backend = self._servers.choose(
            self._request.prompt_id or "", now, waited_s=waited_s, target_s=target_s
        )
        return None if backend is None else _Target(backend, None)

    # -- one attempt -------------------------------------------------------

    async def _try_server(self, target: _Target) -> AttemptResult:
        now = self._context.clock()
        backend = target.backend
        self._copy = None  # a copy serves once
        holder = None
        if self._route.may_retry:
            holder = self._servers.choose_holder(backend, now)
        self._attempts += 1
        self._tries += 1
        attempt = Attempt(
            request=self._request,
            backend=backend,
            plan=AttemptPlan(
                remaining_s=self._deadline - now,
                workspace=self._workspace,
                urgency=self._rank(target.copy is not None),
                copy_to=holder.entry.address if holder else None,
                copy=target.copy,
                last_event_id=self._progress.position,
            ),
            inbox=self._inbox,
            parts=self._context,
        )
        prefill = 0 if target.copy else self._need.prompt_tokens
        claim = EngineReservation(
            backend, holder, self._need, prefill, self._context.on_usage_change
        )
        copy = RunCopy(
            request_id=self._request.request_id,
            run_key=self._request.run_key if self._route.may_retry else None,
            source=backend,
            holder=holder,
            engine=self._engine if self._route.may_retry else None,
            claim=claim,
            servers=self._servers,
            inbox=self._inbox,
            parts=self._context,
        )
        self._log_sent(target, holder, now)
        return await self._run_attempt(attempt, claim, copy, target)

    async def _run_attempt(
        self, attempt: Attempt, claim: EngineReservation, copy: RunCopy, target: _Target
    ) -> AttemptResult:
        self._context.suspicion_notifier.subscribe(self._inbox)
        if self._progress.delivered:
            self._progress.resume_source = "copy" if target.copy else "prompt"
        attempt.start()
        follower = AttemptMonitor(attempt, self._route, self._context, claim)
        following = StreamAttempt(
            attempt=attempt,
            follower=follower,
            copy=copy,
            progress=self._progress,
            exchange=self._exchange,
            inbox=self._inbox,
            parts=self._context,
            deadline=self._deadline,
        )
        try:
            result = await following.follow()
            if follower.events:  # engines copy nothing before the first event
                self._copy = copy
            elif result.end is AttemptEnd.LOST:
                self._context.report_death(self._request, attempt.backend)
            return result
        finally:
            copy.close(
                is_needed=not self._exchange.is_done,
                is_complete=self._progress.is_complete,
            )
            claim.release()
            self._context.capacity_notifier.notify()
            self._context.suspicion_notifier.unsubscribe(self._inbox)
            attempt.cancel()

    def _log_sent(self, target: _Target, holder: Backend | None, now: float) -> None:
        backend = target.backend
        peers = self._context.peers.sum_by_server(now).get(
            backend.server_id, EngineUse()
        )
        _log.info(
            "stream_sent",
            request=self._request.request_id,
            route=self._route.name,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            from_copy=target.copy is not None,
            copy_to=holder.server_id if holder else None,
            position=self._progress.position,
            attempt=self._attempts,
            tokens=self._need.tokens,
            own_use=[backend.run_tokens, backend.copy_tokens, backend.prefill_tokens],
            peer_use=list(peers),
            waited_s=round(now - self._request.arrived_at, 3),
        )

    def _rank(self, is_from_copy: bool) -> int | None:
        if self._progress.is_late:
            return LATE_URGENCY
        if is_from_copy or self._progress.delivered:
            return RESUME_URGENCY
        rank = NEW_URGENCY - 1 + min(2, self._urgency)
        return None if rank == NEW_URGENCY else rank

    # -- after an attempt --------------------------------------------------

    def _note_result(self, target: _Target, result: AttemptResult) -> None:
        now = self._context.clock()
        backend = target.backend
        end = result.end
        self._context.metrics.attempts.labels(self._route.kind.value, end.value).inc()
        self._last_reason = result.reason
        self._last_peer = backend.server_id
        self._failed = result.failure or self._failed
        self._log_ended(target, result, now)
        if target.copy is not None and end is AttemptEnd.NOT_RUN:
            self._context.metrics.resumes.labels("copy_gone").inc()
            return
        self._servers.avoid(backend, now)
        if end is AttemptEnd.UNREACHABLE:
            self._attempts -= 1
            if self._attempts:
                self._context.budget.refund_retry(self._service, now)
        if end in (AttemptEnd.NOT_RUN, AttemptEnd.UNREACHABLE):
            return
        self._may_have_run = True
        backend.record_result(succeeded=False, latency_s=None)
        if end in (AttemptEnd.SILENT, AttemptEnd.ERROR):
            self._charged += 1

    def _log_ended(self, target: _Target, result: AttemptResult, now: float) -> None:
        copy = self._copy
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
