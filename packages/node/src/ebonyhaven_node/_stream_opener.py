"""Opens engine streams for a run by starting, continuing or attaching to it."""

from __future__ import annotations

import time

import attrs
from ebonyhaven_decisions import OutcomeTag, RequestFailure
from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from ebonyhaven_node._candidates import Candidate, CandidateSet
from ebonyhaven_node._claim_records import ClaimUnavailable
from ebonyhaven_node._content_guard import ContentGuard
from ebonyhaven_node._driver_dependencies import (
    RETRY_AFTER_S,
    DriverDependencies,
    RunTargets,
    make_generation,
)
from ebonyhaven_node._engine_streams import StreamReceiver
from ebonyhaven_node._engines import CONNECTION_REFUSED, StartBody
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._lifecycles import RunLifecycle
from ebonyhaven_node._run_claims import RunClaim
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Slot, SlotRequest
from ebonyhaven_node._servers import BackendServer
from ebonyhaven_node._silence import SilenceDetector
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal

ACCEPT_TIMEOUT_RESUME_TARGET_SHARE = 0.25
MIN_ACCEPT_TIMEOUT_S = 0.25
START_RETRY_DELAY_S = 0.05
ATTACH_RETRY_DELAY_S = 0.1
MAX_PROBE_DURATION_S = 5.0


@attrs.define(slots=True, kw_only=True, eq=False)
class StreamOpener:
    """Opens the engine streams of a run.

    Parameters
    ----------
    run : Run
    targets : RunTargets
    dependencies : DriverDependencies
    candidates : CandidateSet
        Set that opened streams are added to.
    claim : RunClaim
    guard : ContentGuard
    silence_detector : SilenceDetector
    lifecycle : RunLifecycle
    receiver : StreamReceiver
        Receives the tokens of the streams.
    may_have_run : bool
        Whether an attempt has, or may have, reached an engine.
    """

    _run: Run
    _targets: RunTargets
    _dependencies: DriverDependencies
    _candidates: CandidateSet
    _claim: RunClaim
    _guard: ContentGuard
    _silence_detector: SilenceDetector
    _lifecycle: RunLifecycle
    _receiver: StreamReceiver
    may_have_run: bool = attrs.field(default=False, init=False)
    _attempt: int = attrs.field(default=0, init=False)
    _pending_acquisition: Deferred[Slot] | None = attrs.field(default=None, init=False)

    def cancel_acquisition(self) -> bool:
        """Cancel a pending slot request and return whether there was one."""
        if self._pending_acquisition is None:
            return False
        self._pending_acquisition.cancel()
        return True

    async def start(
        self, deadline: float, *, excluded: set[str] | None = None, resume: bool = False
    ) -> None:
        """Start the run on the first server that accepts it.

        Parameters
        ----------
        deadline : float
            Monotonic time after which to give up, seconds.
        excluded : set of str, optional
            Backend servers that must not be chosen. Servers that fail are added; the
            set is cleared once it covers all servers.
        resume : bool
            Whether this restarts a lost run.

        Raises
        ------
        RequestFailure
        """
        excluded = set() if excluded is None else excluded
        retry = False
        while True:
            if self._claim.is_required:
                await self._claim.wait_available(deadline)
            slot = await self._acquire_start_slot(
                excluded, deadline, resume=resume, retry=retry
            )
            retry = True
            self._lifecycle.dispatch()
            try:
                if await self._start_on(slot, deadline):
                    return
            except ClaimUnavailable:
                slot.release()
                continue
            may_have_run = self.may_have_run
            await self._guard.check(
                OutcomeTag.FAILED if may_have_run else OutcomeTag.NOT_RUN
            )
            self._run.generation = make_generation(self._dependencies.rng)
            excluded.add(slot.server.name)
            if len(excluded) >= len(
                self._dependencies.servers.list_in_pools(self._targets.pools)
            ):
                excluded.clear()
                await task.deferLater(self._dependencies.reactor, START_RETRY_DELAY_S)

    async def _start_on(self, slot: Slot, deadline: float) -> bool:
        """Try to start the run on a server; return False if another must be tried."""
        if self._claim.is_required and not await self._claim_start(slot, deadline):
            return True
        try:
            await self.open_stream(slot)
        except EngineRefusal as refusal:
            slot.record_refusal(refusal.reason)
            slot.release()
            await self._claim.withdraw()
            return False
        except EngineLost:
            slot.release()
            if self._claim.is_required:
                await self.attach_with_retries(slot.server)
                return True
            return await self.resolve_lost_attempt(slot.server)
        return True

    async def resolve_lost_attempt(self, server: BackendServer) -> bool:
        """Attach to an attempt whose start the engine did not confirm.

        If the engine still does not respond, the attempt is cancelled in the
        background, unless no other server could take the request: then the engine
        is asked for up to `MAX_PROBE_DURATION_S`.

        Parameters
        ----------
        server : BackendServer

        Returns
        -------
        bool
            Whether the attempt could be attached to.
        """
        deadline = time.monotonic() + MAX_PROBE_DURATION_S
        while True:
            try:
                await self.probe(server, timeout_s=self.accept_timeout_s)
            except EngineRefusal as refusal:
                if refusal.reason == CONNECTION_REFUSED:
                    self._guard.record_crash(server, progress_tokens=0)
                return False
            except EngineLost as lost:
                if lost.closed:
                    self._guard.record_crash(server, progress_tokens=0)
                elif self._is_only_server(server) and time.monotonic() < deadline:
                    await task.deferLater(
                        self._dependencies.reactor, ATTACH_RETRY_DELAY_S
                    )
                    continue
                self.cancel_last_attempt(server)
                return False
            return True

    def _is_only_server(self, server: BackendServer) -> bool:
        now = time.monotonic()
        return not any(
            other is not server and other.accepts_work(now)
            for other in self._dependencies.servers.list_in_pools(self._targets.pools)
        )

    async def _claim_start(self, slot: Slot, deadline: float) -> bool:
        """Claim the start of the run.

        If another instance has claimed it, attach to its run and return False.
        """
        try:
            must_dispatch = await self._claim.insert(
                generation=self._run.generation,
                server=slot.server.name,
                deadline=deadline,
            )
        except RequestFailure:
            slot.release()
            raise
        if not must_dispatch:
            slot.release()
            self._run.generation = self._claim.generation
            await self.attach_with_retries(
                self._dependencies.servers.find(self._claim.server)
            )
        return must_dispatch

    async def _acquire_start_slot(
        self, excluded: set[str], deadline: float, *, resume: bool, retry: bool
    ) -> Slot:
        slot_request = SlotRequest(
            request=self._run.request,
            pools=self._targets.pools,
            deadline=deadline,
            excluded=frozenset(excluded),
            resume=resume,
            retry=retry,
            arrival=self._silence_detector.accepted_at,
        )
        self._pending_acquisition = ensureDeferred(
            self._dependencies.scheduling.acquire(slot_request)
        )
        try:
            return await self._pending_acquisition
        except CancelledError as error:
            reason = "the caller has gone"
            raise make_failure(OutcomeTag.NOT_RUN, "queue", reason) from error
        finally:
            self._pending_acquisition = None

    async def attach_with_retries(self, server: BackendServer | None) -> None:
        """Attach to a run that must not be restarted, with retries.

        Parameters
        ----------
        server : BackendServer or None
            Backend server that presumably has the run; None if it is not known.

        Raises
        ------
        RequestFailure
            With ``unknown``, if the run cannot be attached to within the first-token
            target; at once if the engine refuses connections.
        """
        deadline = time.monotonic() + self._targets.first_token_s
        retry_after_s: float | None = RETRY_AFTER_S
        while server is not None:
            try:
                await self.attach(server, timeout_s=self.accept_timeout_s)
                return
            except EngineRefusal as refusal:
                if refusal.reason == CONNECTION_REFUSED:
                    retry_after_s = None
                    break
            except EngineLost:
                pass
            if time.monotonic() > deadline:
                break
            await task.deferLater(self._dependencies.reactor, ATTACH_RETRY_DELAY_S)
        raise make_failure(
            OutcomeTag.UNKNOWN,
            "attach",
            "the request may have run, and its run cannot be attached to",
            peer="unknown" if server is None else server.name,
            retry_after_s=retry_after_s,
        )

    async def attach(self, server: BackendServer, *, timeout_s: float) -> None:
        """Attach to the run at the next token.

        Parameters
        ----------
        server : BackendServer
        timeout_s : float
            Timeout for the response headers, seconds.

        Raises
        ------
        EngineRefusal, EngineLost
        """
        slot = self._dependencies.scheduling.adopt(server)
        try:
            stream = await self._dependencies.engines.attach(
                server,
                self._run.request.run_id,
                offset=len(self._run.texts),
                generation=self._run.generation,
                fence=self._claim.fence,
                receiver=self._receiver,
                timeout_s=timeout_s,
            )
        except Exception:
            slot.release()
            raise
        self._add(Candidate(stream=stream, slot=slot, attempt=self._attempt))

    async def probe(self, server: BackendServer, *, timeout_s: float) -> None:
        """Attach again after a loss, to determine whether the engine is dead.

        A terminating process may accept a connection and close it, so a closed
        connection is retried once; a dead engine then refuses it. Content that is
        suspected of crashing engines is not sent to another engine before the
        state of the last one is known, so unanswered probes are retried for up to
        `MAX_PROBE_DURATION_S`.

        Parameters
        ----------
        server : BackendServer
        timeout_s : float
            Timeout for the response headers, seconds.

        Raises
        ------
        EngineRefusal, EngineLost
        """
        deadline = time.monotonic() + MAX_PROBE_DURATION_S
        was_closed = False
        while True:
            try:
                await self.attach(server, timeout_s=timeout_s)
                return
            except EngineLost as lost:
                should_retry = (
                    not was_closed if lost.closed else self._guard.is_suspect()
                )
                if not should_retry or time.monotonic() > deadline:
                    raise
                was_closed = was_closed or lost.closed
            await task.deferLater(self._dependencies.reactor, ATTACH_RETRY_DELAY_S)

    async def open_stream(
        self, slot: Slot, *, continue_from: list[str] | None = None
    ) -> Candidate:
        """Start or continue the run on a server.

        Parameters
        ----------
        slot : Slot
        continue_from : list of str, optional
            Texts of the tokens to continue from; starts the run if omitted.

        Returns
        -------
        Candidate

        Raises
        ------
        EngineRefusal, EngineLost
        """
        self._attempt += 1
        self._silence_detector.record_dispatch()
        body = self._make_body(slot, continue_from)
        try:
            stream = await self._dependencies.engines.start(
                slot.server,
                body,
                receiver=self._receiver,
                timeout_s=self.accept_timeout_s,
            )
        except EngineLost:
            self.may_have_run = True
            raise
        self.may_have_run = True
        candidate = Candidate(stream=stream, slot=slot, attempt=body["attempt"])
        self._add(candidate)
        return candidate

    def cancel_last_attempt(self, server: BackendServer) -> None:
        """Cancel the last attempt, which the server may have received.

        Parameters
        ----------
        server : BackendServer
        """
        self._dependencies.orphans.cancel(
            server, self._run.request.run_id, self._attempt
        )

    def _make_body(self, slot: Slot, continue_from: list[str] | None) -> StartBody:
        request = self._run.request
        body = StartBody(
            run_id=request.run_id,
            generation=self._run.generation,
            attempt=self._attempt,
            fence=self._claim.fence,
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
        return body

    def _add(self, candidate: Candidate) -> None:
        self._candidates.add(candidate)
        self._lifecycle.stream()

    @property
    def accept_timeout_s(self) -> float:
        """Time within which an engine must accept a run, seconds."""
        return max(
            MIN_ACCEPT_TIMEOUT_S,
            ACCEPT_TIMEOUT_RESUME_TARGET_SHARE * self._targets.resume_s,
        )
