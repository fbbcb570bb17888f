"""State and collaborators that all request relays of an instance share."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable

import attrs
import structlog
from ebonyhaven_decisions.forwarding import (
    NO_LIMITS,
    Backend,
    PeerEngineUse,
    PrefillRate,
    ServerLimits,
    ServiceRetryBudget,
    StreamDurations,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._byte_budgets import ByteBudget
from ebonyhaven_node.forwarding._connection_pool import ConnectFailure, ConnectionPool
from ebonyhaven_node.forwarding._contact_monitor import ContactMonitor
from ebonyhaven_node.forwarding._crash_monitor import CrashMonitor
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._list_confirmation import ListConfirmer
from ebonyhaven_node.forwarding._loss_probes import PROBE_TIMEOUT_S
from ebonyhaven_node.forwarding._messages import BackendProbed
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._notifiers import (
    CapacityNotifier,
    CrashNotifier,
    SuspicionNotifier,
)
from ebonyhaven_node.forwarding._peer_directory import PeerDirectory
from ebonyhaven_node.forwarding._permit_exchange import PermitExchange
from ebonyhaven_node.forwarding._shared_stream_index import SharedStreamIndex
from ebonyhaven_node.forwarding._shutdown import Shutdown
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import (
    BackendDialect,
    RunCopier,
    ServerInspector,
)
from ebonyhaven_node.forwarding.rollouts import RolloutRecorder
from ebonyhaven_node.forwarding.waiting import WaitingMetrics, WaitingState

SERVER_SILENCE_LIMIT_S = 0.2  # working engines send data at shorter intervals

_log = structlog.get_logger()


@attrs.frozen(slots=True, kw_only=True)
class RelayContext:
    """Collaborators shared by the request relays of an instance.

    Parameters
    ----------
    state : ForwardingState
    pool : ConnectionPool
    dialect : BackendDialect
    inspector : ServerInspector
    copier : RunCopier
    budget : ServiceRetryBudget
    peers : PeerEngineUse
        Engine usage reported by the other instances.
    prefill_rate : PrefillRate
    stream_durations : dict of str to StreamDurations
        By route name; bounded by the number of stream routes.
    waiting : WaitingState
        Streams that wait for a server, by service.
    waiting_metrics : WaitingMetrics
    suspicion_notifier : SuspicionNotifier
    capacity_notifier : CapacityNotifier
    crash_notifier : CrashNotifier
    response_bytes : ByteBudget
        For responses that are kept until they are complete.
    metrics : ForwardingMetrics
    crash_monitor : CrashMonitor
    stream_index : SharedStreamIndex
    list_confirmer : ListConfirmer
    contact : ContactMonitor
    permits : PermitExchange
        Permits for requests to brittle servers.
    shutdown : Shutdown
    rollouts : RolloutRecorder
    relay_peers : PeerDirectory
        Instances that take requests while this one reaches no server.
    data_centre : str
        Data centre of this instance.
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds.
    on_usage_change : callable
        Called when the engine usage of this instance changed.
    on_loss : callable
        Called with each server that this instance found unreachable or silent.
    on_other_process : callable
        Called with a server and the id of the process that now uses its address.
    on_limits : callable
        Called with a server that names limits, or names none after some.
    """

    state: ForwardingState
    pool: ConnectionPool
    dialect: BackendDialect
    inspector: ServerInspector
    copier: RunCopier
    budget: ServiceRetryBudget
    peers: PeerEngineUse
    prefill_rate: PrefillRate
    stream_durations: dict[str, StreamDurations]
    waiting: WaitingState
    waiting_metrics: WaitingMetrics
    suspicion_notifier: SuspicionNotifier
    capacity_notifier: CapacityNotifier
    crash_notifier: CrashNotifier
    response_bytes: ByteBudget
    metrics: ForwardingMetrics
    crash_monitor: CrashMonitor
    stream_index: SharedStreamIndex
    list_confirmer: ListConfirmer
    contact: ContactMonitor
    permits: PermitExchange
    shutdown: Shutdown
    rollouts: RolloutRecorder
    relay_peers: PeerDirectory
    data_centre: str
    reactor: IReactorTime
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    on_usage_change: Callable[[], None] = lambda: None
    on_loss: Callable[[Backend], None] = lambda _: None
    on_other_process: Callable[[Backend, str], None] = lambda *_: None
    on_limits: Callable[[Backend], None] = lambda _: None

    def get_stream_durations(self, route_name: str) -> StreamDurations:
        """Return the average durations of the streams of a route.

        Parameters
        ----------
        route_name : str

        Returns
        -------
        StreamDurations
        """
        return self.stream_durations.setdefault(route_name, StreamDurations())

    def is_left_to_peers(self) -> bool:
        """Return whether this instance reaches no server and others do."""
        return self.contact.is_lost and not self.relay_peers.is_empty

    def report_unreachable(
        self, backend: Backend, *, is_from_peer: bool = False
    ) -> None:
        """Suspect a server, close its idle connections and notify all streams.

        Parameters
        ----------
        backend : Backend
        is_from_peer : bool
            Whether another instance reported it; the report is then not forwarded.
        """
        now = self.clock()
        if now >= backend.suspect_until:
            self._log_suspected(backend, now, is_from_peer)
        self.state.backends.record_unreachable(backend, now)
        self.pool.close_idle(backend.entry.address)
        self.suspicion_notifier.notify(backend)
        if not is_from_peer:
            self.on_loss(backend)

    def report_slow(self, backend: Backend) -> None:
        """Prefer other servers for some time, because this one is alive but silent.

        Parameters
        ----------
        backend : Backend
        """
        now = self.clock()
        backend.record_slow(now)
        _log.info(
            "backend_slow",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            silent_s=round(now - backend.last_received_at, 3),
        )

    def _log_suspected(self, backend: Backend, now: float, is_from_peer: bool) -> None:
        has_received = math.isfinite(backend.last_received_at)
        _log.info(
            "backend_suspected",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            found_by="another instance" if is_from_peer else "this instance",
            silent_s=round(now - backend.last_received_at, 3) if has_received else None,
            failures=backend.failures + 1,
        )

    def report_told_leave(self, backend: Backend) -> None:
        """Send nothing more to a process that said in an answer that it leaves.

        Parameters
        ----------
        backend : Backend
        """
        was_listed_ready = not backend.is_leaving
        if not self.state.backends.notices.record_leave(backend, self.clock()):
            return
        self.pool.close_idle(backend.entry.address)
        _log.info(
            "backend_leaving_told",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            was_listed_ready=was_listed_ready,
        )

    def report_rest(self, backend: Backend, rest_s: float) -> None:
        """Send nothing to a process for the time that it named in an answer.

        Parameters
        ----------
        backend : Backend
        rest_s : float
            Seconds.
        """
        if not self.state.backends.notices.record_rest(backend, rest_s, self.clock()):
            return
        self.metrics.server_rests.inc()
        _log.info(
            "backend_resting",
            server=backend.server_id,
            data_centre=backend.entry.data_centre,
            rest_s=rest_s,
            in_flight=backend.in_flight,
        )

    def report_unread_load(self, backend: Backend, header: str) -> None:
        """Count a load in an unknown form, and log it once for each process.

        Parameters
        ----------
        backend : Backend
        header : str
            Start of the header.
        """
        self.metrics.unread_loads.inc()
        if backend.has_unread_load:
            return
        backend.has_unread_load = True
        _log.warning(
            "server_load_unread", server=backend.server_id, header_start=header
        )

    def report_replaced(self, backend: Backend, other_server: str | None) -> None:
        """Suspect a server because another process responded at its address.

        Parameters
        ----------
        backend : Backend
        other_server : str or None
            Id of the other process, if known.
        """
        backend.record_replaced(self.clock())
        if other_server is not None:
            self.on_other_process(backend, other_server)

    def report_refused(self, backend: Backend) -> None:
        """Leave a server alone for a short time because it is full.

        Parameters
        ----------
        backend : Backend
        """
        backend.record_refused(self.clock(), self.rng.random())
        if backend.limiter.has_limits:
            self.permits.handle_refused(backend)
            self.on_limits(backend)

    def may_be_replaced(self, backend: Backend) -> bool:
        """Return whether another process may be at the address of a server.

        Its software version is then not known. See `CrashMonitor.may_be_replaced`.

        Parameters
        ----------
        backend : Backend
        """
        return self.crash_monitor.may_be_replaced(
            backend, list_current_at=self.state.backends.current_at
        )

    def report_limits(self, backend: Backend, limits: ServerLimits) -> None:
        """Record the limits that a server names in an answer.

        Parameters
        ----------
        backend : Backend
        limits : ServerLimits
        """
        before = backend.limiter.limits
        if limits == before == NO_LIMITS:
            return
        self.state.backends.limits.record_limits(backend, limits, self.clock())
        self.on_limits(backend)
        if limits == before:
            return
        _log.info(
            "backend_limits_changed",
            server=backend.server_id,
            requests_per_s=limits.requests_per_s,
            refusals_per_s=limits.refusals_per_s,
            before=before,
        )

    def probe(self, backend: Backend, inbox: Inbox) -> None:
        """Check whether a server accepts connections.

        Parameters
        ----------
        backend : Backend
        inbox : Inbox
            Receives `BackendProbed`.
        """

        def report(failure: ConnectFailure | None) -> None:
            inbox.put(BackendProbed(backend.key, is_alive=failure is None))

        self.pool.probe_address(
            backend.entry.address, on_result=report, timeout_s=PROBE_TIMEOUT_S
        )
