"""Faults of instances and of their links."""

from __future__ import annotations

import contextlib
import random
import signal

from ebonyhaven_standins.fault_proxy import FaultKind
from twisted.internet import reactor
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._deployment import SoakDeployment, SoakInstance
from tests.platform_adapter.soak._fault_log import (
    DisturbanceKind,
    FaultLog,
    Reload,
    Termination,
)
from tests.platform_adapter.soak._link_faults import DURATION_S, LinkDisturber

CUT_S = (5.0, 9.0)  # longer than `CONTACT_S` and a span of a named limit
CUTS = (
    (FaultKind.RESET, FaultKind.REFUSE),
    (FaultKind.REFUSE,),
    (FaultKind.SILENCE_OPEN, FaultKind.IGNORE),
)
IMPORTS_S = 1.0  # of the soak's own program, which a SIGHUP would end
KILL_S = 0.1
POLL_S = 0.05
RELOAD_PAUSE_S = (0.0, 0.5)
SECOND_SIGNAL_S = (0.1, 2.0)
SECOND_SIGNAL_SHARE = 0.3


class InstanceFaults:
    """Kills, stops, freezes and cuts of instances.

    Parameters
    ----------
    deployment : SoakDeployment
    rng : random.Random
    log : FaultLog
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random, log: FaultLog):
        self._deployment = deployment
        self._rng = rng
        self._log = log
        self._links = LinkDisturber(rng)
        self._is_stopping_in_turn = False

    async def kill_instance(self) -> None:
        instance = self._choose()
        with self._log.disturbing(instance.name, DisturbanceKind.KILL):
            instance.signal(signal.SIGKILL)
            await self._wait()
            instance.start()

    async def terminate_instance(self) -> None:
        await self._terminate(self._choose(), None)

    async def terminate_waiting_instance(self) -> None:
        """Stop an instance, sometimes with two signals, or freeze it meanwhile."""
        second_after_s = None
        if self._rng.random() < SECOND_SIGNAL_SHARE:
            second_after_s = self._rng.uniform(*SECOND_SIGNAL_S)
        instance = self._choose()
        if self._is_stopping(instance):
            return
        await self._terminate(instance, second_after_s)

    async def _terminate(
        self, instance: SoakInstance, second_after_s: float | None
    ) -> None:
        with self._log.disturbing(instance.name, DisturbanceKind.STOP):
            process = instance.process
            instance.signal(signal.SIGTERM)
            now = reactor.seconds()
            stop = Termination(instance.name, now, instance.grace_s, second_after_s)
            self._log.terminations.append(stop)
            if second_after_s is not None:
                reactor.callLater(second_after_s, instance.signal, signal.SIGTERM)
            await self._wait_for_end(instance, process, now + instance.grace_s)
            if instance.process is process:  # another one was not asked to stop
                if instance.is_running():
                    self._log.overdue_stops.append(stop)
                instance.signal(signal.SIGKILL)
            await deferLater(reactor, KILL_S)
            instance.start()
        await instance.accept_callers()

    async def _wait_for_end(self, instance, process, until: float) -> None:
        """Wait until a time; callers are refused once the process has ended."""
        while reactor.seconds() < until and process.poll() is None:
            await deferLater(reactor, POLL_S)
        if instance.process is process:
            await instance.caller_link.stop_listening()
        await deferLater(reactor, max(until - reactor.seconds(), 0.0))

    async def stop_instances_in_turn(self) -> None:
        """Stop and start each instance, one after the other, once at a time."""
        if self._is_stopping_in_turn:
            return
        self._is_stopping_in_turn = True
        instances = list(self._deployment.instances)
        self._rng.shuffle(instances)
        for instance in instances:
            if not self._is_stopping(instance):
                await self._terminate(instance, None)
        self._is_stopping_in_turn = False

    async def reload_instances(self) -> None:
        """Have some instances read changed settings again, one after the other."""
        instances = self._deployment.instances
        count = self._rng.randint(1, len(instances))
        for instance in self._rng.sample(instances, count):
            runs_for_s = reactor.seconds() - instance.started_at
            if instance.is_running() and runs_for_s > IMPORTS_S:
                instance.change_settings()
                reload = Reload(instance.name, reactor.seconds())
                self._log.reloads.append(reload)
                instance.signal(signal.SIGHUP)
            await deferLater(reactor, self._rng.uniform(*RELOAD_PAUSE_S))

    def _is_stopping(self, instance: SoakInstance) -> bool:
        now = reactor.seconds()
        return any(
            each.instance == instance.name and now < each.at + 2 * each.grace_s
            for each in self._log.terminations
        )

    async def upgrade_instance(self) -> None:
        """Replace an instance of an earlier build by one of the present build."""
        earlier = [each for each in self._deployment.instances if each.earlier_build]
        if not earlier or self._is_stopping(earlier[0]):
            return
        earlier[0].earlier_build = None
        await self._terminate(earlier[0], None)

    async def pause_instance(self) -> None:
        instance = self._choose()
        with self._log.disturbing(instance.name, DisturbanceKind.FREEZE):
            instance.signal(signal.SIGSTOP)
            await self._wait()
            instance.signal(signal.SIGCONT)

    async def cut_off_instances(self) -> None:
        instances = self._deployment.instances
        chosen = self._rng.sample(instances, self._rng.randint(1, len(instances) - 1))
        if any(each.is_cut_off for each in instances):
            return
        kinds = self._rng.choice(CUTS)
        with contextlib.ExitStack() as stack:
            for instance in chosen:
                noting = self._log.disturbing(instance.name, DisturbanceKind.CUT)
                stack.enter_context(noting)
                await instance.cut_off(*kinds)
            since = reactor.seconds()
            await deferLater(reactor, self._rng.uniform(*CUT_S))
            names = frozenset(each.name for each in chosen)
            self._log.cuts.append((names, since, reactor.seconds()))
            running = {each.site.address for each in self._deployment.list_running()}
            for instance in chosen:
                await instance.reconnect(running)

    async def disturb_callers(self) -> None:
        instance = self._choose()
        kind = DisturbanceKind.CALLER_LINK
        with self._log.noting(self._log.links, instance.name, kind):
            await self._links.disturb([instance.caller_link])

    def _choose(self) -> SoakInstance:
        return self._rng.choice(self._deployment.instances)

    async def _wait(self) -> None:
        await deferLater(reactor, self._rng.uniform(*DURATION_S))
