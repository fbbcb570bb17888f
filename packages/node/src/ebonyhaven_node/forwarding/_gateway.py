"""Composition root of the forwarding path of an instance."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Callable

import structlog
from ebonyhaven_decisions import EntryList
from ebonyhaven_decisions.forwarding import (
    Backend,
    CrashHistory,
    PeerEngineUse,
    PrefillRate,
    ServiceRetryBudget,
)
from prometheus_client import CollectorRegistry, generate_latest
from twisted.internet.interfaces import IReactorCore

from ebonyhaven_node._byte_budgets import ByteBudget
from ebonyhaven_node._filter_chain import build_chain
from ebonyhaven_node._link_monitor import LinkMonitor
from ebonyhaven_node._log_writer import LogOutput
from ebonyhaven_node._loops import start_loop
from ebonyhaven_node.forwarding._active_requests import ActiveRequests
from ebonyhaven_node.forwarding._adoption import EngineAdopter
from ebonyhaven_node.forwarding._connection_pool import (
    SWEEP_INTERVAL_S,
    ConnectionPool,
)
from ebonyhaven_node.forwarding._contact_monitor import ContactMonitor
from ebonyhaven_node.forwarding._context import (
    RelayContext,
)
from ebonyhaven_node.forwarding._crash_monitor import CrashMonitor
from ebonyhaven_node.forwarding._filters import (
    AdmitFilter,
    CrashFilter,
    DecodeFilter,
    IdentifyFilter,
    ReportFilter,
    RouteFilter,
)
from ebonyhaven_node.forwarding._gateway_builders import GatewayBuilders
from ebonyhaven_node.forwarding._http_server import CallerServer
from ebonyhaven_node.forwarding._list_confirmation import ListConfirmer
from ebonyhaven_node.forwarding._loss_records import LossRecorder
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._notifiers import (
    CapacityNotifier,
    CrashNotifier,
    SuspicionNotifier,
)
from ebonyhaven_node.forwarding._peer_directory import PeerDirectory
from ebonyhaven_node.forwarding._peer_group import PEER_USE_TTL_S, PeerGroup
from ebonyhaven_node.forwarding._peer_reports import PeerReports
from ebonyhaven_node.forwarding._permit_exchange import PermitExchange
from ebonyhaven_node.forwarding._relay_filter import RelayFilter
from ebonyhaven_node.forwarding._settings import GatewaySettings
from ebonyhaven_node.forwarding._shared_stream_index import SharedStreamIndex
from ebonyhaven_node.forwarding._shutdown import Shutdown
from ebonyhaven_node.forwarding._silence_monitor import SilenceMonitor
from ebonyhaven_node.forwarding._startup import StateWaiter
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding._stop_sequence import StopSequence
from ebonyhaven_node.forwarding._turn_lags import TurnLagSampler
from ebonyhaven_node.forwarding._version_records import VersionRecorder
from ebonyhaven_node.forwarding.interfaces import BackendDialect, CallerDialect
from ebonyhaven_node.forwarding.rollouts import RolloutParts
from ebonyhaven_node.forwarding.waiting import (
    WaitingMetrics,
    WaitingSection,
    WaitingState,
)

LISTEN_BACKLOG = 512  # connections not yet accepted during a burst
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024  # a quarter of the target of an instance

_log = structlog.get_logger()


class Gateway:
    """Forwards the requests of callers to backend servers.

    Parameters
    ----------
    settings : GatewaySettings
    reactor : IReactorCore
    builders : GatewayBuilders
    rng : random.Random or None
        A generator with a random seed if None.
    clock : callable
        Returns seconds of a monotonic clock.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        reactor: IReactorCore,
        builders: GatewayBuilders,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self.registry = CollectorRegistry()
        self.state = ForwardingState(clock)
        self._settings = settings
        self._reactor = reactor
        self._stack = contextlib.ExitStack()
        self._listening = contextlib.ExitStack()
        self._rng = rng or random.Random()
        self._shutdown = Shutdown(settings.grace_s, clock)
        self._log_output: LogOutput | None = None
        self._link = LinkMonitor(
            bytes_per_s=settings.link_bytes_per_s, registry=self.registry, clock=clock
        )
        self.pool = ConnectionPool(reactor, clock)
        self.source = builders.build_source(self.state, self.pool)
        self._inspector = builders.build_inspector(self.pool)
        self._adopter = EngineAdopter(
            state=self.state,
            source=self.source,
            inspector=self._inspector,
            clock=clock,
        )
        self._contact = ContactMonitor(
            state=self.state,
            pool=self.pool,
            reactor=reactor,
            rng=self._rng,
            clock=clock,
            measure_link_wait_s=self._link.measure_wait_s,
            on_change=self._handle_contact_change,
        )
        self._peer_reports = PeerReports(self._contact)
        self._metrics = ForwardingMetrics(self.registry)
        self._metrics.register_state_gauges(
            read_version=lambda: self.source.read_version().configuration,
            count_backends=lambda: sum(1 for _ in self.state.backends),
            count_suspects=self._count_suspects,
            is_unresponsive=self.source.is_unresponsive,
            count_connections=lambda: self.pool.opened_count,
            is_contact_lost=lambda: self._contact.is_lost,
            measure_configuration_age_s=self.source.measure_configuration_age_s,
            measure_list_age_s=self.source.measure_list_age_s,
        )
        self._peers = PeerEngineUse(ttl_s=PEER_USE_TTL_S)
        self._capacity_notifier = CapacityNotifier(reactor)
        self._waiting = WaitingState()
        self._permits = PermitExchange(
            backends=self.state.backends.limits,
            reactor=reactor,
            rng=self._rng,
            clock=clock,
            on_granted=self._capacity_notifier.notify,
        )
        self._metrics.register_room_gauge(self._permits.read_rooms)
        self._silence_monitor = SilenceMonitor(
            state=self.state,
            inspector=self._inspector,
            pool=self.pool,
            permits=self._permits,
            reactor=reactor,
            clock=clock,
            on_response=self._capacity_notifier.notify_soon,
            on_leave=self._report_told_leave,
            on_rest=self._report_rest,
        )
        self._crash_notifier = CrashNotifier(reactor)
        self._suspicion_notifier = SuspicionNotifier(reactor)
        self._crash_history = CrashHistory()
        self._crash_monitor = CrashMonitor(
            history=self._crash_history,
            pool=self.pool,
            metrics=self._metrics,
            reactor=reactor,
            clock=clock,
            on_unreachable=self._report_unreachable,
            on_loss=self._peer_reports.report_ended_process,
            on_survival=self._peer_reports.report_survival,
            on_change=self._handle_decided_traits,
            is_chosen=self._peer_reports.is_chosen,
            contact=self._contact,
        )
        self._loss_recorder = LossRecorder(
            history=self._crash_history,
            store=builders.build_loss_store(self.pool),
            reactor=reactor,
            clock=clock,
            on_read=self._crash_monitor.notify_of_losses,
        )
        self._version_recorder = VersionRecorder(
            versions=self.state.backends.versions,
            store=builders.build_version_store(self.pool),
            reactor=reactor,
            clock=clock,
        )
        build_rollout_store = builders.build_rollout_store
        self.rollouts = RolloutParts(
            instance=settings.instance,
            limits=settings.exposure,
            state=self.state,
            store=build_rollout_store(self.pool) if build_rollout_store else None,
            metrics=self._metrics,
            registry=self.registry,
            list_instances=self._peer_reports.list_instances,
            schedule_report=self._peer_reports.schedule_use_report,
            reactor=reactor,
            rng=self._rng,
            clock=clock,
        )
        self._budget = ServiceRetryBudget(
            ratio=settings.retry_budget_ratio,
            window_s=settings.retry_budget_window_s,
            slack=settings.retry_budget_slack,
            started_at=clock(),
            rounding=random.Random(f"{settings.instance} {clock()}").random(),
        )
        self._stream_index = SharedStreamIndex(
            reactor,
            clock,
            builders.build_record_store(self.pool),
            self.state.backends.retention,
        )
        self._copier = builders.build_copier(self.pool)
        self._state_waiter = StateWaiter(self.state, reactor)
        self._active = ActiveRequests(
            chain=self._build_chain(builders.caller_dialect, builders.backend_dialect),
            shutdown=self._shutdown,
            metrics=self._metrics,
            clock=clock,
        )
        self.server = CallerServer(
            reactor=reactor,
            handle=self._active.handle,
            limits=lambda: self.state.limits,
            is_closing=lambda: self.is_leaving,
            clock=clock,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether this instance is shutting down."""
        return self._shutdown.is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether this instance is ready to serve callers."""
        return self.state.is_complete and not self.is_leaving

    def start(self) -> None:
        """Listen for callers, join the membership and follow the state source."""
        group = self._start_peer_group()
        host, _, port = self._settings.caller_address.rpartition(":")
        listener = self._reactor.listenTCP(
            int(port), self.server, interface=host, backlog=LISTEN_BACKLOG
        )
        self._listening.callback(listener.stopListening)
        self._stack.enter_context(self._listening)
        sweep = start_loop(
            self._sweep, interval_s=SWEEP_INTERVAL_S, reactor=self._reactor
        )
        self._stack.callback(sweep.stop)
        turn_lags = TurnLagSampler(
            reactor=self._reactor,
            clock=self._clock,
            observe=self._metrics.turn_lag.observe,
        )
        turn_lags.start()
        self._stack.callback(turn_lags.stop)
        self._stack.callback(self.pool.close)
        self._stack.callback(self._contact.stop)
        self.state.observe(self._capacity_notifier.notify_soon)
        self._stack.callback(self._capacity_notifier.stop)
        self._stack.callback(self._crash_notifier.stop)
        self._stack.callback(self._suspicion_notifier.stop)
        self.watch_servers()
        self.source.start()
        self._loss_recorder.start(group.is_crash_recorder)
        self._stack.callback(self._loss_recorder.stop)
        self.rollouts.start(group.is_chosen)
        self._stack.callback(self.rollouts.stop)
        self._version_recorder.start(group.is_version_recorder)
        self._stack.callback(self._version_recorder.stop)
        self.state.observe(self._version_recorder.handle_change)
        self.membership.observe_view(self._version_recorder.handle_change)
        self._stack.callback(self.source.stop)

    def watch_servers(self) -> None:
        """Look for servers that answer nothing; `start` does so too."""
        self._silence_monitor.start()
        self._stack.callback(self._silence_monitor.stop)

    def attach_log_output(self, log_output: LogOutput) -> None:
        """Export the number of lost log lines and write buffered lines periodically.

        Parameters
        ----------
        log_output : LogOutput
        """
        self._log_output = log_output
        log_output.register_metric(self.registry)

    def choose_entries(self) -> EntryList:
        """Return the instances that a caller should use."""
        return self.membership.choose_entries()

    def render_metrics(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    async def leave(self, asked_at: float | None = None) -> None:
        """Shut down gracefully, see `StopSequence`; a further call does nothing.

        Parameters
        ----------
        asked_at : float or None
            When the process was told to stop, on the clock of this gateway, from which
            its grace period counts; None for now.
        """
        if self.is_leaving:
            return
        sequence = StopSequence(
            shutdown=self._shutdown,
            active=self._active,
            server=self.server,
            membership=self.membership,
            listening=self._listening,
            wake_requests=self._wake_requests,
            reactor=self._reactor,
            clock=self._clock,
        )
        await sequence.run(asked_at)
        self._stack.close()

    def _count_suspects(self) -> int:
        now = self._clock()
        return sum(
            now < each.suspect_until or each.silence.is_unresponsive(now)
            for each in self.state.backends
        )

    def _sweep(self) -> None:
        self.pool.close_expired()
        self._adopter.remove_unconfirmed()
        self._active.end_overdue()
        if self._log_output is not None:
            self._log_output.drain()

    def _wake_requests(self) -> None:
        """Have requests in progress take the end of the instance into account."""
        self._state_waiter.stop()
        self._capacity_notifier.notify()
        self._crash_notifier.notify()

    def _start_peer_group(self) -> PeerGroup:
        group = PeerGroup(
            settings=self._settings,
            reactor=self._reactor,
            rng=self._rng,
            clock=self._clock,
            registry=self.registry,
            state=self.state,
            source=self.source,
            peer_use=self._peers,
            budget=self._budget,
            stream_index=self._stream_index,
            permits=self._permits,
            crash_history=self._crash_history,
            on_peer_use=self._capacity_notifier.notify_soon,
            on_peer_losses=self._crash_monitor.notify_of_losses,
            on_loss=lambda backend: self._report_unreachable(
                backend, is_from_peer=True
            ),
            link=self._link,
            sections=[
                WaitingSection(self._waiting),
                *self.rollouts.list_sections(),
            ],
        )
        self._stack.callback(group.stop)
        self._stack.callback(self._link.log_total)
        self.membership = group.membership
        self._peer_reports.connect(group)
        group.start()
        return group

    def _build_chain(
        self, caller_dialect: CallerDialect, backend_dialect: BackendDialect
    ):
        context = self._context = RelayContext(
            state=self.state,
            pool=self.pool,
            dialect=backend_dialect,
            inspector=self._inspector,
            copier=self._copier,
            budget=self._budget,
            peers=self._peers,
            prefill_rate=PrefillRate(),
            stream_durations={},
            waiting=self._waiting,
            waiting_metrics=WaitingMetrics(self.registry, self._waiting),
            suspicion_notifier=self._suspicion_notifier,
            capacity_notifier=self._capacity_notifier,
            crash_notifier=self._crash_notifier,
            response_bytes=ByteBudget(MAX_BUFFERED_RESPONSE_BYTES),
            metrics=self._metrics,
            data_centre=self._settings.data_centre,
            reactor=self._reactor,
            rng=self._rng,
            clock=self._clock,
            on_usage_change=self._peer_reports.schedule_use_report,
            on_loss=self._peer_reports.report_lost_server,
            on_other_process=self._adopter.inspect_replacement,
            on_limits=self._peer_reports.report_limits,
            crash_monitor=self._crash_monitor,
            stream_index=self._stream_index,
            list_confirmer=ListConfirmer(self.source),
            contact=self._contact,
            permits=self._permits,
            shutdown=self._shutdown,
            rollouts=self.rollouts.recorder,
            relay_peers=PeerDirectory(self._peer_reports.list_reaching),
        )
        return build_chain(
            [
                ReportFilter(
                    caller_dialect,
                    self._metrics,
                    self.source.measure_configuration_age_s,
                    self._clock,
                ),
                DecodeFilter(caller_dialect),
                RouteFilter(self.state, self._state_waiter, self._shutdown),
                IdentifyFilter(),
                CrashFilter(self._crash_monitor),
                AdmitFilter(self._shutdown.accepts),
                RelayFilter(
                    context,
                    dialect=caller_dialect,
                    own_name=self._settings.instance,
                    rng=self._rng,
                ),
            ]
        )

    def _report_unreachable(
        self, backend: Backend, *, is_from_peer: bool = False
    ) -> None:
        self._context.report_unreachable(backend, is_from_peer=is_from_peer)

    def _report_told_leave(self, backend: Backend) -> None:
        self._context.report_told_leave(backend)

    def _report_rest(self, backend: Backend, rest_s: float) -> None:
        self._context.report_rest(backend, rest_s)

    def _handle_decided_traits(self) -> None:
        self._capacity_notifier.notify()
        self._crash_notifier.notify()
        self._loss_recorder.schedule_write()

    def _handle_contact_change(self) -> None:
        is_lost = self._contact.is_lost
        now = self._clock()
        for backend in self.state.backends:
            self.pool.close_idle(backend.entry.address)
            if not is_lost:
                backend.clear_suspicion(now)
        self._peer_reports.report_contact(is_lost=is_lost)
        self._capacity_notifier.notify()
