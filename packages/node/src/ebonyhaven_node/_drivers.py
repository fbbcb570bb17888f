"""Taking one run from its acceptance to its end.

A driver owns the engine streams of one run. Several streams may be open while
the engine is suspected: the first one that delivers the next token is kept and
the others are dropped, so no token is relayed twice and no two generations mix.
"""

from __future__ import annotations

import enum
import random
import time
from collections.abc import Coroutine, Sequence

import attrs
import structlog
from ebonyhaven_decisions import (
    CrashVerdict,
    Outcome,
    OutcomeTag,
    RequestFailure,
    StreamPace,
    may_dispatch,
    plan_resume,
)
from twisted.internet import task
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredQueue,
    ensureDeferred,
)
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ebonyhaven_node._claims import Claim, ClaimController, ClaimTimeout
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._engines import (
    CONNECTION_REFUSED,
    EngineClient,
    EngineStream,
    StartBody,
)
from ebonyhaven_node._events import Token
from ebonyhaven_node._lifecycles import RunState, StateObserver, start_lifecycle
from ebonyhaven_node._metrics import RelayMetrics, observe
from ebonyhaven_node._orphans import OrphanController
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Scheduling, Slot, SlotWish
from ebonyhaven_node._servers import BackendServer, BackendServers
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal, NodeError

ACCEPT_TIMEOUT_SHARE = 0.25
MIN_ACCEPT_TIMEOUT_S = 0.25
PREFILL_TOKENS_PER_S = 4000.0
RESUME_DEADLINE_S = 30.0
RETRY_DELAY_S = 0.05
ATTACH_RETRY_DELAY_S = 0.1
MAX_IDLE_PROBES = 2
MAX_IDLE_PROBES_QUEUED = 5
DETACH_GRACE_S = 0.6
GENERATION_DIGITS = 8
RETRY_AFTER_S = 1.0

_log = structlog.get_logger()


@attrs.frozen(slots=True, kw_only=True)
class RunTargets:
    """What the declaration asks for a request.

    Parameters
    ----------
    first_token_s, gap_s, resume_s : float
        Targets of the class, seconds.
    may_wait_s : float
        Time that a request may wait for room, seconds.
    pools : frozenset of str
        Pools that serve the model.
    priority : int
        Priority at the engine; 0 is served first.
    """

    first_token_s: float
    gap_s: float
    resume_s: float
    may_wait_s: float
    pools: frozenset[str]
    priority: int


@attrs.frozen(slots=True, kw_only=True)
class DriverParts:
    """Parts of the node that drivers use.

    Parameters
    ----------
    engines : EngineClient
    servers : BackendServers
    scheduling : Scheduling
    claims : ClaimController
    orphans : OrphanController
    crashes : CrashReports
    metrics : RelayMetrics
    reactor : IReactorTime
    rng : random.Random
    continue_runs : bool
        False for the baseline, which gives a run up when its engine dies.
    """

    engines: EngineClient
    servers: BackendServers
    scheduling: Scheduling
    claims: ClaimController
    orphans: OrphanController
    crashes: CrashReports
    metrics: RelayMetrics
    reactor: IReactorTime
    rng: random.Random
    continue_runs: bool = True


class Signal(enum.Enum):
    """What wakes a driver."""

    SILENCE = "silence"
    LOST = "lost"
    ENDED = "ended"
    ABANDONED = "abandoned"


@attrs.define(slots=True, kw_only=True, eq=False)
class Candidate:
    """One open engine stream of a run.

    Parameters
    ----------
    stream : EngineStream
    slot : Slot
    attempt : int
        Number of the attempt at the engine.
    """

    stream: EngineStream
    slot: Slot
    attempt: int


class RunDriver:
    """Drives one run; receives the tokens of its engine streams.

    Parameters
    ----------
    run : Run
    targets : RunTargets
    parts : DriverParts
    """

    def __init__(self, *, run: Run, targets: RunTargets, parts: DriverParts):
        self._run = run
        self._request = run.request
        self._targets = targets
        self._parts = parts
        self._signals = DeferredQueue()
        self._candidates: list[Candidate] = []
        self._primary_server: BackendServer | None = None
        self._attempt = 0
        self._attempt_start = 0
        self._claim: Claim | None = None
        self._pace = StreamPace()
        self._metrics = parts.metrics.bind(
            workspace=run.request.workspace, class_name=run.request.class_name
        )
        self._accepted_at = time.monotonic()
        self._last_token_at = time.monotonic()
        self._idle_probes = 0
        self._awaits_prefill = True
        self._suspected_since: float | None = None
        self._watch = None
        self._detach_timer = None
        self._acquiring: Deferred[Slot] | None = None
        self._lifecycle = start_lifecycle(StateObserver(self._note_state))
        run.on_detached = self._handle_detached
        run.on_attached = self._handle_attached

    # -- ways to begin -----------------------------------------------------

    async def drive_fresh(self) -> None:
        """Start the run on an engine and see it to its end."""
        await self._drive(self._open_fresh())

    async def drive_attached(self, server: BackendServer | None) -> None:
        """Find the run on the engine that has it, and see it to its end.

        Parameters
        ----------
        server : BackendServer or None
            Backend server named by the caller's position.
        """
        await self._drive(self._open_attached(server))

    async def drive_claimed(self) -> None:
        """Find the run of a request that must not be repeated."""
        await self._drive(self._open_claimed())

    # -- StreamReceiver ----------------------------------------------------

    def receive_tokens(self, stream: EngineStream, tokens: Sequence[Token]) -> None:
        """See `StreamReceiver.receive_tokens`."""
        candidate = self._find_candidate(stream)
        fresh = self._select_fresh(tokens)
        if candidate is None or self._run.ended:
            self._parts.metrics.tokens_dropped.inc(len(tokens))
            return
        if not fresh:
            return
        self._promote(candidate)
        self._record_arrival()
        texts = [token.text for token in fresh if token.finish_reason is None]
        if texts:
            candidate.slot.record_tokens(len(texts))
            self._run.append(texts, server=stream.server.name)
        if fresh[-1].finish_reason is not None:
            candidate.slot.record_completion()
            self._finish(fresh[-1].finish_reason)

    def receive_loss(self, stream: EngineStream, reason: str) -> None:
        """See `StreamReceiver.receive_loss`."""
        candidate = self._find_candidate(stream)
        if candidate is None:
            return
        self._drop(candidate)
        if not self._candidates:
            self._signals.put(Signal.LOST)

    # -- following a run ---------------------------------------------------

    async def _drive(self, opening: Coroutine) -> None:
        self._parts.metrics.open_runs.inc()
        try:
            await opening
            await self._follow()
        except RequestFailure as failure:
            self._fail(failure.outcome)
        except Exception:
            _log.exception("run_driver_error", run_id=self._request.run_id)
            self._fail(self._describe(OutcomeTag.UNKNOWN, "drive", "internal error"))
        finally:
            self._parts.metrics.open_runs.dec()
            self._close()

    async def _follow(self) -> None:
        while not self._run.ended:
            signal = await self._signals.get()
            if signal is Signal.ABANDONED:
                self._abandon()
            elif self._needs_recovery(signal):
                await self._recover(signal)
                self._watch_silence()

    def _needs_recovery(self, signal: Signal) -> bool:
        """Tell whether a signal still applies; tokens may have come since."""
        if self._run.ended or signal is Signal.ENDED:
            return False
        return signal is Signal.SILENCE or not self._candidates

    async def _recover(self, signal: Signal) -> None:
        """Bring a silent or broken stream to go on."""
        if not self._parts.continue_runs:
            raise self._failure(OutcomeTag.FAILED, "relay", "the engine was lost")
        self._parts.metrics.suspicions.labels(signal.value).inc()
        self._lifecycle.suspect()
        if self._suspected_since is None:
            self._suspected_since = self._last_token_at
        suspected, length = self._primary_server, len(self._run.texts)
        plan = self._plan()
        parallel = None
        if plan.prepare_in_parallel and self._may_prepare():
            parallel = ensureDeferred(self._continue({suspected.name}, length))
        alive = await self._probe(suspected, plan.probe_timeout_s)
        waits = alive and self._idle_probes <= self._idle_probe_limit()
        if waits or self._has_moved(length):
            if parallel is not None:
                parallel.addErrback(self._ignore_failure)
            return
        if parallel is not None:
            await parallel
        else:
            await self._continue({suspected.name}, length)

    def _ignore_failure(self, failure: Failure) -> None:
        """Drop the failure of a preparation that turned out not to be needed."""
        failure.trap(RequestFailure)

    def _idle_probe_limit(self) -> int:
        """Return how many probes may find the run without a new token.

        Before the first token an engine that answers is waited for longer, since
        starting again elsewhere would add to the load that makes it slow.
        """
        return MAX_IDLE_PROBES if self._run.texts else MAX_IDLE_PROBES_QUEUED

    def _has_moved(self, length: int) -> bool:
        """Tell whether the run has gone on since it was suspected."""
        return self._run.ended or len(self._run.texts) > length

    def _may_prepare(self) -> bool:
        return self._request.repeatable and bool(self._run.texts)

    async def _probe(self, server: BackendServer, timeout_s: float) -> bool:
        """Attach again on a new connection; tell whether the run is there."""
        self._idle_probes += 1
        try:
            await self._attach(server, offset=len(self._run.texts), timeout_s=timeout_s)
        except EngineRefusal as refusal:
            if refusal.status == 404 or refusal.reason == CONNECTION_REFUSED:
                self._record_death(server)
            return False
        except EngineLost:
            return False
        return True

    def _record_death(self, server: BackendServer) -> None:
        self._parts.crashes.record_death(
            self._request.content,
            server=server,
            progress_tokens=len(self._run.texts) - self._attempt_start,
        )

    # -- continuing elsewhere ----------------------------------------------

    async def _continue(self, excluded: set[str], length: int) -> None:
        """Continue the run on another server from the tokens relayed so far.

        Parameters
        ----------
        excluded : set of str
            Backend servers that must not be chosen; failed ones are added.
        length : int
            Number of tokens at the time of the loss.
        """
        deadline = time.monotonic() + RESUME_DEADLINE_S
        while not self._has_moved(length):
            self._check_content(OutcomeTag.FAILED)
            if not self._run.texts:
                await self._restart(excluded, deadline)
                return
            slot = await self._acquire_resume(excluded, deadline)
            if await self._continue_on(slot, length, deadline):
                return
            excluded.add(slot.server.name)

    async def _continue_on(self, slot: Slot, length: int, deadline: float) -> bool:
        """Try one server; tell whether the matter is settled."""
        if not self._request.repeatable:
            self._drop_all()
            moved = await self._move_claim(slot, deadline)
            if not moved:
                return True
        if self._has_moved(length):
            slot.release()
            return True
        self._lifecycle.continue_elsewhere()
        try:
            opened = await self._open_stream(slot, continue_from=self._run.texts[:])
        except (EngineRefusal, EngineLost) as error:
            self._give_up_on(slot, error)
            return False
        if self._has_moved(length):
            self._drop(opened)
            self._parts.orphans.add(slot.server, self._request.run_id, opened.attempt)
        return True

    async def _acquire_resume(self, excluded: set[str], deadline: float) -> Slot:
        wish = SlotWish(
            request=self._request,
            pools=self._targets.pools,
            deadline=deadline,
            excluded=frozenset(excluded),
            resume=True,
        )
        try:
            return await self._parts.scheduling.acquire(wish)
        except RequestFailure as failure:
            reason = "no other backend server could continue the run in time"
            raise self._failure(
                OutcomeTag.FAILED, "resume", reason, peer=failure.outcome.peer
            ) from failure

    def _give_up_on(self, slot: Slot, error: EngineRefusal | EngineLost) -> None:
        if isinstance(error, EngineRefusal):
            slot.record_refusal(error.reason)
        slot.release()
        if isinstance(error, EngineLost):
            self._parts.orphans.add(slot.server, self._request.run_id, self._attempt)

    async def _restart(self, excluded: set[str], deadline: float) -> None:
        """Start again where no token has reached the caller."""
        if not self._request.repeatable:
            await self._chase(self._primary_server)
            return
        self._drop_all()
        self._run.generation = make_generation(self._parts.rng)
        await self._start(deadline, excluded=excluded, resume=True)

    async def _move_claim(self, slot: Slot, deadline: float) -> bool:
        """Take the claim along to another server; attach where that is lost."""
        try:
            claim = await self._parts.claims.move(
                self._request.run_id,
                await self._current_claim(deadline),
                server=slot.server.name,
                deadline=deadline,
            )
        except ClaimTimeout as error:
            slot.release()
            reason = f"the claim could not be moved: {error}"
            raise self._failure(
                OutcomeTag.UNKNOWN, "claim", reason, peer="platform"
            ) from error
        self._claim = claim
        if claim.own:
            return True
        slot.release()
        await self._chase(self._parts.servers.find(claim.row["server"]))
        return False

    async def _current_claim(self, deadline: float) -> Claim:
        if self._claim is not None:
            return self._claim
        claim = await self._parts.claims.read(self._request.run_id, deadline=deadline)
        if claim is None:
            raise self._failure(OutcomeTag.UNKNOWN, "claim", "the claim is gone")
        return claim

    # -- opening streams ---------------------------------------------------

    async def _open_fresh(self) -> None:
        self._check_content(OutcomeTag.NOT_RUN)
        await self._start(self._find_start_deadline())
        self._watch_silence()

    def _find_start_deadline(self) -> float:
        targets = self._targets
        return self._accepted_at + targets.may_wait_s + targets.first_token_s

    async def _start(
        self, deadline: float, *, excluded: set[str] | None = None, resume: bool = False
    ) -> None:
        """Start the run on the first server that accepts it."""
        excluded = set() if excluded is None else excluded
        retry = False
        while True:
            slot = await self._acquire_start(
                excluded, deadline, resume=resume, retry=retry
            )
            retry = True
            self._lifecycle.dispatch()
            if not self._request.repeatable:
                dispatchable = await self._claim_start(slot, deadline)
                if not dispatchable:
                    return
            try:
                await self._open_stream(slot)
                return
            except EngineRefusal as refusal:
                slot.record_refusal(refusal.reason)
                slot.release()
                await self._withdraw_claim()
            except EngineLost:
                slot.release()
                if not self._request.repeatable:
                    await self._chase(slot.server)
                    return
                self._parts.orphans.add(
                    slot.server, self._request.run_id, self._attempt
                )
                self._run.generation = make_generation(self._parts.rng)
            excluded.add(slot.server.name)
            if len(excluded) >= len(self._parts.servers.in_pools(self._targets.pools)):
                excluded.clear()
                await task.deferLater(self._parts.reactor, RETRY_DELAY_S)

    async def _acquire_start(
        self, excluded: set[str], deadline: float, *, resume: bool, retry: bool
    ) -> Slot:
        wish = SlotWish(
            request=self._request,
            pools=self._targets.pools,
            deadline=deadline,
            excluded=frozenset(excluded),
            resume=resume,
            retry=retry,
            arrival=self._accepted_at,
        )
        self._acquiring = ensureDeferred(self._parts.scheduling.acquire(wish))
        try:
            return await self._acquiring
        except CancelledError as error:
            reason = "the caller has gone"
            raise self._failure(OutcomeTag.NOT_RUN, "queue", reason) from error
        finally:
            self._acquiring = None

    async def _claim_start(self, slot: Slot, deadline: float) -> bool:
        """Claim the fresh start; attach where another instance has claimed it."""
        try:
            claim = await self._parts.claims.insert(
                self._request.run_id,
                generation=self._run.generation,
                server=slot.server.name,
                digest=self._request.digest,
                deadline=deadline,
            )
        except ClaimTimeout as error:
            slot.release()
            raise self._failure(
                OutcomeTag.NOT_RUN,
                "claim",
                f"the request could not be recorded in time: {error}",
                peer="platform",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        if claim.own:
            return await self._confirm_dispatch(slot, claim)
        slot.release()
        await self._attach_claimed(claim)
        return False

    async def _confirm_dispatch(self, slot: Slot, claim: Claim) -> bool:
        now = time.monotonic()
        self._claim = claim
        if may_dispatch(write_sent_at=claim.write_sent_at, now=now):
            return True
        slot.release()
        await self._parts.claims.withdraw(self._request.run_id, claim)
        raise self._failure(
            OutcomeTag.NOT_RUN,
            "claim",
            "the claim was too old to be dispatched",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _withdraw_claim(self) -> None:
        """Give back a claim after the proof that nothing ran."""
        claim, self._claim = self._claim, None
        if claim is not None:
            await self._parts.claims.withdraw(self._request.run_id, claim)
        self._run.generation = make_generation(self._parts.rng)

    async def _open_attached(self, server: BackendServer | None) -> None:
        """Attach where the caller's position says; else continue from its texts."""
        self._lifecycle.dispatch()
        received = self._request.received
        if received is not None and not self._run.texts:
            self._run.append(list(received), server=self._request.last_event.server)
        excluded = set() if server is None else {server.name}
        try:
            await self._attach_known(server)
        except EngineRefusal as error:
            await self._resume_from_texts(excluded, OutcomeTag.FAILED, error)
        except EngineLost as error:
            await self._resume_from_texts(excluded, OutcomeTag.UNKNOWN, error)
        self._watch_silence()

    async def _attach_known(self, server: BackendServer | None) -> None:
        position = self._request.last_event
        if server is None:
            raise EngineLost(peer=position.server, step="find")
        self._primary_server = server
        offset = len(self._run.texts)
        await self._attach(server, offset=offset, timeout_s=self._accept_s())

    async def _resume_from_texts(
        self, excluded: set[str], tag: OutcomeTag, error: NodeError
    ) -> None:
        """Continue from the tokens at hand, or tell that there are none."""
        if not self._run.texts and self._request.first_offset > 0:
            reason = f"{error}, and the tokens received were not sent along"
            raise self._failure(
                tag,
                "resume",
                reason,
                peer=error.peer,
                retry_after_s=RETRY_AFTER_S if tag is OutcomeTag.UNKNOWN else None,
            ) from error
        self._lifecycle.suspect()
        self._suspected_since = time.monotonic()
        await self._continue(excluded, len(self._run.texts))

    async def _open_claimed(self) -> None:
        """Attach to the run of the claim that stands, if there is one."""
        deadline = self._find_start_deadline()
        try:
            claim = await self._parts.claims.read(
                self._request.run_id, deadline=deadline
            )
        except ClaimTimeout as error:
            raise self._failure(
                OutcomeTag.UNKNOWN,
                "claim",
                f"whether this request has run could not be read: {error}",
                peer="platform",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        if claim is None:
            raise self._failure(
                OutcomeTag.UNKNOWN, "claim", "there is no record of this request"
            )
        self._lifecycle.dispatch()
        await self._attach_claimed(claim)
        self._watch_silence()

    async def _attach_claimed(self, claim: Claim) -> None:
        if claim.row["digest"] != self._request.digest:
            reason = "the idempotency key was used with a different body"
            raise self._failure(OutcomeTag.NOT_RUN, "claim", reason, status=409)
        self._claim = claim
        self._run.generation = claim.row["generation"]
        await self._chase(self._parts.servers.find(claim.row["server"]))

    async def _chase(self, server: BackendServer | None) -> None:
        """Attach to a run that must not be started again, or say ``unknown``."""
        deadline = time.monotonic() + self._targets.first_token_s
        offset = len(self._run.texts)
        retry_after_s: float | None = RETRY_AFTER_S
        while server is not None:
            try:
                await self._attach(server, offset=offset, timeout_s=self._accept_s())
                return
            except EngineRefusal as refusal:
                if refusal.reason == CONNECTION_REFUSED:
                    retry_after_s = None
                    break
            except EngineLost:
                pass
            if time.monotonic() > deadline:
                break
            await task.deferLater(self._parts.reactor, ATTACH_RETRY_DELAY_S)
        raise self._failure(
            OutcomeTag.UNKNOWN,
            "attach",
            "the request may have run, and its run cannot be attached to",
            peer="unknown" if server is None else server.name,
            retry_after_s=retry_after_s,
        )

    async def _attach(
        self, server: BackendServer, *, offset: int, timeout_s: float
    ) -> None:
        slot = self._parts.scheduling.adopt(server)
        try:
            stream = await self._parts.engines.attach(
                server,
                self._request.run_id,
                offset=offset,
                generation=self._run.generation,
                fence=self._fence(),
                receiver=self,
                timeout_s=timeout_s,
            )
        except Exception:
            slot.release()
            raise
        self._add(Candidate(stream=stream, slot=slot, attempt=self._attempt))

    async def _open_stream(
        self, slot: Slot, *, continue_from: list[str] | None = None
    ) -> Candidate:
        self._attempt += 1
        self._awaits_prefill = True
        attempt = self._attempt
        request = self._request
        body = StartBody(
            run_id=request.run_id,
            generation=self._run.generation,
            attempt=attempt,
            fence=self._fence(),
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=slot.priority,
            digest=request.digest,
        )
        if request.adapter is not None:
            body["adapter"] = request.adapter
        if continue_from:
            body["continue_from"] = continue_from
        stream = await self._parts.engines.start(
            slot.server, body, receiver=self, timeout_s=self._accept_s()
        )
        candidate = Candidate(stream=stream, slot=slot, attempt=attempt)
        self._add(candidate)
        return candidate

    def _fence(self) -> int:
        return 1 if self._claim is None else self._claim.row["epoch"]

    def _accept_s(self) -> float:
        return max(MIN_ACCEPT_TIMEOUT_S, ACCEPT_TIMEOUT_SHARE * self._targets.resume_s)

    # -- candidates --------------------------------------------------------

    def _add(self, candidate: Candidate) -> None:
        self._candidates.append(candidate)
        if not self._run.texts:
            self._run.announce(candidate.stream.server.name)
        if self._primary_server is None or len(self._candidates) == 1:
            self._set_primary(candidate)
        self._lifecycle.stream()

    def _set_primary(self, candidate: Candidate) -> None:
        server = candidate.stream.server
        if server is not self._primary_server:
            self._attempt_start = len(self._run.texts)
        self._primary_server = server

    def _promote(self, winner: Candidate) -> None:
        """Keep the stream that delivered first and drop the others."""
        for candidate in list(self._candidates):
            if candidate is winner:
                continue
            self._drop(candidate)
            if candidate.stream.server is not winner.stream.server:
                self._parts.orphans.add(
                    candidate.stream.server, self._request.run_id, candidate.attempt
                )
        self._set_primary(winner)

    def _drop(self, candidate: Candidate) -> None:
        if candidate in self._candidates:
            self._candidates.remove(candidate)
        candidate.stream.close()
        candidate.slot.release()

    def _drop_all(self) -> None:
        """Drop every open stream, and cancel the run behind each."""
        for candidate in list(self._candidates):
            self._drop(candidate)
            self._parts.orphans.add(
                candidate.stream.server, self._request.run_id, candidate.attempt
            )

    def _find_candidate(self, stream: EngineStream) -> Candidate | None:
        for candidate in self._candidates:
            if candidate.stream is stream:
                return candidate
        return None

    def _select_fresh(self, tokens: Sequence[Token]) -> Sequence[Token]:
        """Leave out tokens that another stream has delivered already."""
        length = len(self._run.texts)
        if not tokens or tokens[0].offset == length:
            return tokens
        return [token for token in tokens if token.offset >= length]

    # -- silence -----------------------------------------------------------

    def _plan(self):
        awaits_first = self._awaits_prefill or not self._run.texts
        first_token_s = self._prefill_s() if awaits_first else None
        return plan_resume(
            resume_target_s=self._targets.resume_s,
            pace=self._pace,
            continuation_s=self._prefill_s() + self._pace.gap_s,
            first_token_expected_s=first_token_s,
        )

    def _prefill_s(self) -> float:
        tokens = self._request.prompt_tokens + len(self._run.texts)
        return tokens / PREFILL_TOKENS_PER_S

    def _watch_silence(self) -> None:
        """Arm the timer; it is checked lazily, not moved with each token."""
        self._disarm()
        if self._run.ended:
            return
        delay_s = self._plan().suspect_after_s * 2**self._idle_probes
        armed_at = time.monotonic()
        self._watch = self._parts.reactor.callLater(
            delay_s, self._check_silence, armed_at, delay_s
        )

    def _check_silence(self, armed_at: float, delay_s: float) -> None:
        self._watch = None
        silent_since = max(armed_at, self._last_token_at)
        remaining_s = silent_since + delay_s - time.monotonic()
        if remaining_s <= 0:
            self._signals.put(Signal.SILENCE)
            return
        self._watch = self._parts.reactor.callLater(
            remaining_s, self._check_silence, armed_at, self._plan().suspect_after_s
        )

    def _disarm(self) -> None:
        if self._watch is not None and self._watch.active():
            self._watch.cancel()
        self._watch = None

    def _record_arrival(self) -> None:
        now = time.monotonic()
        if not self._run.texts:
            observe(self._metrics.first_token, now - self._accepted_at)
        else:
            gap_s = now - self._last_token_at
            observe(self._metrics.gap, gap_s)
            if self._suspected_since is None:
                self._pace.record_gap(gap_s)
        if self._suspected_since is not None:
            observe(self._metrics.resume, now - self._suspected_since)
            self._suspected_since = None
            self._lifecycle.stream()
        self._awaits_prefill = False
        self._idle_probes = 0
        self._last_token_at = now

    # -- end ---------------------------------------------------------------

    def _finish(self, finish_reason: str) -> None:
        self._lifecycle.complete()
        self._run.complete(finish_reason)
        self._signals.put(Signal.ENDED)

    def _fail(self, outcome: Outcome) -> None:
        if not self._run.ended:
            self._lifecycle.fail()
            self._run.fail(outcome)

    def _abandon(self) -> None:
        """Stop a run that no caller is attached to any more."""
        if self._run.sinks or self._run.ended:
            return
        self._drop_all()
        self._run.abandoned = True
        reason = "the caller has gone"
        self._fail(self._describe(OutcomeTag.FAILED, "relay", reason))

    def _close(self) -> None:
        self._disarm()
        self._handle_attached()
        for candidate in list(self._candidates):
            self._drop(candidate)

    def _handle_detached(self) -> None:
        if self._request.repeatable and self._detach_timer is None:
            self._detach_timer = self._parts.reactor.callLater(
                DETACH_GRACE_S, self._announce_abandoned
            )

    def _announce_abandoned(self) -> None:
        """Wake the driver, or end its wait for room."""
        if self._acquiring is not None:
            self._acquiring.cancel()
        else:
            self._signals.put(Signal.ABANDONED)

    def _handle_attached(self) -> None:
        if self._detach_timer is not None and self._detach_timer.active():
            self._detach_timer.cancel()
        self._detach_timer = None

    def _check_content(self, tag: OutcomeTag) -> None:
        verdict = self._parts.crashes.judge(self._request.content)
        if verdict is CrashVerdict.STOPPED:
            reason = "backend servers crashed each time they ran this content"
            raise self._failure(tag, "crash_check", reason, status=422)

    def _failure(
        self, tag: OutcomeTag, step: str, reason: str, **options
    ) -> RequestFailure:
        return RequestFailure(self._describe(tag, step, reason, **options))

    def _describe(
        self,
        tag: OutcomeTag,
        step: str,
        reason: str,
        *,
        peer: str | None = None,
        status: int = 503,
        retry_after_s: float | None = None,
    ) -> Outcome:
        server = self._primary_server
        if peer is None:
            peer = "self" if server is None else server.name
        return Outcome(
            tag=tag,
            step=step,
            peer=peer,
            reason=reason,
            status=status,
            retry_after_s=retry_after_s,
        )

    def _note_state(self, state: RunState) -> None:
        _log.debug("run_state", run_id=self._request.run_id, state=state.value)


def make_generation(rng: random.Random) -> str:
    """Return an identity for a new generation.

    Parameters
    ----------
    rng : random.Random

    Returns
    -------
    str
        Eight hexadecimal digits.
    """
    return f"{rng.getrandbits(4 * GENERATION_DIGITS):0{GENERATION_DIGITS}x}"
