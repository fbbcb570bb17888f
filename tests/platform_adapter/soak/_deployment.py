"""Instances, servers and store of one soak, with a link for each pair of them."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.fault_proxy import FaultKind, Link
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater
from twisted.web import server

from tests.platform_adapter.soak._checks import (
    NEW_VERSION,
    NEW_VERSION_PLACE,
    OLD_VERSION,
)
from tests.platform_adapter.soak._servers import (
    SLOTS,
    Arrival,
    Fall,
    ServerFaults,
    ServerProcess,
)
from tests.platform_adapter.stand_ins import (
    HOST,
    KEY,
    StoreStandIn,
    make_entry,
)

RETRY_RATIO = 0.4
RETRY_SLACK = 20
BUDGET_WINDOW_S = 4.0
GRACE_S = 3
CRASHING_PATH = "/repeat/crash"
PROGRAM = "tests.platform_adapter.soak.routed_instance"
UNLISTED_AFTER_S = 2.0  # a crashed server's entry lapses


class SoakInstance:
    """An instance of the program, with links to it and from it to the store.

    Parameters
    ----------
    name : str
    directory : pathlib.Path
        Holds settings and logs.
    store_address : str
    """

    def __init__(self, name: str, directory: pathlib.Path, store_address: str):
        self.name = name
        self.process: subprocess.Popen | None = None
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
        self.is_cut_off = False
        self._routes_path = directory / f"{name}-routes.json"

    def route(self, servers: list[SoakServer]) -> None:
        """Lead the connections to servers through links of this instance."""
        routes = {each.link.address: allocate_address() for each in servers}
        self._routes_path.write_text(json.dumps(routes))
        self.server_links = {
            target: Link(
                name=f"{self.name}-{target}",
                listen=listen,
                target=target,
                sides=frozenset((self.name, target)),
            )
            for target, listen in routes.items()
        }

    async def cut_off(self, *kinds: FaultKind) -> None:
        """Cut the instance off from all servers by some faults of its links."""
        self.is_cut_off = True
        for link in self.server_links.values():
            for kind in kinds:
                await link.set_fault(kind, 0.0)

    async def reconnect(self, running: list[SoakServer]) -> None:
        """End a cut; only servers that run accept connections."""
        self.is_cut_off = False
        for link in self.server_links.values():
            await link.set_fault(FaultKind.NONE, 0.0)
            if link.target not in {each.link.address for each in running}:
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
            "zone": "dc-a",
            "region": "r1",
            "ip": metrics_host,
            "listen": self.addresses,
            "internalPorts": [int(metrics_port), int(metrics_port)],
            "seedNodes": seeds,
            "bounds": {
                "graceS": GRACE_S,
                "retryBudgetRatio": RETRY_RATIO,
                "budgetWindowS": BUDGET_WINDOW_S,
                "retrySlack": RETRY_SLACK,
                "ttl_max_s": 5,
            },
            "platform": {"address": self.store_link_address},
        }
        self._settings_path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", PROGRAM, str(self._routes_path)],
                env={**os.environ, "EBONYHAVEN_NODE_FILE": str(self._settings_path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(30)


class SoakServer:
    """A place of a backend server, whose processes end and start again."""

    def __init__(self, name: str, service: str, deployment: SoakDeployment):
        self.name = name
        self.service = service
        self._deployment = deployment
        self._target = allocate_address()
        self._address = allocate_address()
        self._starts = 0
        self.process: ServerProcess | None = None
        self.link = Link(
            name=f"instances-{name}",
            listen=self._address,
            target=self._target,
            sides=frozenset(("instances", name)),
        )

    def start(self) -> None:
        self._starts += 1
        deployment = self._deployment
        version = NEW_VERSION if self.name == NEW_VERSION_PLACE else OLD_VERSION
        self.process = ServerProcess(
            f"{self.name}-{self._starts}",
            service=self.service,
            version=version,
            falls=deployment.falls,
            arrivals=deployment.arrivals,
            faults=deployment.server_faults,
            rng=deployment.rng,
            crashing_path=CRASHING_PATH,
            on_crash=lambda _: ensureDeferred(self.crash(1.0)),
        )
        self.process.listen(self._target)
        self.link.start_listening()
        for instance in deployment.instances:
            ensureDeferred(instance.show_server(self.link.address, is_running=True))
        entry = make_entry(self.service, self._address)
        entry |= {"slots": SLOTS, "version": version}
        deployment.store.put("servers", self.process.process_id, entry)

    async def crash(self, restart_after_s: float) -> None:
        """End the process; another one starts at its address."""
        process, self.process = self.process, None
        if process is None:
            return
        await self.link.stop_listening()
        for instance in self._deployment.instances:
            await instance.show_server(self.link.address, is_running=False)
        await process.stop()
        await self.link.set_fault(FaultKind.RESET, 0.0)
        await self.link.set_fault(FaultKind.NONE, 0.0)
        await self.link.stop_listening()
        reactor.callLater(
            UNLISTED_AFTER_S,
            self._deployment.store.put,
            "servers",
            process.process_id,
            None,
        )
        await deferLater(reactor, restart_after_s)
        if not self._deployment.is_stopped:
            self.start()


class SoakDeployment:
    """Everything that one soak runs.

    Parameters
    ----------
    rng : random.Random
    instance_count, plain_count, engine_count : int
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        instance_count: int = 3,
        plain_count: int = 4,
        engine_count: int = 3,
    ):
        self.rng = rng
        self.is_stopped = False
        self.arrivals: list[Arrival] = []
        self.falls: list[Fall] = []
        self.server_faults = ServerFaults()
        self.store = StoreStandIn()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="ebonyhaven-soak-"))
        store_address = allocate_address()
        host, _, port = store_address.rpartition(":")
        site = server.Site(self.store)
        site.noisy = False
        self._store_port = reactor.listenTCP(int(port), site, interface=host)
        self.instances = [
            SoakInstance(f"n{number}", self.directory, store_address)
            for number in range(instance_count)
        ]
        kinds = ["plain"] * plain_count + ["engines"] * engine_count
        self.servers = [
            SoakServer(f"{service[0]}{number}", service, self)
            for number, service in enumerate(kinds)
        ]

    def start(self) -> None:
        self.store.put("op", "config", make_soak_configuration(1))
        for each in self.servers:
            each.start()
        seeds = [each.addresses["controlPlane"] for each in self.instances]
        for each in self.instances:
            each.route(self.servers)
            each.write_settings(seeds)
            each.start()

    async def stop(self) -> None:
        self.is_stopped = True
        for each in self.instances:
            each.stop()
            own_links = (each.caller_link, each.store_link)
            for link in (*own_links, *each.server_links.values()):
                await link.set_fault(FaultKind.RESET, 0.0)
                await link.stop_listening()
        for each in self.servers:
            if each.process is not None:
                await each.process.stop()
            await each.link.set_fault(FaultKind.RESET, 0.0)
            await each.link.stop_listening()
        await self._store_port.stopListening()


def make_soak_configuration(version: int) -> dict:
    """Return a configuration with a route of each kind that must keep a promise."""

    def make_route(name, kind, service, attempts, timeout_ms, **options):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 200,
            "maxAttempts": attempts,
            "service": service,
            **options,
        }

    engine = {"slots": 8, "kvCapacityTokens": 88000, "backups": False}
    return {
        "version": version,
        "routes": [
            make_route("once", "non_idempotent", "plain", 1, 800),
            make_route("repeat", "idempotent", "plain", 2, 800),
            make_route("fixed", "streaming", "engines", 3, 5000, targetItlMs=700),
            make_route(
                "stream",
                "streaming",
                "engines",
                3,
                5000,
                targetItlMs=700,
                streamResume=True,
            ),
        ],
        "services": [
            {"name": "plain", "maxConnections": 100},
            {"name": "engines", "maxConnections": 100, "engine": engine},
        ],
        "limits": {},
        "tenants": [{"name": "studio-a", "apiKeys": [KEY]}],
    }
