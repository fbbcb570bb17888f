"""What the relays of requests share."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable

import attrs
import structlog
from ebonyhaven_decisions.forwarding import (
    Backend,
    PeerEngineUse,
    PrefillRate,
    ServiceRetryBudget,
    StreamDurations,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendChecked,
    BackendsChanged,
    BackendSuspected,
    ForwardRequest,
)
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._shared_copy_index import SharedCopyIndex
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import BackendDialect, RunCopier

SILENT_SERVER_S = 0.2  # a working engine is heard more often than this
DEATH_CONFIRMATION_S = 0.5  # shorter than a restart takes
NEIGHBOURS_TOLD_S = 0.2  # losses are told within some ten milliseconds
CHECK_TIMEOUT_S = 0.15  # a live server accepts within a few milliseconds

_log = structlog.get_logger()


class SuspicionNotifier:
    """Tells all streams that a server is lost or silent."""

    __slots__ = ("_inboxes",)

    def __init__(self) -> None:
        self._inboxes: dict[Inbox, None] = {}

    def join(self, inbox: Inbox) -> None:
        """Tell ``inbox`` of suspicions."""
        self._inboxes[inbox] = None

    def leave(self, inbox: Inbox) -> None:
        """Stop telling ``inbox``."""
        self._inboxes.pop(inbox, None)

    def tell(self, backend: Backend) -> None:
        """Tell all streams of a server."""
        suspicion = BackendSuspected(backend.key, backend.entry.data_centre)
        for inbox in list(self._inboxes):
            inbox.put(suspicion)


class CapacityNotifier:
    """Requests that wait for room, woken when something changes."""

    __slots__ = ("_inboxes",)

    def __init__(self) -> None:
        self._inboxes: dict[Inbox, None] = {}

    def __len__(self) -> int:
        return len(self._inboxes)

    def join(self, inbox: Inbox) -> None:
        """Wake ``inbox`` from now on."""
        self._inboxes[inbox] = None

    def leave(self, inbox: Inbox) -> None:
        """Wake it no more."""
        self._inboxes.pop(inbox, None)

    def wake(self) -> None:
        """Wake all, the longest waiting first."""
        for inbox in list(self._inboxes):
            inbox.put(BackendsChanged())


@attrs.frozen(slots=True, kw_only=True)
class RelayContext:
    """Collaborators of the relays.

    Parameters
    ----------
    state : ForwardingState
    pool : ConnectionPool
    dialect : BackendDialect
    copier : RunCopier
    budget : ServiceRetryBudget
    peers : PeerEngineUse
    prefill : PrefillRate
    stream_durations : dict of str to StreamDurations
        By route, as many as routes have answered streams.
    suspicion_notifier : SuspicionNotifier
    capacity_notifier : CapacityNotifier
    metrics : ForwardingMetrics
    crashes : CrashReports
    copies : SharedCopyIndex
    data_centre : str
        Where this instance is.
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds.
    on_usage_change : callable
        Called when what this instance occupies on engines changed.
    on_loss : callable
        Called with each server that this instance found lost or silent.
    on_other_process : callable
        Called with a server and the id of the process that answers at its address.
    """

    state: ForwardingState
    pool: ConnectionPool
    dialect: BackendDialect
    copier: RunCopier
    budget: ServiceRetryBudget
    peers: PeerEngineUse
    prefill: PrefillRate
    stream_durations: dict[str, StreamDurations]
    suspicion_notifier: SuspicionNotifier
    capacity_notifier: CapacityNotifier
    metrics: ForwardingMetrics
    crashes: CrashReports
    copies: SharedCopyIndex
    data_centre: str
    reactor: IReactorTime
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    on_usage_change: Callable[[], None] = lambda: None
    on_loss: Callable[[Backend], None] = lambda _: None
    on_other_process: Callable[[Backend, str], None] = lambda *_: None

    def get_stream_durations(self, route_name: str) -> StreamDurations:
        """Return what is known of the answers of a route.

        Parameters
        ----------
        route_name : str

        Returns
        -------
        StreamDurations
        """
        return self.stream_durations.setdefault(route_name, StreamDurations())

    def report_unreachable(
        self, backend: Backend, *, is_from_peer: bool = False
    ) -> None:
        """Keep new work away from a server, and tell the streams near it.

        Parameters
        ----------
        backend : Backend
        is_from_peer : bool
            Whether another instance found out; it is not told on then.
        """
        now = self.clock()
        if now >= backend.suspect_until:
            self._log_suspected(backend, now, is_from_peer)
        self.state.backends.record_unreachable(backend, now)
        self.pool.close_idle(backend.entry.address)
        self.suspicion_notifier.notify(backend)
        if not is_from_peer:
            self.on_loss(backend)

    def _log_suspected(self, backend: Backend, now: float, is_from_peer: bool) -> None:
        is_heard = math.isfinite(backend.last_received_at)
        _log.info(
            "backend_suspected",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            found_by="another instance" if is_from_peer else "this instance",
            silent_s=round(now - backend.last_received_at, 3) if is_heard else None,
            failures=backend.failures + 1,
        )

    def report_replaced(self, backend: Backend, other_server: str | None) -> None:
        """Send no more to a process in whose place another one answered.

        Parameters
        ----------
        backend : Backend
        other_server : str or None
            Id of the other process.
        """
        backend.record_replaced(self.clock())
        if other_server is not None:
            self.on_other_process(backend, other_server)

    def report_death(self, request: ForwardRequest, backend: Backend) -> None:
        """Take note that a server was lost before the first event of a stream.

        It is evidence against the content of the request only if the server is
        still gone a moment later, and no other one of its data centre with it.

        Parameters
        ----------
        request : ForwardRequest
        backend : Backend
        """

        def take_check(is_alive: bool) -> None:
            if is_alive:
                return
            self.report_unreachable(backend)
            self.reactor.callLater(
                NEIGHBOURS_TOLD_S, self._judge_death, request.content, backend
            )

        self.reactor.callLater(
            DEATH_CONFIRMATION_S,
            self.pool.try_connect,
            backend.entry.address,
            on_result=take_check,
            timeout_s=CHECK_TIMEOUT_S,
        )

    def _judge_death(self, content: str, backend: Backend) -> None:
        lost = self.state.backends.count_suspects(
            backend.entry.data_centre, self.clock()
        )
        if lost <= 1:
            self.crashes.record_death(content, server=backend, progress_tokens=0)

    def check(self, backend: Backend, inbox: Inbox) -> None:
        """Try whether a server accepts connections.

        Parameters
        ----------
        backend : Backend
        inbox : Inbox
            Gets `BackendChecked`.
        """

        def tell(is_alive: bool) -> None:
            inbox.put(BackendChecked(backend.key, is_alive))

        self.pool.try_connect(
            backend.entry.address, on_result=tell, timeout_s=CHECK_TIMEOUT_S
        )
