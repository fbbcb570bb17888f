from __future__ import annotations

import copy
import json
import subprocess
import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster, allocate_address, find_binary

from tests.waiting import wait_until

IN_FORCE_S = 9.0
OBSERVED_S = 4.0
DECLARATION = {
    "classes": {
        "look-up": {
            "first_token_ms": 500,
            "gap_ms": 62,
            "resume_ms": 1000,
            "default": True,
        },
    },
    "models": {"dossier": {"versions": ["1"]}},
    "pools": {
        "drafting": {"kind": "engine", "models": ["dossier"], "checks_fence": True}
    },
    "workspaces": {"studio-a": {}},
}


class Instances(Cluster):
    """Instances that run the first version of a configuration."""

    def __enter__(self):
        super().__enter__()
        self.start_platform()
        self.platform.set_faults(list_lag_ms=0)
        self.declare(DECLARATION)
        return self

    def start_instances(self, *names: str) -> None:
        for name in names:
            self.start_node(name, wait=False)
        self.wait_until_ready(*names)

    def version(self, name: str) -> int:
        url = f"http://{self.addresses[name]}/health"
        with urllib.request.urlopen(url, timeout=10.0) as answer:
            return json.load(answer)["configuration_version"]

    def wait_for(self, version: int, *names: str) -> float:
        return wait_until(lambda: all(self.version(name) == version for name in names))

    def change(self, workspace: str) -> int:
        changed = copy.deepcopy(DECLARATION)
        changed["workspaces"][workspace] = {}
        return self.declare(changed)

    def replace(self, old: str, new: str) -> None:
        self.terminate(old)
        self.platform.unregister(old)
        self.start_instances(new)


def test_change_is_in_force_on_all_instances_in_time():
    with Instances() as instances:
        names = ("n1", "n2", "n3")
        instances.start_instances(*names)
        instances.wait_for(1, *names)
        version = instances.change("studio-b")
        assert instances.wait_for(version, *names) <= IN_FORCE_S
        command = [find_binary("ebonyhavenctl"), "status", "--json"]
        command += ["--platform", instances.addresses["platform"]]
        finished = subprocess.run(command, capture_output=True, check=False)
        assert finished.returncode == 0
        assert json.loads(finished.stdout)["shares"] == {str(version): 1.0}


def test_accepted_change_reaches_instances_that_lost_the_table_before():
    with Instances() as instances:
        names = ("n1", "n2", "n3")
        instances.start_fault_proxy()
        platform = instances.addresses["platform"]
        link = instances.add_link("cut", target=platform)
        instances.start_node("n1")
        for name in ("n2", "n3"):
            instances.start_node(name, platform_address=link)
        instances.wait_for(1, *names)
        instances.set_fault("partition", link="cut")
        version = instances.change("studio-b")
        instances.wait_for(version, "n1")
        instances.platform.set_faults(outage=True)
        assert instances.wait_for(version, *names) <= IN_FORCE_S


def test_all_instances_are_replaced_while_the_table_is_down():
    with Instances() as instances:
        first = ("n1", "n2", "n3", "n4")
        instances.start_instances(*first)
        version = instances.change("studio-b")
        instances.wait_for(version, *first)
        instances.platform.set_faults(outage=True)
        for number, old in enumerate(first):
            new = f"m{number}"
            instances.replace(old, new)
            instances.wait_for(version, new)
        wait_until(
            lambda: all(instances.child(name).exit_code is not None for name in first)
        )
        instances.wait_for(version, "m0", "m1", "m2", "m3")


def test_fresh_instance_does_not_start_from_a_stale_peer():
    with Instances() as instances:
        start_with_cut_off_peer(instances)
        version = instances.change("studio-b")
        instances.wait_for(version, "n1", "n2")
        assert instances.version("n3") == 1
        instances.platform.set_faults(outage=True)
        instances.kill("n1")
        instances.kill("n2")
        instances.set_fault("none", link="to n3")
        instances.restart("n1")
        until = time.monotonic() + OBSERVED_S
        while time.monotonic() < until:
            assert instances.version("n1") in {0, version}
        instances.platform.set_faults(outage=False)
        instances.wait_for(version, "n1")


def start_with_cut_off_peer(instances: Instances) -> None:
    """Start three instances, then let nothing more reach n3."""
    instances.start_fault_proxy()
    platform = instances.addresses["platform"]
    table_link = instances.add_link("n3 to table", target=platform)
    control = instances.control_addresses.setdefault("n3", allocate_address())
    control_link = instances.add_link("to n3", target=control)
    for name in ("n1", "n2"):
        instances.start_node(name, control_routes={control: control_link})
    instances.start_node("n3", platform_address=table_link)
    instances.wait_for(1, "n1", "n2", "n3")
    instances.set_fault("partition", link="n3 to table")
    instances.set_fault("lose_to_target", link="to n3")
