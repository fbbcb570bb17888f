"""Composition root of a node: builds its components and connects them."""

from __future__ import annotations

import contextlib
import random
import time

import structlog
from ebonyhaven_decisions import (
    Claimant,
    CrashLedger,
    Locality,
    SchedulingAlgorithm,
    build_scheduler,
)
from ebonyhaven_store import InstanceListClient, PlatformTransport, TableClient
from prometheus_client import CollectorRegistry
from twisted.internet import task
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorCore
from twisted.web.server import Site

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._channel_metrics import ChannelMetrics
from ebonyhaven_node._channels import ChannelOptions, Channels
from ebonyhaven_node._claims import ClaimStore
from ebonyhaven_node._control_plane import ControlPlaneDependencies, start_control_plane
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._driver_dependencies import DriverDependencies
from ebonyhaven_node._engines import EngineClient
from ebonyhaven_node._filter_chain import build_chain
from ebonyhaven_node._filters import (
    AttachFilter,
    IdentifyFilter,
    OutcomeFilter,
    RelayFilter,
    ValidateFilter,
)
from ebonyhaven_node._leases import LeaseIdentity
from ebonyhaven_node._limit_exchange import LimitExchange
from ebonyhaven_node._listing import ListingController
from ebonyhaven_node._load_poller import LoadPoller
from ebonyhaven_node._log_writer import DRAIN_INTERVAL_S, LogOutput
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._metrics import RelayMetrics
from ebonyhaven_node._orphans import OrphanCanceller
from ebonyhaven_node._own_record import make_own_record
from ebonyhaven_node._pauses import PauseDetector
from ebonyhaven_node._policy_scheduling import PolicySlotScheduler
from ebonyhaven_node._processor_load import ProcessorLoad
from ebonyhaven_node._runs import RunRegistry
from ebonyhaven_node._servers import BackendServers
from ebonyhaven_node._service_crashes import ServiceCrashes
from ebonyhaven_node._services import ServiceRelay
from ebonyhaven_node._settings import Settings
from ebonyhaven_node._sharing import SchedulingDigestExchange
from ebonyhaven_node._web import CallerInterface, InstanceState
from ebonyhaven_node._web_requests import BoundedRequest

CLAIM_TIMEOUT_S = 10.0  # a slow table still confirms claims within this time
STREAM_POLL_INTERVAL_S = 0.1
LEAVE_NOTICE_S = 1.0
STATE_POLL_INTERVAL_S = 0.02
STATE_TIMEOUT_S = 3.0

_log = structlog.get_logger()


class Node:
    """Node process with all its components.

    Parameters
    ----------
    settings : Settings
    reactor : IReactorCore
    """

    def __init__(self, settings: Settings, reactor: IReactorCore):
        self._settings = settings
        self._reactor = reactor
        self._stack = contextlib.ExitStack()
        self._rng = random.Random(settings.seed or None)
        self._registry = CollectorRegistry()
        self._runs = RunRegistry()
        self._configuration = ActiveConfiguration()
        self._servers = BackendServers()
        self._own_load = ProcessorLoad()
        self._state = InstanceState(
            instance=settings.instance, incarnation=time.time_ns() // 1_000_000
        )

    def start(self) -> None:
        """Start the controllers and accept connections from callers."""
        self._channels = self._build_channels()
        self._membership = self._build_membership()
        transport = PlatformTransport(self._reactor, self._settings.platform_address)
        self._stack.callback(transport.close)
        self._start_controllers(transport)
        claims_transport = PlatformTransport(
            self._reactor,
            self._settings.platform_address,
            timeout_s=CLAIM_TIMEOUT_S,
        )
        self._stack.callback(claims_transport.close)
        interface = self._build_interface(TableClient(claims_transport))
        host, port = self._settings.caller_address.split(":")
        site = Site(interface.app.resource(), requestFactory=BoundedRequest)
        listener = self._reactor.listenTCP(int(port), site, interface=host, backlog=256)
        self._stack.callback(listener.stopListening)
        _log.info("node_started", instance=self._settings.instance)

    def attach_log_output(self, log_output: LogOutput) -> None:
        """Export the number of lost log lines and write buffered lines periodically.

        Parameters
        ----------
        log_output : LogOutput
        """
        log_output.register_metric(self._registry)
        drain_loop = task.LoopingCall(log_output.drain)
        drain_loop.clock = self._reactor
        drain_loop.start(DRAIN_INTERVAL_S)
        self._stack.callback(drain_loop.stop)

    @property
    def has_state(self) -> bool:
        """Whether a configuration is active and the list of servers was read."""
        return self._configuration.version > 0 and self._servers.has_complete_list

    async def wait_for_state(self) -> None:
        """Wait until there is state to serve from, at most `STATE_TIMEOUT_S`.

        An instance without it keeps listening: it refuses requests with ``not_run``.
        """
        deadline = time.monotonic() + STATE_TIMEOUT_S
        while not self.has_state and time.monotonic() < deadline:
            await task.deferLater(self._reactor, STATE_POLL_INTERVAL_S)

    async def leave(self) -> None:
        """Refuse new runs, wait for open streams, and stop all components."""
        if self._state.leaving:
            return
        self._state.leaving = True
        self._membership.leave()
        _log.info("node_leaving", open_runs=len(self._runs.list_active()))
        await task.deferLater(self._reactor, LEAVE_NOTICE_S)
        while any(run.sinks for run in self._runs.list_active()):
            await task.deferLater(self._reactor, STREAM_POLL_INTERVAL_S)
        await self._pools.release()
        await self._membership.depart()
        self._stack.close()
        _log.info("node_stopped")

    def _build_channels(self) -> Channels:
        channels = Channels(
            reactor=self._reactor,
            address=self._settings.control_address,
            metrics=ChannelMetrics(self._registry),
            rng=self._rng,
            options=ChannelOptions(
                loss=self._settings.control_loss,
                routes=self._settings.control_routes,
            ),
        )
        self._stack.callback(channels.close)
        return channels

    def _build_membership(self) -> MembershipController:
        settings = self._settings
        membership = MembershipController(
            own=make_own_record(
                name=settings.instance,
                control_address=settings.control_address,
                caller_address=settings.caller_address,
                data_centre=settings.data_centre,
                region=settings.region,
            ),
            channels=self._channels,
            reactor=self._reactor,
            rng=self._rng,
            registry=self._registry,
        )
        self._stack.callback(membership.stop)
        membership.set_load_source(self._own_load.read)
        membership.set_seeds(settings.control_seeds)
        membership.start()
        return membership

    def _start_controllers(self, transport: PlatformTransport) -> None:
        listing = ListingController(
            name=self._settings.instance,
            servers=self._servers,
            membership=self._membership,
            channels=self._channels,
            client=InstanceListClient(transport),
            reactor=self._reactor,
            rng=self._rng,
        )
        self._stack.callback(listing.stop)
        ensureDeferred(listing.run())
        self._pools = start_control_plane(
            ControlPlaneDependencies(
                owner=LeaseIdentity(self._state.instance, self._state.incarnation),
                transport=transport,
                membership=self._membership,
                channels=self._channels,
                servers=self._servers,
                configuration=self._configuration,
                reactor=self._reactor,
                rng=self._rng,
                registry=self._registry,
            ),
            self._stack,
        )

    def _build_interface(self, table: TableClient) -> CallerInterface:
        metrics = RelayMetrics(self._registry)
        scheduling = self._build_scheduling()
        chain = build_chain(
            [
                OutcomeFilter(metrics),
                IdentifyFilter(self._configuration),
                ValidateFilter(),
                AttachFilter(
                    registry=self._runs,
                    driver_dependencies=self._build_driver_dependencies(
                        table, metrics, scheduling
                    ),
                    status=self._state,
                    rng=self._rng,
                ),
                RelayFilter(metrics=metrics, reactor=self._reactor),
            ]
        )
        limits = LimitExchange(
            servers=self._servers,
            membership=self._membership,
            channels=self._channels,
            reactor=self._reactor,
            clock=time.monotonic,
            list_cut_off=lambda: (),  # not known on this interface
        )
        self._stack.callback(limits.stop)
        self._servers.on_limits = limits.publish
        service_crashes = ServiceCrashes(self._reactor)
        service_crashes.connect(self._membership, self._channels)
        self._stack.callback(service_crashes.stop)
        services = ServiceRelay(
            configuration=self._configuration,
            servers=self._servers,
            scheduling=scheduling,
            crashes=service_crashes,
            reactor=self._reactor,
        )
        return CallerInterface(
            chain=chain,
            services=services,
            entries=self._membership.choose_entries,
            state=self._state,
            configuration=self._configuration,
            registry=self._registry,
        )

    def _build_scheduling(self) -> PolicySlotScheduler:
        scheduler = build_scheduler(
            SchedulingAlgorithm(self._settings.scheduling),
            {},
            locality=Locality(self._settings.data_centre, self._settings.region),
            random_source=self._rng,
            now=time.monotonic(),
        )
        scheduling = PolicySlotScheduler(
            scheduler=scheduler,
            servers=self._servers,
            configuration=self._configuration,
            reactor=self._reactor,
            read_instance_load=self._own_load.read,
        )
        self._start_load_exchange(scheduling)
        return scheduling

    def _start_load_exchange(self, scheduling: PolicySlotScheduler) -> None:
        digests = SchedulingDigestExchange(
            membership=self._membership,
            channels=self._channels,
            scheduler=scheduling.scheduler,
            reactor=self._reactor,
            rng=self._rng,
            on_update=scheduling.process_queue,
        )
        poller = LoadPoller(
            servers=self._servers,
            table=scheduling.scheduler.dispatcher.table,
            reactor=self._reactor,
            rng=self._rng,
        )
        self._stack.callback(digests.stop)
        self._stack.callback(poller.stop)
        digests.start()
        ensureDeferred(poller.run())

    def _start_pause_detector(self) -> PauseDetector:
        detector = PauseDetector(self._reactor)
        detector.start()
        self._stack.callback(detector.stop)
        return detector

    def _build_driver_dependencies(
        self,
        table: TableClient,
        metrics: RelayMetrics,
        scheduling: PolicySlotScheduler,
    ) -> DriverDependencies:
        engines = EngineClient(self._reactor)
        crashes = CrashReports(CrashLedger())
        crashes.connect(self._membership, self._channels, self._reactor)
        self._stack.callback(crashes.stop)
        claimant = Claimant(
            instance=self._state.instance, incarnation=self._state.incarnation
        )
        return DriverDependencies(
            engines=engines,
            servers=self._servers,
            scheduling=scheduling,
            claims=ClaimStore(
                table=table,
                claimant=claimant,
                pauses=self._start_pause_detector(),
                reactor=self._reactor,
            ),
            orphans=OrphanCanceller(
                engines=engines,
                reactor=self._reactor,
                rng=self._rng,
                registry=self._registry,
            ),
            crashes=crashes,
            metrics=metrics,
            reactor=self._reactor,
            rng=self._rng,
            continue_runs=self._settings.resume == "continue",
        )
