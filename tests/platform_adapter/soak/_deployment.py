"""Instances, servers and store of one soak, with a link for each pair of them."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import NamedTuple

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.task import deferLater
from twisted.web import resource, server

from tests.platform_adapter.soak._behaviours import ServerFaults
from tests.platform_adapter.soak._builds import export_build
from tests.platform_adapter.soak._configurations import (
    ConfigurationPlay,
    KeptStreams,
)
from tests.platform_adapter.soak._places import (
    DepartureLog,
    ListedServer,
    ServerSite,
    SitePool,
    SoakServer,
)
from tests.platform_adapter.soak._rollout_checks import ExposureBounds
from tests.platform_adapter.soak._server_log import ServerLog
from tests.platform_adapter.soak._servers import ServerProcess
from tests.platform_adapter.store_stand_in import StoreStandIn

RETRY_RATIO = 0.4
RETRY_SLACK = 20
BUDGET_WINDOW_S = 4.0
GRACE_S = 3
LONG_GRACE_S = 8
POLL_S = 0.05
CRASHING_PATH = "/repeat/crash"
MORE_ENGINES = 5  # for streams of seconds that callers take up
WRITERS = 3
PROGRAM = "tests.platform_adapter.soak.routed_instance"


class SoakInstance:
    """An instance of the program, with links to it and from it to the store.

    Parameters
    ----------
    name : str
    directory : pathlib.Path
        Holds settings and logs.
    store : StoreStandIn
    data_centre : str
    grace_s : int
    exposure : ExposureBounds or None
        Of bad versions; None if operators order no roll-outs.

    Attributes
    ----------
    started_at : float
        Of the present process; seconds of the reactor's clock.
    earlier_build : str or None
        Import path of the build that the next process runs; None for the present one.
    """

    def __init__(
        self,
        name: str,
        directory: pathlib.Path,
        store: StoreStandIn,
        *,
        data_centre: str = "dc-a",
        grace_s: int = GRACE_S,
        exposure: ExposureBounds | None = None,
    ):
        self.name = name
        self.data_centre = data_centre
        self._exposure_bounds = {} if exposure is None else _describe(exposure)
        self.grace_s = grace_s
        self.store_door = StoreDoor(store)
        store_address = allocate_address()
        site = server.Site(self.store_door)
        site.noisy = False
        host, _, port = store_address.rpartition(":")
        self._store_port = reactor.listenTCP(int(port), site, interface=host)
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0
        self.earlier_build: str | None = None
        self.addresses = {
            kind: allocate_address()
            for kind in ("frontend", "readiness", "controlPlane", "directory")
        }
        self._settings_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self.caller_link = Link(
            name=f"callers-{name}",
            listen=allocate_address(),
            target=self.addresses["frontend"],
            sides=frozenset(("callers", name)),
        )
        self.store_link_address = allocate_address()
        self.store_link = Link(
            name=f"{name}-store",
            listen=self.store_link_address,
            target=store_address,
            sides=frozenset((name, "store")),
        )
        self.server_links: dict[str, Link] = {}  # by the server's address
        self.peer_links: dict[str, Link] = {}  # by the other's control address
        self.is_cut_off = False
        self._routes_path = directory / f"{name}-routes.json"

    def route(self, sites: list[ServerSite], peers: list[SoakInstance]) -> None:
        """Lead connections to servers and instances through links of this instance."""
        servers = [each.address for each in sites]
        others = [each.addresses["controlPlane"] for each in peers if each is not self]
        self.server_links = {each: self._make_link(each) for each in servers}
        self.peer_links = {each: self._make_link(each) for each in others}
        links = {**self.server_links, **self.peer_links}
        routes = {target: link.address for target, link in links.items()}
        self._routes_path.write_text(json.dumps(routes))

    def _make_link(self, target: str) -> Link:
        return Link(
            name=f"{self.name}-{target}",
            listen=allocate_address(),
            target=target,
            sides=frozenset((self.name, target)),
        )

    def list_links(self) -> list[Link]:
        """Return all links that this instance opens connections through."""
        return [self.store_link, *self.server_links.values(), *self.peer_links.values()]

    async def cut_off(self, *kinds: FaultKind) -> None:
        """Cut the instance off from all servers by some faults of its links."""
        self.is_cut_off = True
        for link in self.server_links.values():
            for kind in kinds:
                await link.set_fault(kind, 0.0)

    async def reconnect(self, running: set[str]) -> None:
        """End a cut; only servers that run accept connections."""
        self.is_cut_off = False
        for link in self.server_links.values():
            await link.set_fault(FaultKind.NONE, 0.0)
            if link.target not in running:
                await link.stop_listening()

    async def show_server(self, address: str, *, is_running: bool) -> None:
        """Have the link to a server refuse connections while it does not run."""
        link = self.server_links.get(address)
        if link is None or self.is_cut_off:
            return
        if is_running:
            link.start_listening()
            return
        await link.stop_listening()
        await link.set_fault(FaultKind.RESET, 0.0)

    def write_settings(self, seeds: list[str]) -> None:
        metrics_host, _, metrics_port = allocate_address().rpartition(":")
        settings = {
            "nodeName": self.name,
            "zone": self.data_centre,
            "region": "r1",
            "ip": metrics_host,
            "listen": self.addresses,
            "internalPorts": [int(metrics_port), int(metrics_port)],
            "seedNodes": seeds,
            "bounds": {
                "graceS": self.grace_s,
                "retryBudgetRatio": RETRY_RATIO,
                "budgetWindowS": BUDGET_WINDOW_S,
                "retrySlack": RETRY_SLACK,
                "ttl_max_s": 5,
                **self._exposure_bounds,
            },
            "platform": {"address": self.store_link_address},
        }
        self._settings_path.write_text(json.dumps(settings))

    def change_settings(self) -> None:
        """Name the seed nodes in another order."""
        settings = json.loads(self._settings_path.read_text())
        seeds = settings["seedNodes"]
        settings["seedNodes"] = seeds[1:] + seeds[:1]
        changed = self._settings_path.with_suffix(".new")
        changed.write_text(json.dumps(settings))
        changed.replace(self._settings_path)

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.is_running():
            return
        self.started_at = reactor.seconds()
        variables = {**os.environ, "EBONYHAVEN_NODE_FILE": str(self._settings_path)}
        if self.earlier_build is not None:
            variables["PYTHONPATH"] = self.earlier_build
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", PROGRAM, str(self._routes_path)],
                env=variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def accept_callers(self) -> None:
        """Let callers connect as soon as the process accepts connections."""
        host, _, port = self.addresses["frontend"].rpartition(":")
        while self.is_running():
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1.0).close()
                break
            await deferLater(reactor, POLL_S)
        self.caller_link.start_listening()

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        if self.is_running():
            self.process.send_signal(number)

    async def stop(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(30)
        for link in (self.caller_link, *self.list_links()):
            await link.set_fault(FaultKind.RESET, 0.0)
            await link.stop_listening()
        await self._store_port.stopListening()


def _describe(exposure: ExposureBounds) -> dict[str, float]:
    return {
        "exposureShare": exposure.share,
        "exposureSlack": exposure.slack,
        "rollbackMs": int(1000 * exposure.rollback_s),
    }


class StoreDoor(resource.Resource):
    """The store as one instance reaches it.

    Parameters
    ----------
    store : StoreStandIn

    Attributes
    ----------
    refuses_with : int or None
        Status with which this instance's calls are refused.
    delay_s : float
        Time that its calls take longer.
    """

    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self, store: StoreStandIn):
        super().__init__()
        self._store = store
        self.refuses_with: int | None = None
        self.delay_s = 0.0

    def render(self, request):
        if self.refuses_with is not None:
            request.setResponseCode(self.refuses_with)
            return b"{}"
        if self.delay_s:
            reactor.callLater(self.delay_s, self._render_late, request)
            return server.NOT_DONE_YET
        return self._store.render(request)

    def _render_late(self, request) -> None:
        if request._disconnected:
            return
        body = self._store.render(request)
        if body is not server.NOT_DONE_YET:
            request.write(body)
            request.finish()


class DeploymentSize(NamedTuple):
    """Numbers of processes, and whether they are spread over data centres.

    Parameters
    ----------
    instances, plain, engines, others, spare_sites : int
    data_centres : tuple of str
    more_routes : int
        Routes that no caller uses, in each configuration.
    """

    instances: int = 3
    plain: int = 4
    engines: int = 3
    others: int = 2
    spare_sites: int = 4
    data_centres: tuple[str, ...] = ("dc-a",)
    more_routes: int = 0


SMALL = DeploymentSize()
LARGE = DeploymentSize(
    instances=6,
    plain=8,
    engines=6,
    spare_sites=10,
    data_centres=("dc-a", "dc-b", "dc-c"),
)


class SoakDeployment:
    """Everything that one soak runs.

    Parameters
    ----------
    rng : random.Random
    size : DeploymentSize
    has_long_streams : bool
        Whether there is a route of streams that last for seconds.
    kept_streams : KeptStreams
    production : str or None
        Commit whose build the instances run first; None for the present one.
    exposure : ExposureBounds or None
        See `SoakInstance`.
    changes_limits : bool
        Whether new configurations change limits and workspaces as well.
    """

    crashing_path = CRASHING_PATH

    def __init__(
        self,
        rng: random.Random,
        *,
        size: DeploymentSize = SMALL,
        has_long_streams: bool = False,
        kept_streams: KeptStreams = KeptStreams.NONE,
        production: str | None = None,
        exposure: ExposureBounds | None = None,
        changes_limits: bool = False,
    ):
        self.rng = rng
        self.has_long_streams = has_long_streams
        self.is_stopped = False
        self.log = ServerLog()
        self.departures = DepartureLog()
        self.processes: list[ListedServer] = []
        self.server_faults = ServerFaults()
        self.store = StoreStandIn()
        self.configurations = ConfigurationPlay(
            self.store,
            random.Random(rng.random()),
            has_long_streams=has_long_streams,
            kept_streams=kept_streams,
            changes_limits=changes_limits,
            more_routes=size.more_routes,
        )
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-soak-"))
        data_centres = size.data_centres
        self.instances = [
            SoakInstance(
                f"n{number}",
                self.directory,
                self.store,
                data_centre=data_centres[number % len(data_centres)],
                grace_s=LONG_GRACE_S if has_long_streams else GRACE_S,
                exposure=exposure,
            )
            for number in range(size.instances)
        ]
        if production is not None:
            build = export_build(production, self.directory / "production")
            for each in self.instances:
                each.earlier_build = build
        kinds = ["plain"] * size.plain + ["engines"] * size.engines
        kinds += ["other"] * size.others
        if kept_streams is not KeptStreams.NONE:
            kinds += ["engines"] * MORE_ENGINES
        if kept_streams is KeptStreams.SPLIT:
            kinds += ["writers"] * WRITERS
        names = [f"s{number}" for number in range(len(kinds) + size.spare_sites)]
        self._sites = SitePool(names, rng)
        self._is_started = False
        self.servers = [
            SoakServer(
                f"{service[0]}{number}",
                service,
                data_centres[number % len(data_centres)],
                self,
            )
            for number, service in enumerate(kinds)
        ]

    def start(self) -> None:
        self._is_started = True
        self.configurations.write()
        for each in self.servers:
            each.start()
        seeds = [each.addresses["controlPlane"] for each in self.instances]
        for each in self.instances:
            each.route(self._sites.sites, self.instances)
            each.write_settings(seeds[:3])
            each.start()

    def take_site(self) -> ServerSite:
        return self._sites.take(in_order=not self._is_started)

    def free_site(self, site: ServerSite) -> None:
        self._sites.free(site)

    def has_free_site(self) -> bool:
        return self._sites.has_free

    def note_departure(self, process: str, reason: str) -> None:
        self.departures.note_departure(process, reason)

    def note_listed(self, process: str) -> None:
        self.departures.note_listed(process)

    def find_listed(self, process: ServerProcess) -> ListedServer:
        return next(each for each in self.processes if each.process is process)

    def list_running(self) -> list[ListedServer]:
        return [each for each in self.processes if not each.process.is_dead]

    async def stop(self) -> None:
        self.is_stopped = True
        for each in self.instances:
            await each.stop()
        for each in self.list_running():
            await each.process.stop()
        for site in self._sites.sites:
            await site.link.set_fault(FaultKind.RESET, 0.0)
            await site.link.stop_listening()
