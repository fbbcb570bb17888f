"""Where the next attempt of a stream goes, and the wait until it may go there."""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions.forwarding import (
    SAMPLED_ENGINES,
    Backend,
    EngineTraits,
)

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._earlier_runs import EarlierRun
from ebonyhaven_node.forwarding._engine_sampling import EngineSampler
from ebonyhaven_node.forwarding._exchanges import Exchange
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import CapacityChanged
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import CopyReference, ForwardRequest
from ebonyhaven_node.forwarding._run_copies import RunCopy
from ebonyhaven_node.forwarding._stream_limits import (
    LEAVING_GIVE_UP,
    GiveUpReason,
    StreamLimits,
)
from ebonyhaven_node.forwarding._stream_servers import StreamServerSelector
from ebonyhaven_node.forwarding._stream_versions import StreamVersion
from ebonyhaven_node.forwarding._stream_waits import StreamWait

CAPACITY_POLL_INTERVAL_S = 0.1  # if no notification arrives


class StreamTarget(NamedTuple):
    """Server of an attempt, and the copy that the run resumes from.

    Parameters
    ----------
    backend : Backend
    copy : CopyReference or None
        None if the engine has to read the prompt.
    """

    backend: Backend
    copy: CopyReference | None


class StreamTargetFinder:
    """Finds the server of each attempt of one stream, waiting until one has room.

    Parameters
    ----------
    request : ForwardRequest
    service : str
    engine : EngineTraits or None
    version : StreamVersion
    progress : StreamProgress
    guard : CrashGuard
    limits : StreamLimits
    wait : StreamWait
    earlier_run : EarlierRun
    server_selector : StreamServerSelector
    exchange : Exchange
    inbox : Inbox
        Receives `CapacityChanged`.
    context : RelayContext
    """

    __slots__ = (
        "_context",
        "_earlier_run",
        "_engine",
        "_exchange",
        "_guard",
        "_inbox",
        "_limits",
        "_progress",
        "_request",
        "_sampler",
        "_server_selector",
        "_service",
        "_version",
        "_wait",
    )

    def __init__(
        self,
        *,
        request: ForwardRequest,
        service: str,
        engine: EngineTraits | None,
        version: StreamVersion,
        progress: StreamProgress,
        guard: CrashGuard,
        limits: StreamLimits,
        wait: StreamWait,
        earlier_run: EarlierRun,
        server_selector: StreamServerSelector,
        exchange: Exchange,
        inbox: Inbox,
        context: RelayContext,
    ):
        self._request = request
        self._service = service
        self._engine = engine
        self._version = version
        self._progress = progress
        self._guard = guard
        self._limits = limits
        self._wait = wait
        self._earlier_run = earlier_run
        self._server_selector = server_selector
        self._exchange = exchange
        self._inbox = inbox
        self._context = context
        self._sampler = EngineSampler(context)

    async def find(self, copy: RunCopy | None) -> StreamTarget | GiveUpReason | None:
        """Wait for a server with room.

        Parameters
        ----------
        copy : RunCopy or None
            Copy of the last attempt.

        Returns
        -------
        StreamTarget or GiveUpReason or None
            None if the request has ended.
        """
        while True:
            found = await self._wait_for_server(copy)
            if not isinstance(found, StreamTarget):
                return found
            target = await self._compare_engines(found)
            if await self._may_continue(target):
                return target
            if self._limits.attempts:
                self._context.budget.refund_retry(self._service, self._context.clock())
            copy = None

    def has_other(self, copy: RunCopy | None, backend: Backend) -> bool:
        """Return whether another server would take the stream if its attempt ended.

        Parameters
        ----------
        copy : RunCopy or None
            Copy of the attempt.
        backend : Backend
            Server of the attempt.
        """
        now = self._context.clock()
        if not self._limits.may_replace_attempt(now):
            return False
        if not self._context.budget.has_retry(self._service, now):
            return False
        if copy is not None and copy.is_usable(now):
            return True
        return any(each is not backend for each in self._rank_servers(now))

    async def _wait_for_server(
        self, copy: RunCopy | None
    ) -> StreamTarget | GiveUpReason | None:
        found = None
        self._wait.begin(self._context.clock())
        self._context.capacity_notifier.subscribe(self._inbox, self._wait.read_order)
        try:
            while not self._exchange.is_done:
                now = self._context.clock()
                if copy is not None and not copy.is_usable(now):
                    copy = None
                if self._wait.is_turn(now) or now >= self._limits.deadline:
                    found = self._look(copy, now)
                    if found is not None:
                        return found
                if self._limits.must_use_other_instance:
                    return LEAVING_GIVE_UP
                message = await self._inbox.get(CAPACITY_POLL_INTERVAL_S)
                while message is not None and not isinstance(message, CapacityChanged):
                    message = await self._inbox.get(0.0)
        finally:
            self._wait.end(is_served=isinstance(found, StreamTarget))
            self._context.capacity_notifier.unsubscribe(self._inbox)
        return None

    def _look(
        self, copy: RunCopy | None, now: float
    ) -> StreamTarget | GiveUpReason | None:
        """Return a server with room, or why there is none any more."""
        reason = self._limits.find_reason_to_give_up(now)
        if reason is not None:
            return reason
        if self._is_undecided():
            return None
        choice = self._choose_target(copy, now)
        if choice is None:
            self._context.permits.ask(self._service, self._request.request_id)
            return self._wait.find_refusal(now)
        return choice if self._acquire_retry(now) else None

    def _is_undecided(self) -> bool:
        return self._guard.is_undecided() or self._limits.is_undecided()

    def _acquire_retry(self, now: float) -> bool:
        if not self._limits.attempts:
            return True
        if self._context.budget.acquire_retry(self._service, now):
            return True
        self._context.metrics.budget_refusals.inc()
        return False

    def _choose_target(self, copy: RunCopy | None, now: float) -> StreamTarget | None:
        if copy is not None:
            return StreamTarget(copy.holder, copy.reference)
        earlier = self._earlier_run.take_copy(now)
        if earlier is not None:
            return StreamTarget(*earlier)
        ranked = self._rank_servers(now)
        if not ranked or not self._wait.may_take_room(ranked, now):
            return None
        return StreamTarget(ranked[0], None)

    def _rank_servers(self, now: float) -> list[Backend]:
        waited_s, target_s = self._progress.measure_wait(now)
        return self._server_selector.rank(
            self._request.prompt_id or "",
            now,
            waited_s=waited_s,
            target_s=target_s,
            version=self._version.name,
            has_begun=self._wait.has_begun,
        )

    async def _may_continue(self, target: StreamTarget) -> bool:
        """Return whether the engine is still the one that the list shows.

        A stream that is bound to a software version is not sent to another process. A
        copy can only be used at the process that holds it.
        """
        must_check = (
            self._version.is_bound and target.copy is None and self._engine is not None
        )
        return not must_check or await self._sampler.may_continue(target.backend)

    async def _compare_engines(self, target: StreamTarget) -> StreamTarget:
        """Return the target, or one whose engine says that it has less to do."""
        is_prefill = target.copy is None and self._engine is not None
        if not is_prefill or not self._sampler.is_needed:
            return target
        ranked = self._rank_servers(self._context.clock())
        others = [each for each in ranked if each is not target.backend]
        chosen = await self._sampler.choose(
            [target.backend, *others[: SAMPLED_ENGINES - 1]], self._request.request_id
        )
        if chosen.is_usable(self._context.clock()):
            return StreamTarget(chosen, None)
        return target
