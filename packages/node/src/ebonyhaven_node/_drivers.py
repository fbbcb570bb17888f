"""Taking one run from its acceptance to its end.

A driver opens the engine streams of one run. Several may be open while the engine
is suspected: the first one that delivers the next token is kept and the others
are dropped, so no token is relayed twice and no two generations mix.
"""

from __future__ import annotations

import dataclasses
import enum
import time
from collections.abc import Coroutine, Sequence

import structlog
from ebonyhaven_decisions import Outcome, OutcomeTag, RequestFailure
from twisted.internet.defer import (
    DeferredQueue,
    ensureDeferred,
)
from twisted.python.failure import Failure

from ebonyhaven_node._candidates import CandidateSet
from ebonyhaven_node._content_guard import ContentGuard
from ebonyhaven_node._driver_dependencies import (
    RETRY_AFTER_S,
    DriverDependencies,
    RunTargets,
    make_generation,
)
from ebonyhaven_node._engines import CONNECTION_REFUSED, EngineStream
from ebonyhaven_node._events import Token
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._lifecycles import RunState, StateObserver, start_lifecycle
from ebonyhaven_node._run_claims import RunClaim
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Slot, SlotRequest
from ebonyhaven_node._servers import BackendServer
from ebonyhaven_node._silence import SilenceDetector
from ebonyhaven_node._stream_opener import StreamOpener
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal, NodeError

RESUME_DEADLINE_S = 30.0
DETACH_GRACE_S = 0.6

_log = structlog.get_logger()


class Signal(enum.Enum):
    """What wakes a driver."""

    SILENCE = "silence"
    LOST = "lost"
    ENDED = "ended"
    ABANDONED = "abandoned"


class RunDriver:
    """Drives one run; receives the tokens of its engine streams.

    Parameters
    ----------
    run : Run
    targets : RunTargets
    dependencies : DriverDependencies
    """

    def __init__(
        self, *, run: Run, targets: RunTargets, dependencies: DriverDependencies
    ):
        self._run = run
        self._request = run.request
        self._targets = targets
        self._dependencies = dependencies
        self._signals = DeferredQueue()
        self._candidates = CandidateSet(run=run, orphans=dependencies.orphans)
        self._claim = RunClaim(request=run.request, claims=dependencies.claims)
        self._silence = SilenceDetector(
            run=run,
            resume_target_s=targets.resume_s,
            metrics=dependencies.metrics.bind(
                workspace=run.request.workspace, class_name=run.request.class_name
            ),
            reactor=dependencies.reactor,
            on_silence=lambda: self._signals.put(Signal.SILENCE),
        )
        self._detach_timer = None
        self._guard = ContentGuard(
            content=run.request.content_digest,
            crashes=dependencies.crashes,
            reactor=dependencies.reactor,
        )
        self._lifecycle = start_lifecycle(StateObserver(self._note_state))
        self._opener = StreamOpener(
            run=run,
            targets=targets,
            dependencies=dependencies,
            candidates=self._candidates,
            claim=self._claim,
            guard=self._guard,
            silence=self._silence,
            lifecycle=self._lifecycle,
            receiver=self,
        )
        run.on_detached = self._handle_detached
        run.on_attached = self._stop_detach_timer

    # -- ways to begin -----------------------------------------------------

    async def drive_new_run(self) -> None:
        """Start the run on an engine and see it to its end."""
        await self._drive(self._open_fresh())

    async def drive_existing_run(self, server: BackendServer | None) -> None:
        """Find the run on the engine that has it, and see it to its end.

        Parameters
        ----------
        server : BackendServer or None
            Backend server named by the caller's position, if it is known here.
        """
        await self._drive(self._open_attached(server))

    # -- StreamReceiver ----------------------------------------------------

    def receive_tokens(self, stream: EngineStream, tokens: Sequence[Token]) -> None:
        """See `StreamReceiver.receive_tokens`."""
        candidate = self._candidates.find(stream)
        if candidate is None or self._run.ended:
            self._dependencies.metrics.tokens_dropped.inc(len(tokens))
            return
        fresh = self._candidates.select_fresh(tokens)
        if not fresh:
            return
        self._candidates.promote(candidate)
        if self._silence.record_arrival():
            self._lifecycle.stream()
        texts = [token.text for token in fresh if token.finish_reason is None]
        if texts:
            candidate.slot.record_tokens(len(texts))
            self._run.append(texts, server=stream.server.name)
        if fresh[-1].finish_reason is not None:
            candidate.slot.record_completion()
            self._complete(fresh[-1].finish_reason)

    def receive_loss(self, stream: EngineStream, reason: str) -> None:
        """See `StreamReceiver.receive_loss`."""
        candidate = self._candidates.find(stream)
        if candidate is None:
            return
        self._candidates.drop(candidate)
        if not self._candidates:
            self._signals.put(Signal.LOST)

    # -- following a run ---------------------------------------------------

    async def _drive(self, opening: Coroutine) -> None:
        self._dependencies.metrics.open_runs.inc()
        try:
            await opening
            await self._follow()
        except RequestFailure as failure:
            self._fail(self._judge_outcome(failure.outcome))
        except Exception:
            _log.exception("run_driver_error", run_id=self._request.run_id)
            failure = make_failure(OutcomeTag.UNKNOWN, "drive", "internal error")
            self._fail(failure.outcome)
        finally:
            self._dependencies.metrics.open_runs.dec()
            self._close()

    def _judge_outcome(self, outcome: Outcome) -> Outcome:
        """Return ``unknown`` for a refusal that follows an attempt that may have run.

        What refuses a further attempt, such as the queue, does not know of earlier
        ones.
        """
        if outcome.tag is OutcomeTag.NOT_RUN and self._opener.may_have_run:
            return dataclasses.replace(outcome, tag=OutcomeTag.UNKNOWN)
        return outcome

    async def _follow(self) -> None:
        self._silence.arm()
        while not self._run.ended:
            signal = await self._signals.get()
            if signal is Signal.ABANDONED:
                self._abandon()
            elif self._needs_recovery(signal):
                await self._recover(signal)
                self._silence.arm()

    def _needs_recovery(self, signal: Signal) -> bool:
        """Tell whether a signal still applies; tokens may have come since."""
        if self._run.ended or signal is Signal.ENDED:
            return False
        return signal is Signal.SILENCE or not self._candidates

    async def _recover(self, signal: Signal) -> None:
        """Bring a silent or broken stream to go on."""
        if not self._dependencies.continue_runs:
            raise self._fail_at_server(OutcomeTag.FAILED, "relay", "engine lost")
        self._dependencies.metrics.suspicions.labels(signal.value).inc()
        self._lifecycle.suspect()
        self._silence.record_suspicion()
        suspected, length = self._candidates.primary, len(self._run.texts)
        plan = self._silence.plan()
        prepared = None
        if plan.prepare_in_parallel and self._may_prepare():
            prepared = ensureDeferred(self._continue({suspected.name}, length))
        alive = await self._probe(suspected, plan.probe_timeout_s)
        if self._has_moved(length) or (alive and self._silence.allows_waiting()):
            if prepared is not None:
                prepared.addErrback(_ignore_failure)
            return
        if prepared is None:
            await self._continue({suspected.name}, length)
        else:
            await prepared

    def _has_moved(self, length: int) -> bool:
        """Tell whether the run has gone on since it was suspected."""
        return self._run.ended or len(self._run.texts) > length

    def _may_prepare(self) -> bool:
        return self._request.repeatable and bool(self._run.texts)

    async def _probe(self, server: BackendServer, timeout_s: float) -> bool:
        """Attach again on a new connection; tell whether the run is there."""
        self._silence.record_probe()
        try:
            await self._opener.attach_again(server, timeout_s=timeout_s)
        except EngineRefusal as refusal:
            if refusal.status == 404 or refusal.reason == CONNECTION_REFUSED:
                self._record_death(server)
            return False
        except EngineLost as lost:
            # A middlebox before a dead engine accepts the connection and closes it.
            if lost.closed:
                self._record_death(server)
            return False
        return True

    def _record_death(self, server: BackendServer) -> None:
        progress = len(self._run.texts) - self._candidates.primary_since
        self._guard.record_death(server, progress_tokens=progress)

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
            await self._guard.check(OutcomeTag.FAILED)
            if not self._run.texts:
                await self._restart(excluded, deadline)
                return
            slot = await self._acquire_resume(excluded, deadline)
            if await self._continue_on(slot, length, deadline):
                return
            excluded.add(slot.server.name)

    async def _continue_on(self, slot: Slot, length: int, deadline: float) -> bool:
        """Try one server; tell whether the matter is settled."""
        if self._claim.is_required and not await self._move_claim(slot, deadline):
            return True
        if self._has_moved(length):
            slot.release()
            return True
        self._lifecycle.continue_elsewhere()
        try:
            opened = await self._opener.open_stream(
                slot, continue_from=self._run.texts[:]
            )
        except EngineRefusal as refusal:
            slot.record_refusal(refusal.reason)
            slot.release()
            return False
        except EngineLost:
            slot.release()
            return await self._opener.settle_lost_attempt(slot.server)
        if self._has_moved(length):
            self._candidates.drop(opened)
            self._candidates.cancel(opened)
        return True

    async def _move_claim(self, slot: Slot, deadline: float) -> bool:
        """Take the claim along; attach to the winner's run where that is lost."""
        self._candidates.drop_all(cancel=True)
        try:
            moved = await self._claim.move(server=slot.server.name, deadline=deadline)
        except RequestFailure:
            slot.release()
            raise
        if not moved:
            slot.release()
            await self._opener.chase(
                self._dependencies.servers.find(self._claim.server)
            )
        return moved

    async def _acquire_resume(self, excluded: set[str], deadline: float) -> Slot:
        slot_request = SlotRequest(
            request=self._request,
            pools=self._targets.pools,
            deadline=deadline,
            excluded=frozenset(excluded),
            resume=True,
        )
        try:
            return await self._dependencies.scheduling.acquire(slot_request)
        except RequestFailure as failure:
            raise make_failure(
                OutcomeTag.FAILED,
                "resume",
                "no other backend server could continue the run in time",
                peer=failure.outcome.peer,
            ) from failure

    async def _restart(self, excluded: set[str], deadline: float) -> None:
        """Start again where no token has reached the caller."""
        if self._claim.is_required:
            await self._opener.chase(self._candidates.primary)
            return
        self._candidates.drop_all(cancel=True)
        self._run.generation = make_generation(self._dependencies.rng)
        await self._opener.start(deadline, excluded=excluded, resume=True)

    # -- starting ----------------------------------------------------------

    async def _open_fresh(self) -> None:
        await self._guard.check(OutcomeTag.NOT_RUN)
        targets = self._targets
        wait_s = targets.may_wait_s + targets.first_token_s
        await self._opener.start(self._silence.accepted_at + wait_s)

    # -- attaching ---------------------------------------------------------

    async def _open_attached(self, server: BackendServer | None) -> None:
        """Attach where the caller's position says; else continue from its texts."""
        self._lifecycle.dispatch()
        self._opener.may_have_run = True
        received = self._request.received
        if received and not self._run.texts:
            self._run.append(list(received), server=self._request.last_event.server)
        excluded = set() if server is None else {server.name}
        try:
            await self._attach_known(server)
        except EngineRefusal as error:
            if error.reason == CONNECTION_REFUSED:
                progress = self._request.first_offset
                self._guard.record_death(server, progress_tokens=progress)
            await self._resume_from_texts(excluded, OutcomeTag.FAILED, error)
        except EngineLost as error:
            await self._resume_from_texts(excluded, OutcomeTag.UNKNOWN, error)

    async def _attach_known(self, server: BackendServer | None) -> None:
        if server is None:
            raise EngineLost(peer=self._request.last_event.server, step="find")
        self._candidates.primary = server
        await self._opener.attach(server, timeout_s=self._opener.accept_s)

    async def _resume_from_texts(
        self, excluded: set[str], tag: OutcomeTag, error: NodeError
    ) -> None:
        """Continue from the tokens at hand, or tell that there are none."""
        if not self._run.texts and self._request.first_offset > 0:
            raise make_failure(
                tag,
                "resume",
                f"{error}, and the tokens received were not sent along",
                peer=error.peer,
                retry_after_s=RETRY_AFTER_S if tag is OutcomeTag.UNKNOWN else None,
            ) from error
        self._lifecycle.suspect()
        self._silence.record_suspicion(since=time.monotonic())
        await self._continue(excluded, len(self._run.texts))

    # -- end ---------------------------------------------------------------

    def _complete(self, finish_reason: str) -> None:
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
        self._candidates.drop_all(cancel=True)
        self._run.abandoned = True
        failure = make_failure(OutcomeTag.FAILED, "relay", "the caller has gone")
        self._fail(failure.outcome)

    def _close(self) -> None:
        self._silence.disarm()
        self._stop_detach_timer()
        self._candidates.drop_all(cancel=False)

    def _handle_detached(self) -> None:
        if self._request.repeatable and self._detach_timer is None:
            self._detach_timer = self._dependencies.reactor.callLater(
                DETACH_GRACE_S, self._announce_abandoned
            )

    def _announce_abandoned(self) -> None:
        """Wake the driver, or end its wait for room."""
        if not self._opener.cancel_acquisition():
            self._signals.put(Signal.ABANDONED)

    def _stop_detach_timer(self) -> None:
        if self._detach_timer is not None and self._detach_timer.active():
            self._detach_timer.cancel()
        self._detach_timer = None

    def _fail_at_server(
        self, tag: OutcomeTag, step: str, reason: str
    ) -> RequestFailure:
        primary = self._candidates.primary
        peer = "self" if primary is None else primary.name
        return make_failure(tag, step, reason, peer=peer, retry_after_s=0.0)

    def _note_state(self, state: RunState) -> None:
        _log.debug("run_state", run_id=self._request.run_id, state=state.value)


def _ignore_failure(failure: Failure) -> None:
    """Drop the failure of a preparation that turned out not to be needed."""
    failure.trap(RequestFailure)
