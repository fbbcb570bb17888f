from __future__ import annotations

import copy
import json
import time
import urllib.error
import urllib.request
import uuid
from typing import Any

from ebonyhaven_decisions import LeaseTiming
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.log_lines import read_whole_lines

from tests.integration.test_configuration import DECLARATION
from tests.waiting import wait_until

LEASE_ROW = "leases/orders-drafting"
LONGEST_PAUSE_S = 3.0
INSTANCES = ("n1", "n2", "n3")
ENGINES = ("s1", "s2")
TAKEOVER_TIMEOUT_S = 90.0


class ControllerCluster(Cluster):
    """Three instances that send orders to two engines.

    Parameters
    ----------
    checks_fence : bool
        Whether the engines check fencing numbers.
    """

    def __init__(self, *, checks_fence: bool):
        super().__init__()
        self.checks_fence = checks_fence
        self.versions = ["1"]

    def __enter__(self):
        super().__enter__()
        self.start_platform("--weights-per-s", "20")
        self.platform.set_faults(list_lag_ms=0)
        self.declare_versions()
        for name in ENGINES:
            self.start_engine(name, checks_fence=self.checks_fence, wait=False)
        for name in INSTANCES:
            self.start_node(name, wait=False)
        self.wait_until_ready()
        return self

    def declare_versions(self) -> None:
        declaration = copy.deepcopy(DECLARATION)
        declaration["models"]["dossier"]["versions"] = self.versions
        pool = declaration["pools"]["drafting"]
        pool["checks_fence"] = self.checks_fence
        pool["longest_pause_ms"] = LONGEST_PAUSE_S * 1000
        self.declare(declaration)

    def add_version(self, version: str) -> None:
        self.versions = [*self.versions, version]
        self.declare_versions()

    def read_lease(self) -> dict[str, Any]:
        row = self.platform.read_row(LEASE_ROW)
        return row["value"] if row else {"holder": "", "fence": 0}

    def read_state(self, engine: str) -> dict[str, Any]:
        url = f"http://{self.addresses[engine]}/v1/state"
        with urllib.request.urlopen(url, timeout=10.0) as response:
            return json.load(response)

    def wait_for_versions(self) -> None:
        wanted = {f"dossier/{version}" for version in self.versions}

        def all_loaded() -> bool:
            return all(
                wanted <= set(self.read_state(name)["versions"]) for name in ENGINES
            )

        wait_until(all_loaded, timeout_s=TAKEOVER_TIMEOUT_S)

    def read_sent_orders(self, instance: str) -> list[dict[str, Any]]:
        """Return the log lines of the orders that an instance sent."""
        lines = read_whole_lines(self.child(instance).log_path)
        return [json.loads(line) for line in lines if '"order_sent"' in line]

    def list_sent_fences(self, server: str, name: str) -> list[int]:
        """Return the fencing numbers of all orders to a server for a model version."""
        return [
            order["fence"]
            for instance in INSTANCES
            for order in self.read_sent_orders(instance)
            if (order["server"], order["name"]) == (server, name)
        ]

    def send_stale_order(self, engine: str, fence: int, name: str) -> int:
        """Send an order as a former lease holder would and return the HTTP status."""
        order = {
            "order_id": uuid.uuid4().hex,
            "kind": "unload",
            "target": "version",
            "name": name,
            "fence": fence,
        }
        request = urllib.request.Request(
            f"http://{self.addresses[engine]}/v1/orders",
            data=json.dumps(order).encode(),
            headers={"Content-Type": "application/json"},
            method="POST",
        )
        try:
            with urllib.request.urlopen(request, timeout=10.0) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code

    def pause_holder_until_takeover(self) -> dict[str, Any]:
        """Pause the lease holder until another instance has acquired the lease.

        Returns
        -------
        dict
            The lease before the pause.
        """
        first = self.read_lease()
        self.pause(first["holder"])
        paused_at = time.monotonic()
        wait_until(
            lambda: self.read_lease()["fence"] > first["fence"],
            timeout_s=TAKEOVER_TIMEOUT_S,
        )
        # The holder may have renewed the lease this long before the pause.
        renewal_age_s = LeaseTiming().renew_after_s + 2.0
        earliest_s = LeaseTiming().duration_s - renewal_age_s
        assert time.monotonic() - paused_at >= earliest_s
        return first


def test_paused_holder_is_replaced_and_its_late_order_is_refused():
    with ControllerCluster(checks_fence=True) as cluster:
        cluster.wait_for_versions()
        first = cluster.pause_holder_until_takeover()
        cluster.add_version("2")
        cluster.wait_for_versions()
        second = cluster.read_lease()
        assert second["holder"] != first["holder"]
        assert all(
            cluster.read_state(name)["fence"] > first["fence"] for name in ENGINES
        )
        sent_before = len(cluster.read_sent_orders(first["holder"]))
        cluster.resume(first["holder"])
        status = cluster.send_stale_order("s1", first["fence"], "dossier/2")
        assert status == 409
        assert "dossier/2" in cluster.read_state("s1")["versions"]
        cluster.add_version("3")
        cluster.wait_for_versions()
        sent_after = cluster.read_sent_orders(first["holder"])[sent_before:]
        assert all(order["fence"] > first["fence"] for order in sent_after)
        assert min(cluster.list_sent_fences("s1", "dossier/3")) >= second["fence"]


def test_late_order_that_an_engine_obeys_is_put_right():
    with ControllerCluster(checks_fence=False) as cluster:
        cluster.wait_for_versions()
        first = cluster.pause_holder_until_takeover()
        cluster.add_version("2")
        cluster.wait_for_versions()
        cluster.resume(first["holder"])
        status = cluster.send_stale_order("s1", first["fence"], "dossier/2")
        assert status == 200
        wait_until(
            lambda: len(cluster.list_sent_fences("s1", "dossier/2")) >= 2,
            timeout_s=TAKEOVER_TIMEOUT_S,
        )
        cluster.wait_for_versions()
        assert min(cluster.list_sent_fences("s1", "dossier/2")) > first["fence"]


def test_lease_of_a_leaving_holder_is_taken_over_before_it_expires():
    with ControllerCluster(checks_fence=True) as cluster:
        cluster.wait_for_versions()
        first = cluster.read_lease()
        cluster.terminate(first["holder"])
        took_s = wait_until(
            lambda: cluster.read_lease()["holder"] not in {"", first["holder"]}
        )
        assert took_s < LeaseTiming().duration_s
        cluster.add_version("2")
        cluster.wait_for_versions()
