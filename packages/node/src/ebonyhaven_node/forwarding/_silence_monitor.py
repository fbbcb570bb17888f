"""Finds out whether servers that answer nothing are there, instead of sending more."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import structlog
from ebonyhaven_decisions.forwarding import DEFAULT_HEALTH_PATH, Backend
from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._permit_exchange import PermitExchange
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import InspectedServer, ServerInspector

CHECK_INTERVAL_S = 0.2  # the target of a short request, in which it still can be met
# Of one question. A server that stands still answers it once it goes on; one whose
# connections alone are lost answers the next.
FIRST_CHECK_TIMEOUT_S = 0.5
MAX_CHECK_TIMEOUT_S = 4.0

_log = structlog.get_logger()


@attrs.define(slots=True, eq=False)
class _Episode:
    """Time in which a server is unresponsive.

    Attributes
    ----------
    backend : Backend
    began_at : float
        Time since which the server is silent, seconds.
    check : Deferred or None
        The question under way.
    timeout_s : float
        Of the next question.
    next_at : float
        Time before which no other question is sent, seconds.
    """

    backend: Backend
    began_at: float
    check: Deferred | None = None
    timeout_s: float = FIRST_CHECK_TIMEOUT_S
    next_at: float = 0.0

    @property
    def check_id(self) -> str:
        """Id of the questions, as that of a request, towards owners of the server."""
        return f"check {self.backend.process_id}"


class SilenceMonitor:
    """Asks each unresponsive server whether it is there, one question at a time.

    Requests are kept from such a server until bytes of some response arrive: it would
    read them when it goes on, perhaps after it has left. A connection that it accepts
    is no evidence, as the kernel accepts it for a process that stands still.

    Parameters
    ----------
    state : ForwardingState
    inspector : ServerInspector
    pool : ConnectionPool
        Of the inspector.
    permits : PermitExchange
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_response : callable
        Called when a server has answered again.
    on_leave : callable
        Called with a `Backend` that answers that it leaves.
    on_rest : callable
        Called with a `Backend` that wants no requests, and for how long, seconds.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        inspector: ServerInspector,
        pool: ConnectionPool,
        permits: PermitExchange,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_response: Callable[[], None],
        on_leave: Callable[[Backend], None],
        on_rest: Callable[[Backend, float], None],
    ):
        self._state = state
        self._inspector = inspector
        self._pool = pool
        self._permits = permits
        self._clock = clock
        self._on_response = on_response
        self._on_leave = on_leave
        self._on_rest = on_rest
        self._episodes: dict[tuple[str, int], _Episode] = {}
        self._checked_at = clock()
        self._loop = task.LoopingCall(self._check_all)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start to look for unresponsive servers."""
        self._loop.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Give up all questions."""
        if self._loop.running:
            self._loop.stop()
        for episode in self._episodes.values():
            if episode.check is not None:
                episode.check.cancel()

    def _check_all(self) -> None:
        now = self._clock()
        late_s, self._checked_at = now - self._checked_at, now
        self._end_episodes(now)
        if late_s > 2 * CHECK_INTERVAL_S:
            return  # this instance stood still; what it was sent is yet to be read
        for backend in self._state.backends.list_unresponsive(now):
            self._check(backend, now)

    def _end_episodes(self, now: float) -> None:
        for key, episode in list(self._episodes.items()):
            backend = episode.backend
            is_over = not backend.silence.is_unresponsive(now)
            is_listed = self._state.backends.find(backend.server_id) is backend
            if is_over or backend.is_leaving or not is_listed:
                del self._episodes[key]
                self._permits.withdraw(episode.check_id)
                if episode.check is not None:
                    episode.check.cancel()
                self._log_end(episode, now)

    def _check(self, backend: Backend, now: float) -> None:
        episode = self._episodes.get(backend.key)
        if episode is None:
            episode = _Episode(backend, backend.silence.since)
            self._episodes[backend.key] = episode
            self._log_begin(backend, now)
        if episode.check is not None or now < episode.next_at:
            return
        if not backend.limiter.acquire(now):
            if backend.limiter.refusals.limit is not None:
                self._permits.ask_for(backend, episode.check_id)
            return
        self._permits.withdraw(episode.check_id)
        timeout_s = episode.timeout_s
        episode.next_at = now + timeout_s
        episode.timeout_s = min(2 * timeout_s, MAX_CHECK_TIMEOUT_S)
        self._pool.close_idle(backend.entry.address)  # perhaps only these are silent
        episode.check = ensureDeferred(self._ask(backend, timeout_s))
        episode.check.addErrback(self._log_failure, backend)
        episode.check.addCallback(self._handle_result, episode)

    async def _ask(self, backend: Backend, timeout_s: float) -> InspectedServer | None:
        """Return what a server says of itself, or None if it did not in time."""
        configuration = self._state.configuration
        service = configuration.services.get(backend.entry.service)
        address = backend.entry.address
        if service is None or service.engine is None:
            path = service.health_path if service is not None else DEFAULT_HEALTH_PATH
            return await self._inspector.check_health(
                address, path=path, timeout_s=timeout_s
            )
        # Engines report also when none of their slots is free.
        return await self._inspector.inspect(address, timeout_s=timeout_s)

    def _handle_result(self, server: InspectedServer | None, episode: _Episode) -> None:
        episode.check = None
        backend = episode.backend
        backend.limiter.record_ended()
        self._permits.handle_ended(backend)
        if server is not None and server.is_leaving:
            self._on_leave(backend)
        if server is not None and server.rest_s is not None:
            self._on_rest(backend, server.rest_s)
        if server is not None:
            if server.server_load is not None:
                backend.record_load(server.server_load, self._clock())
            backend.record_alive(self._clock())
            self._on_response()

    def _log_failure(self, failure: Failure, backend: Backend) -> None:
        if not failure.check(CancelledError):
            error = failure.getTraceback()
            _log.error("health_check_failed", server=backend.server_id, error=error)

    def _log_begin(self, backend: Backend, now: float) -> None:
        _log.info(
            "backend_unresponsive",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            silent_s=round(now - backend.silence.since, 3),
            patience_s=round(backend.silence.patience_s, 3),
            requests=backend.silence.requests,
        )

    def _log_end(self, episode: _Episode, now: float) -> None:
        backend = episode.backend
        has_answered = not backend.silence.is_unresponsive(now)
        _log.info(
            "backend_responsive" if has_answered else "backend_left_unresponsive",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            silent_s=round(now - episode.began_at, 3),
            requests=backend.silence.requests,
        )
