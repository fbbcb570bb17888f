"""Places of backend servers: their addresses, processes and entries in the list."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from tests.platform_adapter.soak._behaviours import VersionFault
from tests.platform_adapter.soak._checks import (
    NEW_VERSION,
    NEW_VERSION_PLACES,
    OLD_VERSION,
)
from tests.platform_adapter.soak._servers import SLOTS, ServerProcess
from tests.platform_adapter.stand_ins import make_entry

if TYPE_CHECKING:
    from tests.platform_adapter.soak._deployment import SoakDeployment

DRAIN_S = 2.0
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S  # of silence, until an entry is removed
REUSE_S = 2.0  # until the address of a server that ended is used again
STORE_RETRY_S = 0.2
UNLISTED_AFTER_S = 2.0  # a crashed server's entry lapses


class Departure(NamedTuple):
    """Time in which the list said that a server leaves or is gone.

    Parameters
    ----------
    process : str
    at : float
        When the store accepted it; seconds of the reactor's clock.
    until : float
        When the server was listed again as ready.
    reason : str
    """

    process: str
    at: float
    until: float
    reason: str


class ServerSite:
    """An address of servers, used by one after the other."""

    def __init__(self, name: str):
        self._name = name
        self.target = allocate_address()
        self.link = Link(
            name=f"instances-{name}",
            listen=allocate_address(),
            target=self.target,
            sides=frozenset(("instances", name)),
        )

    @property
    def address(self) -> str:
        """``IP:PORT`` in the entries of its servers."""
        return self.link.address


class ListedServer:
    """A process of a backend server, with its entry in the list.

    Parameters
    ----------
    process : ServerProcess
    site : ServerSite
    service, data_centre : str
    deployment : SoakDeployment
    """

    def __init__(
        self,
        process: ServerProcess,
        *,
        site: ServerSite,
        service: str,
        data_centre: str,
        deployment: SoakDeployment,
    ):
        self.process = process
        self.site = site
        self.service = service
        self._data_centre = data_centre
        self._deployment = deployment
        self._state = "ready"
        self._is_ending = False

    async def start(self) -> None:
        self.process.listen(self.site.target)
        self.site.link.start_listening()
        for instance in self._deployment.instances:
            ensureDeferred(instance.show_server(self.site.address, is_running=True))
        await self.list(self._state)

    async def list(self, state: str) -> None:
        """Write the entry as soon as the store accepts it."""
        self._state = state
        await self._wait_for_store()
        if self.process.is_dead:
            return
        entry = make_entry(self.service, self.site.address, self._data_centre)
        entry |= {"slots": SLOTS, "version": self.process.version, "state": state}
        self._deployment.store.put("servers", self.process.process_id, entry)
        if state == "ready":
            self._deployment.note_listed(self.process.process_id)
        else:
            self._deployment.note_departure(self.process.process_id, state)

    def unlist(self, reason: str) -> None:
        """Remove the entry, if there is one."""
        name = self.process.process_id
        if ("servers", name) in self._deployment.store.rows:
            self._deployment.store.put("servers", name, None)
            self._deployment.note_departure(name, reason)

    async def leave(self, *, reports: bool, linger_s: float) -> None:
        """Say so in the list and in answers, go on for a while, and end."""
        await self._wait_until_running()
        self.process.is_leaving = True
        if reports:
            await self.list("draining")
        else:
            await self._wait_for_store()
            self._state = "removed"
            self.unlist("removed")
        await deferLater(reactor, DRAIN_S + linger_s)
        await self._wait_until_running()
        await self.end()
        self.unlist("ended")

    async def end(self) -> None:
        """End the process; its address refuses connections."""
        if self.process.is_dead or self._is_ending:
            return
        self._is_ending = True  # a second crash may come while the first is handled
        link = self.site.link
        await link.stop_listening()
        for instance in self._deployment.instances:
            await instance.show_server(self.site.address, is_running=False)
        await self.process.stop()
        await link.set_fault(FaultKind.RESET, 0.0)
        await link.set_fault(FaultKind.NONE, 0.0)
        await link.stop_listening()

    async def pause(self, duration_s: float) -> None:
        """Stand still for a while; the entry lapses when it takes long."""
        if self.process.is_paused:
            return
        self.process.pause()
        lapse_s = LAPSE_S - self._deployment.rng.uniform(0.0, HEARTBEAT_S)
        await deferLater(reactor, min(duration_s, lapse_s))
        if duration_s > lapse_s:
            self.unlist("lapsed")
            await deferLater(reactor, duration_s - lapse_s)
        self.process.resume()
        if duration_s > lapse_s and self._state != "removed":
            await deferLater(reactor, self._deployment.rng.uniform(0.0, HEARTBEAT_S))
            if not self.process.is_dead:
                await self.list(self._state)

    async def _wait_until_running(self) -> None:
        while self.process.is_paused and not self.process.is_dead:
            await deferLater(reactor, STORE_RETRY_S)

    async def _wait_for_store(self) -> None:
        while self._deployment.store.is_down:
            await deferLater(reactor, STORE_RETRY_S)


class SoakServer:
    """A backend server, whose processes end and are followed by others.

    Parameters
    ----------
    name, service, data_centre : str
    deployment : SoakDeployment
    version : str or None
        Of its software; None for the usual one of its name.
    version_fault : VersionFault or None
    """

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        deployment: SoakDeployment,
        *,
        version: str | None = None,
        version_fault: VersionFault | None = None,
    ):
        self.name = name
        self._version = version
        self._version_fault = version_fault
        self.service = service
        self._data_centre = data_centre
        self._deployment = deployment
        self._site = deployment.take_site()
        self._starts = 0
        self._is_retired = False
        self.listed: ListedServer | None = None

    @property
    def link(self) -> Link:
        """Link to the present address."""
        return self._site.link

    @property
    def process(self) -> ServerProcess | None:
        """The process that is there to stay, if any."""
        return self.listed.process if self.listed else None

    def start(self) -> None:
        self._starts += 1
        deployment = self._deployment
        is_new = self.name.startswith(NEW_VERSION_PLACES)
        usual = NEW_VERSION if is_new else OLD_VERSION
        version = self._version or usual
        process = ServerProcess(
            f"{self.name}-{self._starts}",
            service=self.service,
            version=version,
            version_fault=self._version_fault,
            log=deployment.log,
            faults=deployment.server_faults,
            rng=deployment.rng,
            crashing_path=deployment.crashing_path,
            on_crash=lambda crashed: ensureDeferred(self._crash(crashed, 1.0)),
        )
        self.listed = ListedServer(
            process,
            site=self._site,
            service=self.service,
            data_centre=self._data_centre,
            deployment=deployment,
        )
        deployment.processes.append(self.listed)
        ensureDeferred(self.listed.start())

    async def crash(self, restart_after_s: float) -> None:
        """End the process; another one starts at its address."""
        if self.process is not None:
            await self._crash(self.process, restart_after_s)

    async def _crash(self, process: ServerProcess, restart_after_s: float) -> None:
        if process is not self.process:
            await self._deployment.find_listed(process).end()
            return
        listed, self.listed = self.listed, None
        await listed.end()
        reactor.callLater(UNLISTED_AFTER_S, listed.unlist, "crashed")
        await deferLater(reactor, restart_after_s)
        if not self._deployment.is_stopped and not self._is_retired:
            self.start()

    async def retire(self, *, linger_s: float, drains: bool) -> None:
        """End the process for good, after it said so or at once."""
        self._is_retired = True
        listed, self.listed = self.listed, None
        if listed is not None and drains:
            await listed.leave(reports=True, linger_s=linger_s)
        elif listed is not None:
            listed.unlist("stopped")
            await listed.end()
        await deferLater(reactor, REUSE_S)
        self._deployment.free_site(self._site)

    async def leave(
        self, *, reports: bool, linger_s: float, successor_after_s: float
    ) -> None:
        """End the process after it said so; another one starts at another address."""
        if self.listed is None or not self._deployment.has_free_site():
            return
        (listed, self.listed), site = (self.listed, None), self._site
        self._site = self._deployment.take_site()
        leaving = ensureDeferred(listed.leave(reports=reports, linger_s=linger_s))
        await deferLater(reactor, successor_after_s)
        if not self._deployment.is_stopped:
            self.start()
        await leaving
        await deferLater(reactor, REUSE_S)
        self._deployment.free_site(site)


class DepartureLog:
    """What the store accepted of servers that leave, and until when it held.

    A server that was said to leave and is then removed has left since the first.
    """

    def __init__(self):
        self._open: dict[str, Departure] = {}
        self._closed: list[Departure] = []

    def note_departure(self, process: str, reason: str) -> None:
        departure = Departure(process, reactor.seconds(), math.inf, reason)
        self._open.setdefault(process, departure)

    def note_listed(self, process: str) -> None:
        departure = self._open.pop(process, None)
        if departure is not None:
            self._closed.append(departure._replace(until=reactor.seconds()))

    def list_all(self) -> list[Departure]:
        return [*self._closed, *self._open.values()]


class SitePool:
    """Addresses that no server uses.

    Parameters
    ----------
    names : list of str
    rng : random.Random
    """

    def __init__(self, names: list[str], rng: random.Random):
        self.sites = [ServerSite(name) for name in names]
        self._free = list(self.sites)
        self._rng = rng

    @property
    def has_free(self) -> bool:
        return bool(self._free)

    def take(self, *, in_order: bool = False) -> ServerSite:
        index = 0 if in_order else self._rng.randrange(len(self._free))
        return self._free.pop(index)

    def free(self, site: ServerSite) -> None:
        self._free.append(site)
