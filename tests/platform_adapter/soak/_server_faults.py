"""Faults of backend servers: what they answer, how they end, when they stand still."""

from __future__ import annotations

import contextlib
import random
import signal

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._deployment import SoakDeployment
from tests.platform_adapter.soak._fault_log import (
    DisturbanceKind,
    FaultLog,
    NamedLimit,
)
from tests.platform_adapter.soak._link_faults import DURATION_S, LinkDisturber
from tests.platform_adapter.soak._places import LAPSE_S, ListedServer, SoakServer

LIMIT_DURATION_S = (5.0, 9.0)  # longer than `CONTACT_S` and a span of the limit
FROZEN_S = (0.5, 3.0)
LAPSED_S = (1.0, 4.0)
LINGER_S = (0.2, 1.0, 4.0, 8.0)
NAMING_S = (0.2, 3.0)  # in which servers name rests, shorter than some of these
PACES = (0.8, 1.0, 1.5, 4.0)  # times the usual work
PACE_CHANGE_S = (0.05, 1.0)
PAUSED_S = (1.0, 8.0)
REST_S = (1.0, 6.0)
REPORTING_SHARE = 0.6  # of the servers that leave
TURN_S = (0.3, 1.5)
SUCCESSOR_S = (-1.0, 2.0)


class BackendFaults:
    """Faults of backend servers and of the links to them.

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
        self._is_replacing = False

    async def name_limits(self) -> None:
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
        self._log.named_limits += [
            NamedLimit(place, rate, since, until) for place, rate in limits.items()
        ]
        limits.clear()

    async def name_rests(self) -> None:
        """Have some or all servers of a service want no requests for some time."""
        service = self._rng.choice(("plain", "engines"))
        servers = [each for each in self._deployment.servers if each.service == service]
        count = self._rng.choice((1, self._rng.randint(1, len(servers)), len(servers)))
        rests = self._deployment.server_faults.named_rests
        places = [each.name for each in self._rng.sample(servers, count)]
        rests.update({place: self._rng.uniform(*REST_S) for place in places})
        await deferLater(reactor, self._rng.uniform(*NAMING_S))
        for place in places:
            rests.pop(place, None)

    async def vary_paces(self) -> None:
        """Have plain servers take longer by times, and say so in their answers."""
        places = [each.name for each in self._list_plain_servers()]
        paces = self._deployment.server_faults.paces
        if paces:
            return
        until = reactor.seconds() + self._rng.uniform(*LIMIT_DURATION_S)
        while reactor.seconds() < until:
            paces.update({place: self._rng.choice(PACES) for place in places})
            await deferLater(reactor, self._rng.uniform(*PACE_CHANGE_S))
        paces.clear()

    async def make_servers_brittle(self) -> None:
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
        self._log.brittle_times.append((since, reactor.seconds()))

    def _list_plain_servers(self) -> list[SoakServer]:
        return [each for each in self._deployment.servers if each.service == "plain"]

    async def disturb_servers(self) -> None:
        alive = [each for each in self._deployment.servers if each.process is not None]
        count = self._rng.randint(1, 3)
        chosen = self._rng.sample(alive, min(count, len(alive)))
        links = [each.link for each in chosen]
        with contextlib.ExitStack() as stack:
            for link in links:
                times = self._log.server_links
                kind = DisturbanceKind.SERVER_LINK
                stack.enter_context(self._log.noting(times, link.address, kind))
            await self._links.disturb(links)
        running = {each.site.address for each in self._deployment.list_running()}
        for link in links:
            if link.address not in running:  # its server has ended meanwhile
                await link.stop_listening()

    async def crash_server(self) -> None:
        server = self._rng.choice(self._deployment.servers)
        await server.crash(self._rng.uniform(0.3, 1.5))

    async def spoil_answers(self) -> None:
        faults = self._deployment.server_faults
        faults.lost_answers = self._rng.uniform(0.0, 0.1)
        faults.extra_answers = self._rng.uniform(0.0, 0.3)
        faults.extra_without_id = self._rng.choice((0.0, 0.5))
        await deferLater(reactor, self._rng.uniform(*DURATION_S))
        faults.lost_answers = faults.extra_answers = 0.0

    async def pause_servers(self) -> None:
        """Have some servers stand still, also while they leave."""
        running = self._deployment.list_running()
        count = min(self._rng.randint(1, 2), len(running))
        duration_s = self._rng.uniform(*PAUSED_S)
        chosen = self._rng.sample(running, count)
        await _wait_for_all([self._pause(each, duration_s) for each in chosen])

    async def _pause(self, listed: ListedServer, duration_s: float) -> None:
        if listed.process.is_paused:
            return
        name, kind = listed.process.process_id, DisturbanceKind.PAUSE
        with self._log.noting(self._log.pauses, name, kind):
            await listed.pause(duration_s)

    async def replace_server(self) -> None:
        """Have a server leave, with or without a word, and another one follow it."""
        await self._replace(self._rng.choice(self._deployment.servers))

    async def _replace(self, server: SoakServer) -> None:
        await server.leave(
            reports=self._rng.random() < REPORTING_SHARE,
            linger_s=self._rng.uniform(0.1, self._rng.choice(LINGER_S)),
            successor_after_s=max(0.0, self._rng.uniform(*SUCCESSOR_S)),
        )

    async def replace_paused(self) -> None:
        """Have servers of a service stand still while another one leaves."""
        service = self._rng.choice(("plain", "engines"))
        servers = [each for each in self._deployment.servers if each.service == service]
        leaving, *others = self._rng.sample(servers, len(servers))
        still = [each.listed for each in others[:2] if each.listed is not None]
        duration_s = self._rng.uniform(*PAUSED_S)
        leave = leaving.leave(
            reports=self._rng.random() < REPORTING_SHARE,
            linger_s=self._rng.uniform(*PAUSED_S),
            successor_after_s=self._rng.uniform(0.0, 2.0),
        )
        pauses = [self._pause(each, duration_s) for each in still]
        await _wait_for_all([leave, *pauses])

    async def replace_last(self) -> None:
        """Have a server leave when the entries of all others of it have lapsed."""
        service = self._rng.choice(("plain", "engines"))
        servers = [each for each in self._deployment.servers if each.service == service]
        leaving, *others = self._rng.sample(servers, len(servers))
        still = [each.listed for each in others if each.listed is not None]
        paused = [
            ensureDeferred(self._pause(each, LAPSE_S + self._rng.uniform(*LAPSED_S)))
            for each in still
        ]
        await deferLater(reactor, LAPSE_S)
        frozen = ensureDeferred(self._freeze_readers())
        await leaving.leave(
            reports=self._rng.random() < REPORTING_SHARE,
            linger_s=self._rng.uniform(*PAUSED_S),
            successor_after_s=self._rng.uniform(*LAPSED_S),
        )
        await _wait_for_all([*paused, frozen])

    async def _freeze_readers(self) -> None:
        """Freeze some instances, and so at times the one that reads the list."""
        instances = self._deployment.instances
        count = self._rng.randrange(len(instances))
        with contextlib.ExitStack() as stack:
            for each in self._rng.sample(instances, count):
                noting = self._log.disturbing(each.name, DisturbanceKind.FREEZE)
                stack.enter_context(noting)
                each.signal(signal.SIGSTOP)
                stack.callback(each.signal, signal.SIGCONT)
            await deferLater(reactor, self._rng.uniform(*FROZEN_S))

    async def replace_in_turn(self) -> None:
        """Have all servers leave one after the other, some of them overlapping."""
        if self._is_replacing:
            return
        self._is_replacing = True
        replaced = []
        for server in self._rng.sample(
            self._deployment.servers, len(self._deployment.servers)
        ):
            replaced.append(ensureDeferred(self._replace(server)))
            await deferLater(reactor, self._rng.uniform(*TURN_S))
        await _wait_for_all(replaced)
        self._is_replacing = False


async def _wait_for_all(coroutines) -> None:
    running = [ensureDeferred(each) for each in coroutines]
    for each in running:
        await each
