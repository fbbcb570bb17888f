"""A gateway between simulated callers and engines on one simulated clock."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Iterable

from ebonyhaven_decisions.forwarding import (
    BackendEntry,
    EngineTraits,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    ServiceShare,
    Workspace,
    group_routes,
)
from ebonyhaven_node.forwarding import Gateway, GatewayBuilders
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from ebonyhaven_standins.memory_connections import (
    MemoryServerConnection,
    make_gateway_settings,
)
from ebonyhaven_standins.resuming._callers import (
    EVENT_GAP_TARGET_S,
    FIRST_EVENT_TARGET_S,
    PATH,
    SimulatedStream,
)
from ebonyhaven_standins.resuming._dialect import (
    API_KEY,
    HOST,
    SimulatedBackendDialect,
    SimulatedCallerDialect,
)
from ebonyhaven_standins.resuming._engines import EngineFleet
from ebonyhaven_standins.resuming._stubs import (
    NullLossStore,
    NullRecordStore,
    NullVersionStore,
    SimulatedInspector,
    StaticSource,
)

STREAM_TIMEOUT_S = 25.0
ENGINE_MEMORY_TOKENS = 88_000
PROMPT_TOKENS = 8000
PROMPT_TOKENS_SPREAD_SHARE = 0.3
SIMULATION_STEP_S = 0.005
DATA_CENTRES = 3
ENGINES_PER_DATA_CENTRE = 6


class RecoveryStrategy(enum.Enum):
    """How a stream recovers from the loss of its engine.

    ``COPY`` resumes it from a copy of the run on another engine, ``PROMPT`` resumes it
    with a new prefill, and ``RESTART`` leaves it to the caller to send a new request.
    """

    COPY = "copy"
    PROMPT = "prompt"
    RESTART = "restart"


class Simulation:
    """A gateway with callers and engines.

    Parameters
    ----------
    strategy : RecoveryStrategy
    seed : int
        Seed of the random number generators.

    Attributes
    ----------
    fleet : EngineFleet
    rng : random.Random
    streams : list of SimulatedStream
    """

    def __init__(self, strategy: RecoveryStrategy, seed: int):
        self.rng = random.Random(seed)
        self._reactor = MemoryReactorClock()
        self._reactor.advance(100.0)
        self._started_at = self._reactor.seconds()
        self.fleet = EngineFleet(
            clock=self._reactor,
            data_centres=DATA_CENTRES,
            engines=ENGINES_PER_DATA_CENTRE,
            on_listed=self._update_entry,
        )
        self._gateway = self._build_gateway(seed)
        entries = {item.name: item.make_entry() for item in self.fleet.engines}
        self._gateway.state.apply_configuration(_make_configuration(strategy))
        self._gateway.state.replace_backends(entries)
        self._gateway.watch_servers()
        self._accepted_connections = 0
        self.streams: list[SimulatedStream] = []

    def run(
        self,
        *,
        duration_s: float,
        read_rate: Callable[[float], float],
        events: Iterable[tuple[float, Callable[[], None]]],
    ) -> None:
        """Run until all streams finish or time out.

        Parameters
        ----------
        duration_s : float
            Simulated seconds in which streams start.
        read_rate : callable
            Returns the arrival rate in streams per second at a time in seconds since
            the start.
        events : iterable of tuple of (float, callable)
            Functions to call at times in seconds since the start.
        """
        for at, action in events:
            self._reactor.callLater(at, action)
        end = self._started_at + duration_s
        next_arrival_at = self._started_at + self.rng.expovariate(read_rate(0.0))
        while self._reactor.seconds() < end or self._has_open_streams(end):
            now = self._reactor.seconds()
            if next_arrival_at <= now < end:
                self._start_stream(now)
                rate = read_rate(now - self._started_at)
                next_arrival_at += self.rng.expovariate(rate)
            self._step()

    def read_start(self, stream: SimulatedStream) -> float:
        """Return when a stream was requested, in seconds since the start."""
        return stream.sent_at - self._started_at

    def remove_engine(self, name: str) -> None:
        """Remove an engine from the server list."""
        self._gateway.state.remove_backend(name)

    def _has_open_streams(self, end: float) -> bool:
        """Return whether streams are open and may still complete before the timeout.

        Parameters
        ----------
        end : float
            Time after which no stream starts, simulated seconds.
        """
        is_timed_out = self._reactor.seconds() >= end + STREAM_TIMEOUT_S
        return not is_timed_out and not all(item.is_finished for item in self.streams)

    def _update_entry(self, entry: BackendEntry) -> None:
        self._gateway.state.put_backend(entry)

    def _start_stream(self, now: float) -> None:
        factor = self.rng.uniform(
            1 - PROMPT_TOKENS_SPREAD_SHARE, 1 + PROMPT_TOKENS_SPREAD_SHARE
        )
        request_id = f"r{len(self.streams)}"
        prompt_tokens = int(PROMPT_TOKENS * factor)
        self.streams.append(
            SimulatedStream(self._gateway, request_id, prompt_tokens, now)
        )

    def _step(self) -> None:
        self._accept_connections()
        for engine in self.fleet.engines:
            engine.process_requests()
        self._reactor.advance(SIMULATION_STEP_S)
        now = self._reactor.seconds()
        for stream in self.streams:
            stream.poll(now)

    def _accept_connections(self) -> None:
        while self._accepted_connections < len(self._reactor.tcpClients):
            host, port, factory, _, _ = self._reactor.tcpClients[
                self._accepted_connections
            ]
            self._accepted_connections += 1
            engine = self.fleet.by_address[f"{host}:{port}"]
            if engine.is_down:
                factory.clientConnectionFailed(None, Failure(Refused()))
            else:
                protocol = factory.buildProtocol(None)
                engine.accept(MemoryServerConnection(engine.address, protocol))

    def _build_gateway(self, seed: int) -> Gateway:
        return Gateway(
            settings=make_gateway_settings("dc-0"),
            reactor=self._reactor,
            builders=GatewayBuilders(
                caller_dialect=SimulatedCallerDialect(),
                backend_dialect=SimulatedBackendDialect(),
                build_source=lambda state, pool: StaticSource(),
                build_inspector=lambda pool: SimulatedInspector(
                    lambda address: self.fleet.by_address[address].is_down
                ),
                build_copier=lambda pool: self.fleet,
                build_record_store=lambda pool: NullRecordStore(),
                build_loss_store=lambda pool: NullLossStore(),
                build_version_store=lambda pool: NullVersionStore(),
            ),
            rng=random.Random(seed),
            clock=self._reactor.seconds,
        )


def _make_configuration(strategy: RecoveryStrategy) -> RoutingConfiguration:
    has_copies = strategy is RecoveryStrategy.COPY
    route = Route(
        name="stream",
        host=HOST,
        path_prefix=PATH,
        kind=RequestKind.STREAM,
        timeout_s=STREAM_TIMEOUT_S,
        target_latency_s=FIRST_EVENT_TARGET_S,
        target_gap_s=EVENT_GAP_TARGET_S,
        priority=1,
        shares=(ServiceShare("engines", 1.0),),
        max_attempts=5,
        is_anonymous=False,
        is_resumable=strategy is not RecoveryStrategy.RESTART,
    )
    traits = EngineTraits(64, ENGINE_MEMORY_TOKENS, has_copies, has_copies, 4.0)
    return RoutingConfiguration(
        version=1,
        routes=group_routes([route]),
        services={"engines": Service("engines", 400, traits)},
        workspaces={API_KEY: Workspace("studio-a", None)},
        requires_keys=True,
        limits=RequestLimits(),
    )
