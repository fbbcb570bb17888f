"""Faults of a soak, in series and overlapping, drawn from its seed."""

from __future__ import annotations

import contextlib
import math
import random
import signal
from collections.abc import Iterator

import structlog
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._checks import CONTACT_S, NamedLimit
from tests.platform_adapter.soak._deployment import (
    GRACE_S,
    SoakDeployment,
    SoakInstance,
    SoakServer,
    make_soak_configuration,
)

PAUSE_S = (0.1, 0.9)
DURATION_S = (0.1, 2.0)
LIMIT_DURATION_S = (5.0, 9.0)  # longer than `CONTACT_S` and a span of the limit
RESTART_S = 1.0  # until an instance that was started again is as the others
CUTS = (
    (FaultKind.RESET, FaultKind.REFUSE),
    (FaultKind.REFUSE,),
    (FaultKind.SILENCE_OPEN, FaultKind.IGNORE),
)
LINK_FAULTS = (
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.LOSE_TO_TARGET,
    FaultKind.LOSE_TO_CLIENT,
    FaultKind.PARTITION,
    FaultKind.SILENCE_OPEN,
    FaultKind.REFUSE,
)

_log = structlog.get_logger()


class FaultInjector:
    """Injects faults until stopped.

    Parameters
    ----------
    deployment : SoakDeployment
    rng : random.Random
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random):
        self._deployment = deployment
        self._rng = rng
        self._version = 1
        self.is_stopped = False
        self._running: list[Deferred] = []
        self.disturbances: list[tuple[str, float, float]] = []  # of instances
        self.named_limits: list[NamedLimit] = []
        self.brittle_times: list[tuple[float, float]] = []
        self.cuts: list[tuple[frozenset[str], float, float]] = []

    async def run(self) -> None:
        """Start one fault after the other; each lasts for its own time."""
        while not self.is_stopped:
            await deferLater(reactor, self._rng.uniform(*PAUSE_S))
            fault = self._rng.choice(
                (
                    self._kill_instance,
                    self._terminate_instance,
                    self._pause_instance,
                    self._disturb_servers,
                    self._disturb_servers,
                    self._disturb_callers,
                    self._disturb_store,
                    self._stop_store,
                    self._crash_server,
                    self._spoil_answers,
                    self._change_configuration,
                    self._name_limits,
                    self._make_servers_brittle,
                    self._cut_off_instances,
                )
            )
            _log.info("fault_started", fault=fault.__name__)
            self._running.append(ensureDeferred(fault()))

    async def stop(self) -> None:
        """Start no more faults, and wait for the end of those that last."""
        self.is_stopped = True
        for each in self._running:
            await each

    async def _wait(self) -> None:
        await deferLater(reactor, self._rng.uniform(*DURATION_S))

    @contextlib.contextmanager
    def _disturbing(self, instance: SoakInstance) -> Iterator[None]:
        """Note that an instance is disturbed, and until when."""
        begin = reactor.seconds()
        number = len(self.disturbances)
        self.disturbances.append((instance.name, begin, math.inf))
        yield
        end = reactor.seconds() + RESTART_S
        self.disturbances[number] = (instance.name, begin, end)

    async def _kill_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        with self._disturbing(instance):
            instance.signal(signal.SIGKILL)
            await self._wait()
            instance.start()

    async def _terminate_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        with self._disturbing(instance):
            instance.signal(signal.SIGTERM)
            await deferLater(reactor, GRACE_S)
            instance.signal(signal.SIGKILL)
            await deferLater(reactor, 0.1)
            instance.start()

    async def _pause_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        with self._disturbing(instance):
            instance.signal(signal.SIGSTOP)
            await self._wait()
            instance.signal(signal.SIGCONT)

    async def _name_limits(self) -> None:
        """Have some plain servers name a limit for longer than instances may take."""
        places = [each.name for each in self._list_plain_servers()]
        chosen = self._rng.sample(places, self._rng.randint(1, len(places) - 1))
        limits = self._deployment.server_faults.named_limits
        if limits:
            return
        since = reactor.seconds()
        limits.update({place: self._rng.uniform(1.0, 6.0) for place in chosen})
        await deferLater(reactor, self._rng.uniform(*LIMIT_DURATION_S))
        until = reactor.seconds()
        self.named_limits += [
            NamedLimit(place, rate, since, until) for place, rate in limits.items()
        ]
        limits.clear()

    async def _make_servers_brittle(self) -> None:
        faults = self._deployment.server_faults
        if faults.brittle_limit is not None:
            return
        since = reactor.seconds()
        faults.brittle_limit = self._rng.randint(2, 6)
        await deferLater(reactor, CONTACT_S)
        faults.refuses_waiting = True
        await deferLater(reactor, self._rng.uniform(*LIMIT_DURATION_S) - CONTACT_S)
        faults.refuses_waiting = False
        faults.brittle_limit = None
        self.brittle_times.append((since, reactor.seconds()))

    async def _cut_off_instances(self) -> None:
        instances = self._deployment.instances
        chosen = self._rng.sample(instances, self._rng.randint(1, len(instances) - 1))
        if any(each.is_cut_off for each in instances):
            return
        kinds = self._rng.choice(CUTS)
        with contextlib.ExitStack() as stack:
            for instance in chosen:
                stack.enter_context(self._disturbing(instance))
                await instance.cut_off(*kinds)
            since = reactor.seconds()
            await deferLater(reactor, self._rng.uniform(*LIMIT_DURATION_S))
            names = frozenset(each.name for each in chosen)
            self.cuts.append((names, since, reactor.seconds()))
            running = [each for each in self._deployment.servers if each.process]
            for instance in chosen:
                await instance.reconnect(running)

    def _list_plain_servers(self) -> list[SoakServer]:
        return [each for each in self._deployment.servers if each.service == "plain"]

    async def _disturb(self, links: list[Link]) -> None:
        kind = self._rng.choice(LINK_FAULTS)
        delay_ms = self._rng.uniform(20.0, 600.0)
        for link in links:
            await link.set_fault(kind, delay_ms)
        await self._wait()
        for link in links:
            await link.set_fault(FaultKind.NONE, 0.0)

    async def _disturb_servers(self) -> None:
        alive = [each for each in self._deployment.servers if each.process is not None]
        count = self._rng.randint(1, 3)
        chosen = self._rng.sample(alive, min(count, len(alive)))
        await self._disturb([each.link for each in chosen])
        for each in chosen:
            if each.process is None:  # it has crashed meanwhile
                await each.link.stop_listening()

    async def _disturb_callers(self) -> None:
        await self._disturb([self._rng.choice(self._deployment.instances).caller_link])

    async def _disturb_store(self) -> None:
        await self._disturb([self._rng.choice(self._deployment.instances).store_link])

    async def _stop_store(self) -> None:
        self._deployment.store.is_down = True
        await self._wait()
        self._deployment.store.is_down = False

    async def _crash_server(self) -> None:
        server = self._rng.choice(self._deployment.servers)
        await server.crash(self._rng.uniform(0.3, 1.5))

    async def _spoil_answers(self) -> None:
        faults = self._deployment.server_faults
        faults.lost_answers = self._rng.uniform(0.0, 0.1)
        faults.extra_answers = self._rng.uniform(0.0, 0.3)
        faults.extra_without_id = self._rng.choice((0.0, 0.5))
        await self._wait()
        faults.lost_answers = faults.extra_answers = 0.0

    async def _change_configuration(self) -> None:
        self._version += 1
        document = make_soak_configuration(self._version)
        self._deployment.store.put("op", "config", document)
