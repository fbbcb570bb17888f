"""Faults of a soak, in series and overlapping, drawn from its seed."""

from __future__ import annotations

import random
import signal

import structlog
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._deployment import (
    GRACE_S,
    SoakDeployment,
    make_soak_configuration,
)

PAUSE_S = (0.1, 0.9)
DURATION_S = (0.1, 2.0)
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

    async def _kill_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        instance.signal(signal.SIGKILL)
        await self._wait()
        instance.start()

    async def _terminate_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        instance.signal(signal.SIGTERM)
        await deferLater(reactor, GRACE_S)
        instance.signal(signal.SIGKILL)
        await deferLater(reactor, 0.1)
        instance.start()

    async def _pause_instance(self) -> None:
        instance = self._rng.choice(self._deployment.instances)
        instance.signal(signal.SIGSTOP)
        await self._wait()
        instance.signal(signal.SIGCONT)

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
