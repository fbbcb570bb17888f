"""Asks a few engines for their load before a prompt is sent to one of them."""

from __future__ import annotations

from collections.abc import Sequence

import structlog
from ebonyhaven_decisions.forwarding import (
    Backend,
    SampledEngine,
    choose_sampled_engine,
)
from twisted.internet.defer import DeferredList, FirstError, ensureDeferred

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._engine_use_exchange import (
    MAX_REPORT_RECEIVERS,
)
from ebonyhaven_node.forwarding.interfaces import InspectedServer

# Engines answer within milliseconds, also when all their slots are in use; one that
# does not is avoided, and costs no more than this.
SAMPLE_TIMEOUT_S = 0.06

_log = structlog.get_logger()


class EngineSampler:
    """Chooses between engines by their own reports.

    Parameters
    ----------
    context : RelayContext
    """

    def __init__(self, context: RelayContext):
        self._context = context

    @property
    def is_needed(self) -> bool:
        """Whether other instances place more than they tell this one of."""
        return self._context.budget.instances > MAX_REPORT_RECEIVERS + 1

    async def choose(self, candidates: Sequence[Backend], request_id: str) -> Backend:
        """Return the least loaded of some engines.

        Parameters
        ----------
        candidates : sequence of Backend
            At least one, the preferred one first.
        request_id : str
            For the log.

        Returns
        -------
        Backend
        """
        sampled = await self._sample_all(candidates)
        now = self._context.clock()
        chosen = choose_sampled_engine(sampled, now=now, rng=self._context.rng)
        _log.info(
            "engines_sampled",
            request=request_id,
            server=chosen.server_id,
            loads={each.backend.server_id: each.load for each in sampled},
        )
        return chosen

    async def may_continue(self, backend: Backend) -> bool:
        """Return whether a begun stream may go to an engine, by its report if any.

        It may have restarted under its id with other software, before the list says so.
        What keeps the stream from it is reported.

        Parameters
        ----------
        backend : Backend
        """
        server = await self._inspect(backend)
        if server is None:
            return True
        if not _is_same_process(server, backend):
            self._context.report_replaced(backend, None)
            return False
        if self._is_unavailable(server, backend):
            return False
        backend.limiter.rest.record_served(self._context.clock())
        return True

    def _is_unavailable(self, server: InspectedServer, backend: Backend) -> bool:
        """Report what an engine says that keeps requests from it, if it says so."""
        if server.is_leaving:
            self._context.report_told_leave(backend)
        elif server.rest_s is not None:
            self._context.report_rest(backend, server.rest_s)
        return server.is_leaving or server.rest_s is not None

    async def _sample_all(self, candidates: Sequence[Backend]) -> list[SampledEngine]:
        try:
            results = await DeferredList(
                [ensureDeferred(self._sample(each)) for each in candidates],
                fireOnOneErrback=True,
                consumeErrors=True,
            )
        except FirstError as error:  # as a rule, the caller has left
            error.subFailure.raiseException()
        return [engine for _, engine in results]

    async def _sample(self, backend: Backend) -> SampledEngine:
        server = await self._inspect(backend)
        if server is None or not _is_same_process(server, backend):
            return SampledEngine(backend, None)
        if self._is_unavailable(server, backend):
            return SampledEngine(backend, None)
        backend.record_data(self._context.clock())
        return SampledEngine(backend, server.load)

    async def _inspect(self, backend: Backend) -> InspectedServer | None:
        """Ask an engine for its report; None if it gives none in time."""
        if not backend.limiter.acquire(self._context.clock()):
            return None
        try:
            return await self._context.inspector.inspect(
                backend.entry.address, timeout_s=SAMPLE_TIMEOUT_S
            )
        finally:
            backend.limiter.record_ended()
            self._context.permits.handle_ended(backend)


def _is_same_process(server: InspectedServer, backend: Backend) -> bool:
    """Return whether the listed process answered, not one that took its address."""
    times = {server.started_ms, backend.entry.started_ms}
    return 0 in times or len(times) == 1
