"""Event streams: each event once, across the loss of backend servers."""

from __future__ import annotations

import enum
from typing import NamedTuple

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
)

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._followers import Follower
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
    CopyPlace,
    ForwardRequest,
)
from ebonyhaven_node.forwarding._outcomes import (
    NO_SERVER_RETRY_S,
    PROMISING_STATUSES,
    give_up,
    refuse,
)
from ebonyhaven_node.forwarding._parts import SILENT_SERVER_S, RelayParts
from ebonyhaven_node.forwarding._run_copies import RunCopy
from ebonyhaven_node.forwarding._stream_servers import StreamServers
from ebonyhaven_node.forwarding._usage import EngineClaim

WAIT_STEP_S = 0.1  # how often a waiting stream looks for room without being woken
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
        self._servers = StreamServers(
            service=service, engine=engine, need=self._need, parts=parts
        )
        self._copy: RunCopy | None = None
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
            target = await self._find_server()
            if target is None or self._exchange.is_done:
                return
            end = await self._try_server(target)
            if end is _End.DONE or self._exchange.is_done:
                return
            self._note_end(target, end)

    # -- choosing ----------------------------------------------------------

    async def _find_server(self) -> _Target | None:
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
        if self._failed is not None:  # the server's own failure says more
            head, body = self._failed
            self._exchange.respond(head.status, head.headers, body)
            return
        if not self._may_have_run:
            raise refuse(reason, step="route", retry_after_s=NO_SERVER_RETRY_S)
        is_late = now >= self._deadline
        raise give_up(
            reason, step="stream", peer=self._last_peer, status=504 if is_late else 502
        )

    def _choose(self, now: float) -> _Target | None:
        copy = self._copy
        if copy is not None and copy.is_usable(now):
            return _Target(copy.holder, copy.place)
        self._copy = None
        backend = self._servers.choose(self._request.prompt_id or "", now)
        return None if backend is None else _Target(backend, None)

    # -- one attempt -------------------------------------------------------

    async def _try_server(self, target: _Target) -> _End:
        now = self._parts.clock()
        backend = target.backend
        self._copy = None  # a copy serves once
        holder = None
        if self._route.may_repeat:
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
                last_event_id=self._position,
            ),
            inbox=self._inbox,
            parts=self._parts,
        )
        prefill = 0 if target.copy else self._need.prompt_tokens
        claim = EngineClaim(backend, holder, self._need, prefill, self._parts.on_use)
        copy = RunCopy(
            request_id=self._request.request_id,
            source=backend,
            holder=holder,
            engine=self._engine if self._route.may_repeat else None,
            claim=claim,
            servers=self._servers,
            inbox=self._inbox,
            parts=self._parts,
        )
        self._log_sent(target, holder, now)
        self._parts.suspicions.join(self._inbox)
        attempt.start()
        try:
            return await self._follow(attempt, claim, copy, target)
        finally:
            copy.close(is_needed=not self._exchange.is_done)
            claim.release()
            self._parts.waiters.wake()
            self._parts.suspicions.leave(self._inbox)
            attempt.cancel()

    def _log_sent(self, target: _Target, holder: Backend | None, now: float) -> None:
        backend = target.backend
        peers = self._parts.peers.sum_up(now).get(backend.server_id, EngineUse())
        _log.info(
            "stream_sent",
            request=self._request.request_id,
            route=self._route.name,
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            from_copy=target.copy is not None,
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
        self, attempt: Attempt, claim: EngineClaim, copy: RunCopy, target: _Target
    ) -> _End:
        follower = Follower(attempt, self._route, self._parts, claim)
        if self._delivered:
            follower.resume_source = "copy" if target.copy else "prompt"
        while True:
            now = self._parts.clock()
            if follower.events:
                copy.review(now)
            limits = follower.read_limits(copy.is_usable(now))
            wait_s = min(follower.read_wait(limits, now), self._deadline - now)
            message = await self._inbox.get(wait_s)
            if self._exchange.is_done:
                return _End.DONE
            copy.take(message)
            end = self._take(message, attempt, follower, limits)
            if end is None:
                continue
            if end is _End.LOST and not follower.events:
                self._parts.count_death(self._request, attempt.backend)
            if follower.events:  # engines copy nothing before the first event
                self._copy = copy
            return end

    def _take(
        self,
        message: object,
        attempt: Attempt,
        follower: Follower,
        limits: SilenceLimits,
    ) -> _End | None:
        """Handle one message; return how the attempt ended, if it did."""
        end = None
        match message:
            case None:
                end = self._handle_silence(attempt, follower, limits)
            case BackendSuspected():
                end = self._handle_suspicion(message, attempt, follower)
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
        self, suspicion: BackendSuspected, attempt: Attempt, follower: Follower
    ) -> _End | None:
        """Leave a server that another stream found lost; check those near it."""
        if not attempt.was_sent or not follower.is_doubtful():
            return None
        if suspicion.server_key == attempt.backend.key:
            self._last_reason = "the server was found silent by another stream"
            return _End.SILENT
        is_near = suspicion.data_centre == attempt.backend.entry.data_centre
        if is_near and not follower.events:
            self._check(attempt, follower)
        return None

    def _handle_dead(self, attempt: Attempt, follower: Follower) -> _End | None:
        if not follower.is_doubtful():
            return None
        self._last_reason = "the server accepts no connection"
        self._parts.count_unreachable(attempt.backend)
        return _End.SILENT

    def _check(self, attempt: Attempt, follower: Follower) -> None:
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
        self, attempt: Attempt, follower: Follower, limits: SilenceLimits
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

    def _take_data(self, data: bytes, follower: Follower) -> _End | None:
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

    def _deliver(self, data: bytes, count: int, follower: Follower, now: float) -> None:
        if not self._exchange.is_started:
            head = follower.head
            self._exchange.start_stream(head.status, head.headers)
            elapsed_s = now - self._request.arrived_at
            self._parts.metrics.first_event.observe(elapsed_s)
            if elapsed_s > self._route.target_latency_s:
                self._note_late("first_event", elapsed_s)
        else:
            self._note_pause(now - self._delivered_at, follower)
        self._exchange.write(data)
        self._delivered += count
        self._delivered_at = now

    def _note_late(self, what: str, seconds: float) -> None:
        if self._is_late:
            return
        self._is_late = True
        _log.warning(
            "stream_late",
            request=self._request.request_id,
            what=what,
            seconds=round(seconds, 3),
            position=self._position,
        )

    def _note_pause(self, pause_s: float, follower: Follower) -> None:
        target_s = self._route.target_gap_s
        if target_s and pause_s > target_s:
            self._note_late("pause", pause_s)
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

    def _take_end(self, follower: Follower) -> _End:
        head = follower.head
        if head.not_run:
            self._last_reason = f"server refused with {head.status}"
            return _End.NOT_RUN
        if head.status != 200 or not head.has_proof or head.request_id is None:
            body = b"".join(follower.error_body)
            self._last_reason = f"server answered with {head.status}"
            may_pass_on = head.has_proof and head.status not in PROMISING_STATUSES
            if may_pass_on and not self._exchange.is_started:
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

    def _note_end(self, target: _Target, end: _End) -> None:
        now = self._parts.clock()
        backend = target.backend
        kind = self._route.kind.value
        self._parts.metrics.attempts.labels(kind, end.value).inc()
        self._last_peer = backend.server_id
        copy = self._copy
        _log.info(
            "stream_attempt_ended",
            request=self._request.request_id,
            server=backend.server_id,
            end=end.value,
            reason=self._last_reason,
            delivered=self._delivered,
            position=self._position,
            from_copy=target.copy is not None,
            copy_at=copy.holder.server_id if copy and copy.holder else None,
            copy_usable=copy is not None and copy.is_usable(now),
        )
        if target.copy is not None and end is _End.NOT_RUN:
            self._parts.metrics.resumes.labels("copy_gone").inc()
            return
        self._servers.avoid(backend, now)
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
