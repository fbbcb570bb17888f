"""Event streams: each event once, across the loss of backend servers."""

from __future__ import annotations

import enum
import math

import structlog
from ebonyhaven_decisions import CrashVerdict
from ebonyhaven_decisions.forwarding import (
    RECHECK_S,
    Backend,
    EngineTraits,
    EngineUse,
    Need,
    Route,
    SilenceLimits,
    choose_backend,
    choose_copy_holder,
    choose_engine,
    limit_first_event,
    limit_gap,
)

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._events import EventSplitter
from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    AnswerData,
    AnswerEnded,
    AnswerHead,
    AnswerStarted,
    AttemptFailed,
    AttemptPlan,
    BackendChecked,
    BackendsChanged,
    BackendSuspected,
    ForwardRequest,
)
from ebonyhaven_node.forwarding._outcomes import NO_SERVER_RETRY_S, give_up, refuse
from ebonyhaven_node.forwarding._parts import SILENT_SERVER_S, RelayParts
from ebonyhaven_node.forwarding._usage import EngineClaim

WAIT_STEP_S = 0.1  # how often a waiting stream looks for room without being woken
AVOID_S = 2.0  # a server that lost a stream is chosen last for this time
TRIES_MAX = 40  # servers that vanish do not count against the route's attempts
RESUME_URGENCY = 2  # before new requests, as a caller is in the middle of its answer
LATE_URGENCY = 7  # a stream that is late already yields to those on time
NEW_URGENCY = 5  # what engines assume by themselves
LAST_START_SHARE = 0.75  # of the caller's time: a later start would not finish

_log = structlog.get_logger()


class _End(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SILENT = "silent"
    ERROR = "error"


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
    parts : RelayParts
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
        parts: RelayParts,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._engine = engine
        self._workspace = workspace
        self._urgency = urgency
        self._exchange = exchange
        self._parts = parts
        self._inbox = Inbox(parts.reactor)
        size = request.size
        self._need = (
            Need(size.prompt_tokens, size.output_tokens) if size else Need(0, 0)
        )
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        self._deadline = request.arrived_at + wait_s
        self._last_start = request.arrived_at + LAST_START_SHARE * wait_s
        self._position = request.last_event_id
        self._delivered = 0
        self._delivered_at = 0.0
        self._is_late = False
        self._attempts = 0
        self._tries = 0
        self._charged = 0
        self._may_have_run = False
        self._avoided: dict[tuple[str, int], float] = {}
        self._holder: Backend | None = None
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
        self._parts.budget.record_request(self._service, self._parts.clock())
        while not self._exchange.is_done:
            plan = await self._find_server()
            if plan is None or self._exchange.is_done:
                return
            backend, is_from_copy = plan
            end = await self._try_server(backend, is_from_copy)
            if end is _End.DONE or self._exchange.is_done:
                return
            self._note_end(backend, end, is_from_copy)

    # -- choosing ----------------------------------------------------------

    async def _find_server(self) -> tuple[Backend, bool] | None:
        """Wait for a server with room and return it; None when given up."""
        self._parts.waiters.join(self._inbox)
        try:
            while not self._exchange.is_done:
                now = self._parts.clock()
                self._check_limits(now)
                choice = self._choose(now)
                if choice is not None and self._take_repeat(now):
                    return choice
                message = await self._inbox.get(WAIT_STEP_S)
                while message is not None and not isinstance(message, BackendsChanged):
                    message = await self._inbox.get(0.0)
        finally:
            self._parts.waiters.leave(self._inbox)
        return None

    def _take_repeat(self, now: float) -> bool:
        if not self._attempts:
            return True
        if self._parts.budget.take_repeat(self._service, now):
            return True
        self._parts.metrics.budget_refusals.inc()
        return False

    def _check_limits(self, now: float) -> None:
        """End the request if another attempt is not allowed or cannot help."""
        if now >= self._deadline:
            self._end_without(now, "the time of the request is over")
        elif not self._may_have_run and now >= self._last_start:
            self._end_without(now, "no server had room in time")
        elif self._may_have_run and not self._route.may_repeat:
            self._end_without(now, self._last_reason)
        elif self._stops_servers():
            self._end_without(now, "servers died each time they began the request")
        elif self._charged >= self._route.max_attempts or self._tries >= TRIES_MAX:
            self._end_without(now, f"too many attempts; last: {self._last_reason}")

    def _stops_servers(self) -> bool:
        if not self._may_have_run:
            return False
        verdict = self._parts.crashes.judge(self._request.content)
        return verdict is CrashVerdict.STOPPED

    def _end_without(self, now: float, reason: str) -> None:
        _log.warning(
            "stream_given_up",
            request=self._request.request_id,
            reason=reason,
            delivered=self._delivered,
            attempts=self._attempts,
            waited_s=round(now - self._request.arrived_at, 3),
        )
        if self._exchange.is_started:
            self._exchange.abort()
            return
        if self._failed is not None:
            head, body = self._failed
            self._exchange.respond(head.status, head.headers, body)
            return
        if not self._may_have_run:
            raise refuse(reason, step="route", retry_after_s=NO_SERVER_RETRY_S)
        is_late = now >= self._deadline
        raise give_up(
            reason, step="stream", peer=self._last_peer, status=504 if is_late else 502
        )

    def _choose(self, now: float) -> tuple[Backend, bool] | None:
        holder = self._holder
        if holder is not None and self._is_copy_usable(holder, now):
            return holder, True
        self._holder = None
        avoided = [key for key, until in self._avoided.items() if now < until]
        directory = self._parts.state.backends
        usable = directory.list_usable(self._service, now, avoided)
        if not usable:
            usable = directory.list_usable(self._service, now)
        usable = [each for each in usable if self._has_connections(each)]
        usable = directory.prefer_undoubted(usable, now)
        if self._engine is None:
            chosen = choose_backend(
                usable,
                data_centre=self._parts.data_centre,
                now=now,
                rng=self._parts.rng,
            )
        else:
            chosen = choose_engine(
                usable,
                need=self._need,
                memory_tokens=self._engine.memory_tokens,
                peers=self._parts.peers.sum_up(now),
                rng=self._parts.rng,
                prompt_id=self._request.prompt_id or "",
            )
        return None if chosen is None else (chosen, False)

    def _has_connections(self, backend: Backend) -> bool:
        configuration = self._parts.state.configuration
        service = configuration.services.get(self._service) if configuration else None
        if service is None:
            return True
        share = service.max_connections / max(1, self._parts.budget.instances)
        return self._parts.pool.count_open(backend.entry.address) < max(2.0, share)

    def _is_copy_usable(self, holder: Backend, now: float) -> bool:
        return self._parts.state.backends.find(
            holder.server_id
        ) is holder and holder.is_usable_for_copy(now)

    def _choose_holder(self, backend: Backend, now: float) -> Backend | None:
        if self._engine is None or not self._engine.copies_runs:
            return None
        if not self._route.may_repeat or not self._need.prompt_tokens:
            return None
        avoided = [key for key, until in self._avoided.items() if now < until]
        directory = self._parts.state.backends
        usable = directory.list_usable(self._service, now, avoided)
        return choose_copy_holder(
            directory.prefer_undoubted(usable, now),
            source=backend,
            need=self._need,
            memory_tokens=self._engine.memory_tokens,
            peers=self._parts.peers.sum_up(now),
            rng=self._parts.rng,
        )

    # -- one attempt -------------------------------------------------------

    async def _try_server(self, backend: Backend, is_from_copy: bool) -> _End:
        now = self._parts.clock()
        holder = self._choose_holder(backend, now)
        self._attempts += 1
        self._tries += 1
        attempt = Attempt(
            request=self._request,
            backend=backend,
            plan=AttemptPlan(
                remaining_s=self._deadline - now,
                workspace=self._workspace,
                urgency=self._rank(is_from_copy),
                copy_to=holder.entry.address if holder else None,
                copy_at=backend.entry.address if is_from_copy else None,
                last_event_id=self._position,
            ),
            inbox=self._inbox,
            parts=self._parts,
        )
        prefill = 0 if is_from_copy else self._need.prompt_tokens
        claim = EngineClaim(backend, holder, self._need, prefill, self._parts.on_use)
        self._log_sent(backend, holder, is_from_copy, now)
        self._parts.suspicions.join(backend.entry.data_centre, self._inbox)
        attempt.start()
        try:
            return await self._follow(attempt, claim, holder, is_from_copy)
        finally:
            claim.release()
            self._parts.waiters.wake()
            self._parts.suspicions.leave(backend.entry.data_centre, self._inbox)
            attempt.cancel()

    def _log_sent(
        self, backend: Backend, holder: Backend | None, is_from_copy: bool, now: float
    ) -> None:
        peers = self._parts.peers.sum_up(now).get(backend.server_id, EngineUse())
        _log.info(
            "stream_sent",
            request=self._request.request_id,
            route=self._route.name,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            from_copy=is_from_copy,
            copy_to=holder.server_id if holder else None,
            position=self._position,
            attempt=self._attempts,
            tokens=self._need.tokens,
            own_use=[backend.run_tokens, backend.copy_tokens, backend.prefill_tokens],
            peer_use=list(peers),
            waited_s=round(now - self._request.arrived_at, 3),
        )

    def _rank(self, is_from_copy: bool) -> int | None:
        if self._is_late:
            return LATE_URGENCY
        if is_from_copy or self._delivered:
            return RESUME_URGENCY
        rank = NEW_URGENCY - 1 + min(2, self._urgency)
        return None if rank == NEW_URGENCY else rank

    async def _follow(
        self,
        attempt: Attempt,
        claim: EngineClaim,
        holder: Backend | None,
        is_from_copy: bool,
    ) -> _End:
        follower = _Follower(attempt, self._route, self._parts, claim)
        follower.started_at = self._parts.clock()
        if self._delivered:
            follower.resume_source = "copy" if is_from_copy else "prompt"
        while True:
            now = self._parts.clock()
            has_copy = holder is not None and self._is_copy_usable(holder, now)
            limits = follower.read_limits(has_copy)
            wait_s = min(follower.read_wait(limits, now), self._deadline - now)
            message = await self._inbox.get(wait_s)
            if self._exchange.is_done:
                return _End.DONE
            end = self._take(message, attempt, follower, limits)
            if end is None:
                continue
            if end is _End.LOST and not follower.events:
                self._parts.count_death(self._request, attempt.backend)
            if follower.events:  # engines copy nothing before the first event
                self._holder = holder
            return end

    def _take(
        self,
        message: object,
        attempt: Attempt,
        follower: _Follower,
        limits: SilenceLimits,
    ) -> _End | None:
        """Handle one message; return how the attempt ended, if it did."""
        end = None
        match message:
            case None:
                end = self._handle_silence(attempt, follower, limits)
            case BackendSuspected(server_key):
                end = self._handle_suspicion(server_key, attempt, follower)
            case BackendChecked(server_key, False) if server_key == attempt.backend.key:
                end = self._handle_dead(attempt, follower)
            case AnswerStarted(sender, head) if sender is attempt:
                follower.take_head(head)
                if head.is_other_process:
                    self._parts.count_replaced(attempt.backend, head.other_server)
            case AnswerData(sender, data) if sender is attempt:
                end = self._take_data(data, follower)
            case AnswerEnded(sender) if sender is attempt:
                end = self._take_end(follower)
            case AttemptFailed(sender) if sender is attempt:
                end = self._take_failure(message)
        return end

    def _handle_suspicion(
        self, server_key: tuple[str, int], attempt: Attempt, follower: _Follower
    ) -> _End | None:
        """Leave a server that another stream found lost; check those near it."""
        if not attempt.was_sent or not follower.is_doubtful():
            return None
        if server_key == attempt.backend.key:
            self._last_reason = "the server was found silent by another stream"
            return _End.SILENT
        if not follower.events:
            self._check(attempt, follower)
        return None

    def _handle_dead(self, attempt: Attempt, follower: _Follower) -> _End | None:
        if not follower.is_doubtful():
            return None
        self._last_reason = "the server accepts no connection"
        self._parts.count_unreachable(attempt.backend)
        return _End.SILENT

    def _check(self, attempt: Attempt, follower: _Follower) -> None:
        now = self._parts.clock()
        if now - follower.checked_at >= RECHECK_S:
            follower.checked_at = now
            self._parts.check(attempt.backend, self._inbox)

    def _take_failure(self, message: AttemptFailed) -> _End:
        self._last_reason = message.reason
        if not message.was_sent:
            return _End.UNREACHABLE
        return _End.LOST if message.is_reset else _End.ERROR

    def _handle_silence(
        self, attempt: Attempt, follower: _Follower, limits: SilenceLimits
    ) -> _End | None:
        now = self._parts.clock()
        backend = attempt.backend
        silent_s = now - follower.heard_at
        if now < self._deadline and silent_s < limits.give_up_s:
            self._check(attempt, follower)
            return None
        self._last_reason = f"silent for {silent_s:.2f} s"
        if now - backend.heard_at > SILENT_SERVER_S and follower.events:
            self._parts.count_unreachable(backend)
        return _End.SILENT if attempt.was_sent else _End.UNREACHABLE

    def _take_data(self, data: bytes, follower: _Follower) -> _End | None:
        head = follower.head
        if head.status != 200 or not head.has_proof or head.request_id is None:
            follower.error_body.append(data)
            return None
        try:
            blocks = follower.splitter.feed(data)
        except ValueError as error:
            self._last_reason = str(error)
            return _End.ERROR
        now = self._parts.clock()
        out = [block for block in blocks if self._is_next(block)]
        if blocks:
            follower.record_events(now, len(blocks))
        if out:
            self._deliver(b"".join(out), len(out), follower, now)
        return None

    def _is_next(self, block: bytes) -> bool:
        """Tell whether an event comes after what the caller has."""
        event_id = self._parts.dialect.read_event_id(block)
        if event_id is None:
            return True
        if self._position is not None and not _is_after(event_id, self._position):
            return False
        self._position = event_id
        return True

    def _deliver(
        self, data: bytes, count: int, follower: _Follower, now: float
    ) -> None:
        if not self._exchange.is_started:
            head = follower.head
            self._exchange.start_stream(head.status, head.headers)
            elapsed_s = now - self._request.arrived_at
            self._parts.metrics.first_event.observe(elapsed_s)
            self._is_late = elapsed_s > self._route.target_latency_s
        else:
            self._note_pause(now - self._delivered_at, follower)
        self._exchange.write(data)
        self._delivered += count
        self._delivered_at = now

    def _note_pause(self, pause_s: float, follower: _Follower) -> None:
        target_s = self._route.target_gap_s
        if target_s and pause_s > target_s:
            self._is_late = True
        if follower.resume_source is None:
            return
        self._parts.metrics.resumes.labels(follower.resume_source).inc()
        self._parts.metrics.resume_pause.observe(pause_s)
        _log.info(
            "stream_resumed",
            request=self._request.request_id,
            source=follower.resume_source,
            pause_s=round(pause_s, 3),
            position=self._position,
        )
        follower.resume_source = None

    def _take_end(self, follower: _Follower) -> _End:
        head = follower.head
        if head.not_run:
            self._last_reason = f"server refused with {head.status}"
            return _End.NOT_RUN
        if head.status != 200 or not head.has_proof or head.request_id is None:
            body = b"".join(follower.error_body)
            self._last_reason = f"server answered with {head.status}"
            if head.has_proof and not self._exchange.is_started:
                self._failed = (head, body)
                if head.status < 500:
                    self._exchange.respond(head.status, head.headers, body)
                    return _End.DONE
            return _End.ERROR
        if not self._exchange.is_started:
            self._exchange.start_stream(head.status, head.headers)
        rest = follower.splitter.take_rest()
        if rest:
            self._exchange.write(rest)
        self._exchange.finish()
        return _End.DONE

    # -- after an attempt --------------------------------------------------

    def _note_end(self, backend: Backend, end: _End, is_from_copy: bool) -> None:
        now = self._parts.clock()
        kind = self._route.kind.value
        self._parts.metrics.attempts.labels(kind, end.value).inc()
        self._last_peer = backend.server_id
        _log.info(
            "stream_attempt_ended",
            request=self._request.request_id,
            server=backend.server_id,
            end=end.value,
            reason=self._last_reason,
            delivered=self._delivered,
            position=self._position,
            from_copy=is_from_copy,
            copy_at=self._holder.server_id if self._holder else None,
        )
        if is_from_copy and end is _End.NOT_RUN:
            self._holder = None
            self._parts.metrics.resumes.labels("copy_gone").inc()
            return
        self._avoided[backend.key] = now + AVOID_S
        if end is _End.UNREACHABLE:
            self._attempts -= 1
            if self._attempts:
                self._parts.budget.give_back(self._service, now)
        if end in (_End.NOT_RUN, _End.UNREACHABLE):
            return
        self._may_have_run = True
        backend.record_result(succeeded=False, latency_s=None)
        if end in (_End.SILENT, _End.ERROR):
            self._charged += 1


def _is_after(event_id: str, position: str) -> bool:
    """Compare event ids, as numbers where they are."""
    if event_id.isdigit() and position.isdigit():
        return int(event_id) > int(position)
    return event_id != position


class _Follower:
    """What one attempt has shown so far."""

    __slots__ = (
        "_attempt",
        "_claim",
        "_parts",
        "_route",
        "checked_at",
        "error_body",
        "events",
        "head",
        "heard_at",
        "longest_gap_s",
        "resume_source",
        "splitter",
        "started_at",
    )

    def __init__(
        self, attempt: Attempt, route: Route, parts: RelayParts, claim: EngineClaim
    ):
        self._attempt = attempt
        self._route = route
        self._parts = parts
        self._claim = claim
        self.head: AnswerHead | None = None
        self.heard_at = self.started_at = parts.clock()
        self.checked_at = -math.inf
        self.longest_gap_s = 0.0
        self.events = 0
        self.resume_source: str | None = None
        self.splitter = EventSplitter()
        self.error_body: list[bytes] = []

    def take_head(self, head: AnswerHead) -> None:
        """Take note of the head of the answer."""
        self.head = head
        self.heard_at = self._parts.clock()

    def record_events(self, now: float, count: int) -> None:
        """Take note of events that arrived."""
        if self.events == 0:
            tokens = self._claim.prefill_tokens
            if tokens and self._attempt.backend.prefill_tokens == tokens:
                self._parts.prefill.record(tokens, now - self.started_at)
            self._claim.end_prefill()
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.heard_at)
        self.events += count
        self.heard_at = now

    def read_limits(self, has_copy: bool) -> SilenceLimits:
        """Return how long the server may be silent now."""
        if self.events:
            return limit_gap(
                target_gap_s=self._route.target_gap_s,
                longest_gap_s=self.longest_gap_s,
                has_copy=has_copy,
            )
        backend = self._attempt.backend
        peers = self._parts.peers.sum_up(self._parts.clock())
        others = peers.get(backend.server_id, EngineUse()).prefill_tokens
        estimate_s = self._parts.prefill.estimate_s(backend.prefill_tokens + others)
        target_s = self._route.target_latency_s or 1.0
        return limit_first_event(target_latency_s=target_s, estimate_s=estimate_s)

    def read_wait(self, limits: SilenceLimits, now: float) -> float:
        """Return the time until something is due if nothing arrives, seconds."""
        check_at = max(self.heard_at + limits.check_s, self.checked_at + RECHECK_S)
        give_up_at = self.heard_at + limits.give_up_s
        return max(0.001, min(check_at, give_up_at) - now)

    def is_doubtful(self) -> bool:
        """Tell whether the server said nothing to anybody for a while."""
        now = self._parts.clock()
        backend = self._attempt.backend
        heard_at = max(backend.heard_at, self.started_at)
        return now - heard_at > SILENT_SERVER_S
