"""Real processes: a server stands still, leaves, and reads later what it was sent."""

from __future__ import annotations

import contextlib
import http.client
import threading
import time

from tests.platform_adapter.node_processes import NodeProcess
from tests.platform_adapter.stand_ins import (
    HOST,
    KEY,
    call_in_reactor,
    listen,
    make_configuration,
    make_entry,
)
from tests.platform_adapter.standing_servers import StandingServer
from tests.platform_adapter.store_stand_in import StoreStandIn
from tests.waiting import wait_until

DRAIN_S = 2.0
ROUTE_TIMEOUT_S = 2.0
REQUEST_INTERVAL_S = 0.05
USUAL_TRAFFIC_S = 1.0


class Callers:
    """Send a request every `REQUEST_INTERVAL_S`, whether others are answered or not.

    Attributes
    ----------
    sent_at : dict of str to float
        By path.
    statuses : dict of str to int
        Likewise; 0 for a connection that ended.
    """

    def __init__(self, address):
        self._address = address
        self._is_over = threading.Event()
        self.sent_at = {}
        self.statuses = {}
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        self._is_over.set()

    def _run(self):
        number = 0
        while not self._is_over.wait(REQUEST_INTERVAL_S):
            number += 1
            path = f"/once/{number}"
            self.sent_at[path] = time.monotonic()
            threading.Thread(target=self._send, args=(path,), daemon=True).start()

    def _send(self, path):
        connection = http.client.HTTPConnection(self._address, timeout=30.0)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": path,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        self.statuses[path] = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", path, body=b"{}", headers=headers)
            self.statuses[path] = connection.getresponse().status
        connection.close()


def test_server_that_stood_still_reads_few_requests_after_it_has_left():
    # Guards against a server that is sent all requests of its service while it stands
    # still, and reads them later than drainMs after the store acknowledged its leave.
    with contextlib.ExitStack() as stack:
        store = StoreStandIn()
        listening = listen(store)
        stack.callback(listening.stop)
        server = StandingServer("p-1")
        stack.callback(server.stop)
        entry = make_entry("plain", server.address)
        call_in_reactor(store.put, "servers", "p-1", entry)
        call_in_reactor(store.put, "op", "config", make_configuration())
        node = NodeProcess(listening.address)
        stack.callback(node.stop)
        node.wait_for_line("configuration_in_force", version=1)
        wait_until(lambda: node.find_lines("backend_listed"))
        callers = Callers(node.addresses["frontend"])
        stack.callback(callers.stop)
        wait_until(lambda: 200 in callers.statuses.values())
        time.sleep(USUAL_TRAFFIC_S)
        server.stand_still()
        still_at = time.monotonic()
        time.sleep(ROUTE_TIMEOUT_S)
        call_in_reactor(
            store.put, "servers", "p-1", {**entry, "state": "draining", "sequence": 2}
        )
        left_at = time.monotonic()
        time.sleep(DRAIN_S)
        callers.stop()
        server.go_on()
        gone_on_at = time.monotonic()
        wait_until(lambda: any(at >= gone_on_at for at, _ in server.arrivals))
        time.sleep(0.5)  # for the rest of what it had been sent
    late = [
        line.split()[1]
        for at, line in server.arrivals
        if at > left_at + DRAIN_S and line.startswith("POST")
    ]
    avoidable = [
        path for path in late if callers.sent_at[path] > still_at + ROUTE_TIMEOUT_S / 2
    ]
    assert not avoidable, (len(late), len(avoidable))
