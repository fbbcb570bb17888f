"""Roll-outs by real processes, with requests all the while."""

from __future__ import annotations

import base64
import contextlib
import http.client
import itertools
import json
import threading
import time

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

INSTANCES = 3
DURATION_S = 8.0
REQUEST_INTERVAL_S = 0.06  # of each instance
LATER_ANSWERS = 50
BOUNDS = {
    "graceS": 4,
    "retryBudgetRatio": 0.8,
    "budgetWindowS": 10,
    "retrySlack": 150,
    "ttl_max_s": 5,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
}
ORDER_KEY = "rollout/plain"


class FailingServer(BackendServerStandIn):
    """Answers half of the requests with a failure."""

    def render(self, request):
        body = super().render(request)
        if len(self.received_headers) % 2:
            request.setResponseCode(500)
        return body


class RollingInstances:
    """Instances and their requests, with servers of two versions."""

    def __init__(self, stack, build_new):
        self.store = StoreStandIn()
        listening = listen(self.store)
        stack.callback(listening.stop)
        self.old = [BackendServerStandIn(f"p-{number}") for number in (1, 2)]
        self.new = [build_new(f"p-{number}") for number in (3, 4)]
        self.statuses = []
        self._stack = stack
        self._is_over = threading.Event()
        for server in self.old:
            self._list_server(server, "v1")
        self.put("op", "config", make_configuration())
        self.nodes = [
            NodeProcess(listening.address, nodeName=f"n{number}", bounds=BOUNDS)
            for number in range(INSTANCES)
        ]
        for node in self.nodes:
            stack.callback(node.stop)
        for node in self.nodes:
            node.wait_for_line("configuration_in_force")
            node.wait_for_line("instance_registered")
        for node, other in itertools.permutations(range(INSTANCES), 2):
            self.nodes[node].wait_for_line(
                "instance_changed", peer=f"n{other}", state="live"
            )
        threads = [
            threading.Thread(target=self._send_requests, args=[node], daemon=True)
            for node in self.nodes
        ]
        for each in threads:
            each.start()
            stack.callback(each.join)
        stack.callback(self._is_over.set)

    def put(self, table, key, document):
        call_in_reactor(self.store.put, table, key, document)

    def order(self):
        self.put(
            "op",
            ORDER_KEY,
            {"service": "plain", "to": "v2", "durationS": DURATION_S},
        )
        for server in self.new:
            self._list_server(server, "v2", born=2000)
        self.ordered_at = time.monotonic()
        self.sent_before = len(self.statuses)

    def read_state(self):
        row = call_in_reactor(self.store.rows.get, ("status", ORDER_KEY))
        if row is None:
            return None
        status = json.loads(base64.b64decode(row[0]))
        assert status["to"] == "v2"
        return status["state"]

    def wait_for_state(self, state):
        wait_until(lambda: self.read_state() == state, timeout_s=30.0)
        return time.monotonic() - self.ordered_at

    def wait_for_answers(self, count):
        """Wait for more answers; what must not happen would have happened by then."""
        enough = len(self.statuses) + count
        wait_until(lambda: len(self.statuses) >= enough)

    def count_received(self, servers):
        return sum(len(server.received_headers) for server in servers)

    def find_stages(self):
        return [
            line for node in self.nodes for line in node.find_lines("rollout_stage")
        ]

    def _list_server(self, server, version, **changes):
        listening = listen(server)
        self._stack.callback(listening.stop)
        entry = make_entry("plain", listening.address)
        self.put("servers", server.server_id, {**entry, "version": version, **changes})

    def _send_requests(self, node):
        number = 0
        connection = http.client.HTTPConnection(node.addresses["frontend"], timeout=30)
        while not self._is_over.wait(REQUEST_INTERVAL_S):
            number += 1
            headers = {
                "Host": HOST,
                "X-Attempt-Id": f"{id(node)}-{number}",
                "X-Deadline-Ms": "2000",
                "Authorization": f"Bearer {KEY}",
            }
            connection.request("POST", "/once/a", body=b"{}", headers=headers)
            response = connection.getresponse()
            response.read()
            self.statuses.append(response.status)


@contextlib.contextmanager
def start_rollout(build_new=BackendServerStandIn):
    with contextlib.ExitStack() as stack:
        instances = RollingInstances(stack, build_new)
        instances.order()
        yield instances


def test_good_version_is_completed_in_time_and_no_request_is_lost():
    with start_rollout() as instances:
        instances.wait_for_state("in_progress")
        took_s = instances.wait_for_state("completed")
        old = instances.count_received(instances.old)
        instances.wait_for_answers(LATER_ANSWERS)
        assert took_s <= DURATION_S
        assert instances.count_received(instances.old) - old <= 1
        assert set(instances.statuses) == {200}


def test_bad_version_is_reverted_early_and_gets_few_requests():
    with start_rollout(FailingServer) as instances:
        took_s = instances.wait_for_state("reverted")
        got = instances.count_received(instances.new)
        wait_until(lambda: time.monotonic() > instances.ordered_at + DURATION_S)
        instances.wait_for_answers(LATER_ANSWERS)
        assert took_s <= DURATION_S
        assert instances.count_received(instances.new) - got <= 3
        requests = len(instances.statuses) - instances.sent_before
        assert instances.count_received(instances.new) <= 0.1 * requests + 50
