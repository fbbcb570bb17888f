"""Drivers that execute runs on engines and recover them when an engine is lost.

A driver may have several engine streams of its run open while the engine is
suspected. The first one that delivers the next token is kept and the others are
dropped, so that no token is relayed twice and no two generations are mixed.
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
from ebonyhaven_node._continuations import RunContinuation
from ebonyhaven_node._driver_dependencies import (
    RETRY_AFTER_S,
    DriverDependencies,
    RunTargets,
)
from ebonyhaven_node._engine_streams import EngineStream
from ebonyhaven_node._engines import CONNECTION_REFUSED
from ebonyhaven_node._events import Token
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._lifecycles import RunState, StateObserver, make_run_lifecycle
from ebonyhaven_node._run_claims import RunClaim
from ebonyhaven_node._runs import Run
from ebonyhaven_node._servers import BackendServer
from ebonyhaven_node._silence import SilenceDetector
from ebonyhaven_node._stream_opener import StreamOpener
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal, NodeError

DETACH_GRACE_S = 0.6  # time for a disconnected caller to reconnect

_log = structlog.get_logger()


class Signal(enum.Enum):
    """Changes in the state of a run that its driver waits for.

    ``SILENCE`` means that no token arrived in time, ``LOST`` that the last open stream
    was lost, ``ENDED`` that the run has ended, and ``ABANDONED`` that the caller did
    not reconnect within `DETACH_GRACE_S`.
    """

    SILENCE = "silence"
    LOST = "lost"
    ENDED = "ended"
    ABANDONED = "abandoned"


class RunDriver:
    """Executes a run on engines and recovers it when a stream is silent or lost.

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
        self._silence_detector = SilenceDetector(
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
            content_digest=run.request.content_digest,
            crashes=dependencies.crashes,
            reactor=dependencies.reactor,
        )
        self._lifecycle = make_run_lifecycle(StateObserver(self._log_state))
        self._opener = StreamOpener(
            run=run,
            targets=targets,
            dependencies=dependencies,
            candidates=self._candidates,
            claim=self._claim,
            guard=self._guard,
            silence_detector=self._silence_detector,
            lifecycle=self._lifecycle,
            receiver=self,
        )
        self._continuation = RunContinuation(
            run=run,
            targets=targets,
            dependencies=dependencies,
            candidates=self._candidates,
            claim=self._claim,
            guard=self._guard,
            lifecycle=self._lifecycle,
            opener=self._opener,
        )
        run.on_detached = self._handle_detached
        run.on_attached = self._stop_detach_timer

    # -- entry points ------------------------------------------------------

    async def drive_new_run(self) -> None:
        """Start the run on an engine and supervise it until it ends."""
        await self._drive(self._open_new())

    async def drive_existing_run(self, server: BackendServer | None) -> None:
        """Attach to a run in progress, or continue it; supervise it until it ends.

        Parameters
        ----------
        server : BackendServer or None
            Backend server named in the caller's ``Last-Event-ID``; None if this
            instance does not know it.
        """
        await self._drive(self._open_existing(server))

    # -- StreamReceiver ----------------------------------------------------

    def receive_tokens(self, stream: EngineStream, tokens: Sequence[Token]) -> None:
        """See `StreamReceiver.receive_tokens`."""
        candidate = self._candidates.find(stream)
        if candidate is None or self._run.ended:
            self._dependencies.metrics.tokens_dropped.inc(len(tokens))
            return
        new_tokens = self._candidates.select_new_tokens(tokens)
        if not new_tokens:
            return
        self._candidates.promote(candidate)
        if self._silence_detector.record_arrival():
            self._lifecycle.stream()
        texts = [token.text for token in new_tokens if token.finish_reason is None]
        if texts:
            candidate.slot.record_tokens(len(texts))
            self._run.append(texts, server=stream.server.name)
        if new_tokens[-1].finish_reason is not None:
            candidate.slot.record_completion()
            self._complete(new_tokens[-1].finish_reason)

    def receive_loss(self, stream: EngineStream, reason: str) -> None:
        """See `StreamReceiver.receive_loss`."""
        candidate = self._candidates.find(stream)
        if candidate is None:
            return
        self._candidates.drop(candidate)
        if not self._candidates:
            self._signals.put(Signal.LOST)

    # -- supervision -------------------------------------------------------

    async def _drive(self, opening: Coroutine) -> None:
        self._dependencies.metrics.open_runs.inc()
        try:
            await opening
            await self._process_signals()
        except RequestFailure as failure:
            self._fail(self._adjust_outcome(failure.outcome))
        except Exception:
            _log.exception("run_driver_error", run_id=self._request.run_id)
            failure = make_failure(OutcomeTag.UNKNOWN, "drive", "internal error")
            self._fail(failure.outcome)
        finally:
            self._dependencies.metrics.open_runs.dec()
            self._close()

    def _adjust_outcome(self, outcome: Outcome) -> Outcome:
        """Change ``not_run`` to ``unknown`` if an earlier attempt may have run.

        The component that rejects the last attempt, such as the queue, does not
        consider earlier ones.
        """
        if outcome.tag is OutcomeTag.NOT_RUN and self._opener.may_have_run:
            return dataclasses.replace(outcome, tag=OutcomeTag.UNKNOWN)
        return outcome

    async def _process_signals(self) -> None:
        self._silence_detector.arm()
        while not self._run.ended:
            signal = await self._signals.get()
            if signal is Signal.ABANDONED:
                self._abandon()
            elif self._needs_recovery(signal):
                await self._recover(signal)
                self._silence_detector.arm()

    def _needs_recovery(self, signal: Signal) -> bool:
        """Return whether a signal still applies.

        Another stream may have been opened, or the run may have ended, since the
        signal was queued.
        """
        if self._run.ended or signal is Signal.ENDED:
            return False
        return signal is Signal.SILENCE or not self._candidates

    async def _recover(self, signal: Signal) -> None:
        """Recover a run whose stream is silent or lost.

        The engine is probed. The driver keeps waiting for it if the run has
        progressed since, or if the engine still has the run and the limit of probes
        without a token is not exceeded. Otherwise the run is continued elsewhere. The
        continuation starts in parallel with the probe if the resume plan requires it,
        the request is repeatable and a token has been relayed. Without
        ``continue_runs``, the run fails instead.
        """
        if not self._dependencies.continue_runs:
            raise self._make_server_failure(OutcomeTag.FAILED, "relay", "engine lost")
        self._dependencies.metrics.suspicions.labels(signal.value).inc()
        self._lifecycle.suspect()
        self._silence_detector.record_suspicion()
        suspected, token_count = self._candidates.primary, len(self._run.texts)
        plan = self._silence_detector.compute_resume_plan()
        parallel_continuation = None
        if plan.prepare_in_parallel and self._may_continue_in_parallel():
            parallel_continuation = ensureDeferred(
                self._continuation.continue_elsewhere({suspected.name}, token_count)
            )
        alive = await self._probe(suspected, plan.probe_timeout_s)
        if self._continuation.has_progressed(token_count) or (
            alive and self._silence_detector.allows_waiting()
        ):
            if parallel_continuation is not None:
                parallel_continuation.addErrback(_ignore_failure)
            return
        if parallel_continuation is None:
            await self._continuation.continue_elsewhere({suspected.name}, token_count)
        else:
            await parallel_continuation

    def _may_continue_in_parallel(self) -> bool:
        return self._request.repeatable and bool(self._run.texts)

    async def _probe(self, server: BackendServer, timeout_s: float) -> bool:
        """Attach on a new connection and return whether the engine has the run."""
        self._silence_detector.record_probe()
        try:
            await self._opener.probe(server, timeout_s=timeout_s)
        except EngineRefusal as refusal:
            if refusal.status == 404 or refusal.reason == CONNECTION_REFUSED:
                self._record_crash(server)
            return False
        except EngineLost as lost:
            # A proxy in front of a crashed engine accepts the connection and closes it.
            if lost.closed:
                self._record_crash(server)
            return False
        return True

    def _record_crash(self, server: BackendServer) -> None:
        progress = len(self._run.texts) - self._candidates.primary_first_offset
        self._guard.record_crash(server, progress_tokens=progress)

    # -- start -------------------------------------------------------------

    async def _open_new(self) -> None:
        await self._guard.check(OutcomeTag.NOT_RUN)
        targets = self._targets
        wait_s = targets.may_wait_s + targets.first_token_s
        await self._opener.start(self._silence_detector.accepted_at + wait_s)

    # -- attachment --------------------------------------------------------

    async def _open_existing(self, server: BackendServer | None) -> None:
        """Attach to the server in ``Last-Event-ID``, or continue elsewhere.

        If the caller has received tokens, a continuation requires them.
        """
        self._lifecycle.dispatch()
        self._opener.may_have_run = True
        received = self._request.received
        if received and not self._run.texts:
            self._run.append(list(received), server=self._request.last_event.server)
        excluded = set() if server is None else {server.name}
        try:
            await self._attach_to_server(server)
        except EngineRefusal as error:
            if error.reason == CONNECTION_REFUSED:
                progress = self._request.first_offset
                self._guard.record_crash(server, progress_tokens=progress)
            await self._resume_from_received_tokens(excluded, OutcomeTag.FAILED, error)
        except EngineLost as error:
            await self._resume_from_received_tokens(excluded, OutcomeTag.UNKNOWN, error)

    async def _attach_to_server(self, server: BackendServer | None) -> None:
        if server is None:
            raise EngineLost(peer=self._request.last_event.server, step="find")
        self._candidates.primary = server
        await self._opener.attach(server, timeout_s=self._opener.accept_timeout_s)

    async def _resume_from_received_tokens(
        self, excluded: set[str], tag: OutcomeTag, error: NodeError
    ) -> None:
        """Continue from the received tokens; fail if they are missing."""
        if not self._run.texts and self._request.first_offset > 0:
            raise make_failure(
                tag,
                "resume",
                f"{error}, and the tokens received were not sent along",
                peer=error.peer,
                retry_after_s=RETRY_AFTER_S if tag is OutcomeTag.UNKNOWN else None,
            ) from error
        self._lifecycle.suspect()
        self._silence_detector.record_suspicion(since=time.monotonic())
        await self._continuation.continue_elsewhere(excluded, len(self._run.texts))

    # -- completion and failure --------------------------------------------

    def _complete(self, finish_reason: str) -> None:
        self._lifecycle.complete()
        self._run.complete(finish_reason)
        self._signals.put(Signal.ENDED)

    def _fail(self, outcome: Outcome) -> None:
        if not self._run.ended:
            self._lifecycle.fail()
            self._run.fail(outcome)

    def _abandon(self) -> None:
        """Stop the run if no caller is attached."""
        if self._run.sinks or self._run.ended:
            return
        self._candidates.drop_all(cancel=True)
        self._run.abandoned = True
        failure = make_failure(OutcomeTag.FAILED, "relay", "the caller has gone")
        self._fail(failure.outcome)

    def _close(self) -> None:
        self._silence_detector.disarm()
        self._stop_detach_timer()
        self._candidates.drop_all(cancel=False)

    def _handle_detached(self) -> None:
        if self._request.repeatable and self._detach_timer is None:
            self._detach_timer = self._dependencies.reactor.callLater(
                DETACH_GRACE_S, self._handle_detach_timeout
            )

    def _handle_detach_timeout(self) -> None:
        """Cancel a pending slot request, or signal that the run is abandoned."""
        if not self._opener.cancel_acquisition():
            self._signals.put(Signal.ABANDONED)

    def _stop_detach_timer(self) -> None:
        if self._detach_timer is not None and self._detach_timer.active():
            self._detach_timer.cancel()
        self._detach_timer = None

    def _make_server_failure(
        self, tag: OutcomeTag, step: str, reason: str
    ) -> RequestFailure:
        primary = self._candidates.primary
        peer = "self" if primary is None else primary.name
        return make_failure(tag, step, reason, peer=peer, retry_after_s=0.0)

    def _log_state(self, state: RunState) -> None:
        _log.debug("run_state", run_id=self._request.run_id, state=state.value)


def _ignore_failure(failure: Failure) -> None:
    """Ignore the failure of a parallel continuation that has become redundant."""
    failure.trap(RequestFailure)
