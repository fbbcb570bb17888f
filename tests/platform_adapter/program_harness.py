"""The real program with stand-ins for the store and backend servers."""

from __future__ import annotations

import contextlib
import http.client
import subprocess

from ebonyhaven_standins.cluster import find_binary

from tests.platform_adapter.node_processes import NodeProcess
from tests.platform_adapter.stand_ins import (
    HOST,
    KEY,
    BackendServerStandIn,
    call_in_reactor,
    listen,
    make_configuration,
    make_entry,
)
from tests.platform_adapter.store_stand_in import StoreStandIn
from tests.waiting import wait_until

TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 180.0  # starting a program is slow on a loaded machine


class PlatformHarness:
    """Store, engines in two data centres, plain servers and one instance."""

    def __init__(
        self,
        stack,
        *,
        plain_servers=1,
        build_plain=BackendServerStandIn,
        build_engine=BackendServerStandIn,
    ):
        self.store = StoreStandIn()
        names = [f"p-{number + 1}" for number in range(plain_servers)]
        self.plains = [build_plain(name) for name in names]
        self.plain = self.plains[0]
        self.engines = {name: build_engine(name) for name in ("e-1", "e-2")}
        self.store_listener = listen(self.store)
        stack.callback(self.store_listener.stop)
        for plain in self.plains:
            self._register_server(plain.server_id, plain, "plain", "dc-a", stack)
        self._register_server("e-1", self.engines["e-1"], "engines", "dc-a", stack)
        self._register_server("e-2", self.engines["e-2"], "engines", "dc-b", stack)
        self.node = NodeProcess(self.store_listener.address)
        stack.callback(self.node.stop)

    def _register_server(self, server_id, stand_in, service, data_centre, stack):
        listening = listen(stand_in)
        stack.callback(listening.stop)
        entry = make_entry(service, listening.address, data_centre)
        self.put("servers", server_id, entry)

    def put(self, table, key, document):
        call_in_reactor(self.store.put, table, key, document)

    def configure(self, version=1, **options):
        self.put("op", "config", make_configuration(version, **options))
        self.node.wait_for_line("configuration_in_force", version=version)

    def call(self, listener, path, **headers):
        address = self.node.addresses.get(listener, self.node.metrics_address)
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()

    def is_ready(self):
        with contextlib.suppress(OSError):
            return self.call("readiness", "/ready")[0] == 200
        return False

    def send(self, path, request_id, **headers):
        connection = http.client.HTTPConnection(
            self.node.addresses["frontend"], timeout=TIMEOUT_S
        )
        self.send_on(connection, path, request_id, **headers)
        return connection

    def send_on(self, connection, path, request_id, **headers):
        """Send a request on an open connection."""
        fields = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "20000",
            "Authorization": f"Bearer {KEY}",
        }
        fields.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        connection.request("POST", path, body=b"{}", headers=fields)

    def find_streaming_engine(self):
        """Wait for an engine with an open stream and return it."""
        wait_until(lambda: any(engine.open_streams for engine in self.engines.values()))
        return next(engine for engine in self.engines.values() if engine.open_streams)

    def explain(self, request_id):
        completed = subprocess.run(
            [
                find_binary("ebonyhavenctl"),
                "explain",
                request_id,
                str(self.node.log_path),
            ],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        assert completed.returncode == 0, completed.stderr
        return completed.stdout


@contextlib.contextmanager
def start_harness(*, plain_servers=1, **options):
    with contextlib.ExitStack() as stack:
        harness = PlatformHarness(stack, plain_servers=plain_servers)
        wait_until(lambda: harness.node.find_lines("instance_registered"))
        harness.configure(**options)
        wait_until(harness.is_ready)
        yield harness
