"""Continuation of runs on other engines after the loss of theirs."""

from __future__ import annotations

import time

import attrs
from ebonyhaven_decisions import OutcomeTag, RequestFailure

from ebonyhaven_node._candidates import CandidateSet
from ebonyhaven_node._content_guard import ContentGuard
from ebonyhaven_node._driver_dependencies import (
    DriverDependencies,
    RunTargets,
    make_generation,
)
from ebonyhaven_node._failures import make_failure
from ebonyhaven_node._lifecycles import RunLifecycle
from ebonyhaven_node._run_claims import RunClaim
from ebonyhaven_node._runs import Run
from ebonyhaven_node._scheduling import Slot, SlotRequest
from ebonyhaven_node._stream_opener import StreamOpener
from ebonyhaven_node.exceptions import EngineLost, EngineRefusal

RESUME_TIMEOUT_S = 30.0


@attrs.frozen(slots=True, kw_only=True, eq=False)
class RunContinuation:
    """Continues a run on another engine from the tokens relayed so far.

    Parameters
    ----------
    run : Run
    targets : RunTargets
    dependencies : DriverDependencies
    candidates : CandidateSet
        Open streams of the run.
    claim : RunClaim
    guard : ContentGuard
    lifecycle : RunLifecycle
    opener : StreamOpener
    """

    _run: Run
    _targets: RunTargets
    _dependencies: DriverDependencies
    _candidates: CandidateSet
    _claim: RunClaim
    _guard: ContentGuard
    _lifecycle: RunLifecycle
    _opener: StreamOpener

    def has_progressed(self, token_count: int) -> bool:
        """Return whether the run has ended or has more tokens than a number.

        Parameters
        ----------
        token_count : int
        """
        return self._run.ended or len(self._run.texts) > token_count

    async def continue_elsewhere(self, excluded: set[str], token_count: int) -> None:
        """Continue the run on another server from the tokens relayed so far.

        Parameters
        ----------
        excluded : set of str
            Backend servers that must not be chosen; failed ones are added.
        token_count : int
            Number of tokens when the run was suspected.
        """
        deadline = time.monotonic() + RESUME_TIMEOUT_S
        while not self.has_progressed(token_count):
            await self._guard.check(OutcomeTag.FAILED)
            if not self._run.texts:
                await self._restart(excluded, deadline)
                return
            slot = await self._acquire_resume_slot(excluded, deadline)
            if await self._continue_on_server(slot, token_count, deadline):
                return
            excluded.add(slot.server.name)

    async def _continue_on_server(
        self, slot: Slot, token_count: int, deadline: float
    ) -> bool:
        """Continue on the server of a slot; return False if another must be tried.

        The result is also True if the run needs no continuation any more.
        """
        if self._claim.is_required and not await self._move_claim(slot, deadline):
            return True
        if self.has_progressed(token_count):
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
            return await self._opener.resolve_lost_attempt(slot.server)
        if self.has_progressed(token_count):
            self._candidates.drop(opened)
            self._candidates.cancel(opened)
        return True

    async def _move_claim(self, slot: Slot, deadline: float) -> bool:
        """Move the claim to the server of a slot.

        If another instance has moved it first, attach to its run and return False.
        """
        self._candidates.drop_all(cancel=True)
        try:
            moved = await self._claim.move(server=slot.server.name, deadline=deadline)
        except RequestFailure:
            slot.release()
            raise
        if not moved:
            slot.release()
            await self._opener.attach_with_retries(
                self._dependencies.servers.find(self._claim.server)
            )
        return moved

    async def _acquire_resume_slot(self, excluded: set[str], deadline: float) -> Slot:
        slot_request = SlotRequest(
            request=self._run.request,
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
        """Restart a run of which no token was relayed.

        If the run requires a claim, attach to the primary server instead.
        """
        if self._claim.is_required:
            await self._opener.attach_with_retries(self._candidates.primary)
            return
        self._candidates.drop_all(cancel=True)
        self._run.generation = make_generation(self._dependencies.rng)
        await self._opener.start(deadline, excluded=excluded, resume=True)
