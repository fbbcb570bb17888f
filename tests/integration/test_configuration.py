from __future__ import annotations

import copy
import json
import subprocess
import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster, allocate_address, find_binary

from tests.waiting import wait_until

ACTIVATION_TARGET_S = 9.0
OBSERVATION_S = 4.0
OBSERVATION_S = 0.5  # well below the time after which an instance is ready anyway
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


class ConfiguredCluster(Cluster):
    """Platform on which the first version of a configuration is declared."""

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

    def read_version(self, name: str) -> int:
        url = f"http://{self.addresses[name]}/health"
        with urllib.request.urlopen(url, timeout=10.0) as response:
            return json.load(response)["configuration_version"]

    def wait_for_version(self, version: int, *names: str) -> float:
        return wait_until(
            lambda: all(self.read_version(name) == version for name in names)
        )

    def declare_workspace(self, workspace: str) -> int:
        changed = copy.deepcopy(DECLARATION)
        changed["workspaces"][workspace] = {}
        return self.declare(changed)

    def replace_instance(self, old: str, new: str) -> None:
        self.terminate(old)
        self.platform.unregister(old)
        self.start_instances(new)


def test_change_is_active_on_all_instances_within_the_target():
    with ConfiguredCluster() as cluster:
        names = ("n1", "n2", "n3")
        cluster.start_instances(*names)
        cluster.wait_for_version(1, *names)
        version = cluster.declare_workspace("studio-b")
        assert cluster.wait_for_version(version, *names) <= ACTIVATION_TARGET_S
        command = [find_binary("ebonyhavenctl"), "status", "--json"]
        command += ["--platform", cluster.addresses["platform"]]
        finished = subprocess.run(command, capture_output=True, check=False)
        assert finished.returncode == 0
        assert json.loads(finished.stdout)["shares"] == {str(version): 1.0}


def test_accepted_change_reaches_instances_partitioned_from_the_table():
    with ConfiguredCluster() as cluster:
        names = ("n1", "n2", "n3")
        cluster.start_fault_proxy()
        platform = cluster.addresses["platform"]
        link = cluster.add_link("cut", target=platform)
        cluster.start_node("n1")
        for name in ("n2", "n3"):
            cluster.start_node(name, platform_address=link)
        cluster.wait_for_version(1, *names)
        cluster.set_fault("partition", link="cut")
        version = cluster.declare_workspace("studio-b")
        cluster.wait_for_version(version, "n1")
        cluster.platform.set_faults(outage=True)
        assert cluster.wait_for_version(version, *names) <= ACTIVATION_TARGET_S


def test_replacement_instances_get_the_configuration_during_a_table_outage():
    with ConfiguredCluster() as cluster:
        first = ("n1", "n2", "n3", "n4")
        cluster.start_instances(*first)
        version = cluster.declare_workspace("studio-b")
        cluster.wait_for_version(version, *first)
        cluster.platform.set_faults(outage=True)
        for number, old in enumerate(first):
            new = f"m{number}"
            cluster.replace_instance(old, new)
            cluster.wait_for_version(version, new)
        wait_until(
            lambda: all(cluster.child(name).exit_code is not None for name in first)
        )
        cluster.wait_for_version(version, "m0", "m1", "m2", "m3")


def test_restarted_instance_does_not_activate_the_version_of_a_stale_peer():
    with ConfiguredCluster() as cluster:
        start_with_partitioned_peer(cluster)
        version = cluster.declare_workspace("studio-b")
        cluster.wait_for_version(version, "n1", "n2")
        assert cluster.read_version("n3") == 1
        cluster.platform.set_faults(outage=True)
        cluster.kill("n1")
        cluster.kill("n2")
        cluster.set_fault("none", link="to n3")
        cluster.restart("n1")
        deadline = time.monotonic() + OBSERVATION_S
        while time.monotonic() < deadline:
            assert cluster.read_version("n1") in {0, version}
        cluster.platform.set_faults(outage=False)
        cluster.wait_for_version(version, "n1")


def start_with_partitioned_peer(cluster: ConfiguredCluster) -> None:
    """Start three instances and disrupt the connections of n3.

    n3 cannot reach the table, and messages from n1 and n2 do not reach n3.
    """
    cluster.start_fault_proxy()
    platform = cluster.addresses["platform"]
    table_link = cluster.add_link("n3 to table", target=platform)
    control = cluster.control_addresses.setdefault("n3", allocate_address())
    control_link = cluster.add_link("to n3", target=control)
    for name in ("n1", "n2"):
        cluster.start_node(name, control_routes={control: control_link})
    cluster.start_node("n3", platform_address=table_link)
    cluster.wait_for_version(1, "n1", "n2", "n3")
    cluster.set_fault("partition", link="n3 to table")
    cluster.set_fault("lose_to_target", link="to n3")


def test_instance_is_ready_only_after_it_has_read_the_list_of_servers():
    # A caller that came right after the start was told that no server can take its
    # request, because the instance did not know any yet.
    with ConfiguredCluster() as cluster:
        cluster.platform.set_faults(refuse_list=True)
        cluster.start_node("n1", wait=False)
        child = cluster.child("n1")
        wait_until(lambda: "configuration_in_force" in child.log_path.read_text())
        observed_until = time.monotonic() + OBSERVATION_S
        wait_until(lambda: child.is_ready() or time.monotonic() > observed_until)
        assert not child.is_ready()
        cluster.platform.set_faults(refuse_list=False)
        cluster.wait_until_ready("n1")
        assert "instance_list_reachable" in child.log_path.read_text()
