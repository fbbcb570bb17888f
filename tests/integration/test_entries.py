from __future__ import annotations

import json
import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster

TIMEOUT_S = 40.0
ENTRY_REMOVAL_TARGET_S = 3.0
QUERIES_PER_INSTANCE = 6
INSTANCES = ("n1", "n2", "n3")


def list_offered(cluster: Cluster, name: str) -> set[str]:
    """Return the instances in several randomly chosen entry lists of one instance."""
    offered = set()
    for _ in range(QUERIES_PER_INSTANCE):
        url = f"http://{cluster.addresses[name]}/v1/entries"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            offered |= {entry["instance"] for entry in json.load(response)["entries"]}
    return offered


def wait_until_offered(cluster: Cluster, expected: dict[str, set[str]]) -> float:
    started = time.monotonic()
    while any(list_offered(cluster, n) != names for n, names in expected.items()):
        assert time.monotonic() - started < TIMEOUT_S, "entries not as expected in time"
        time.sleep(0.02)
    return time.monotonic() - started


def start_converged(cluster: Cluster) -> None:
    cluster.start_platform()
    for name in INSTANCES:
        cluster.start_node(name, wait=False)
    cluster.wait_until_ready()
    wait_until_offered(cluster, {name: set(INSTANCES) for name in INSTANCES})


def test_killed_instance_is_not_offered_although_the_platform_lists_it():
    with Cluster() as cluster:
        start_converged(cluster)
        cluster.kill("n1")
        survivors = {"n2", "n3"}
        took_s = wait_until_offered(cluster, dict.fromkeys(survivors, survivors))
        assert took_s <= ENTRY_REMOVAL_TARGET_S, took_s


def test_instances_detect_joins_and_crashes_during_a_platform_outage():
    with Cluster() as cluster:
        start_converged(cluster)
        cluster.platform.set_faults(outage=True, refuse_list=True)
        cluster.kill("n1")
        wait_until_offered(cluster, dict.fromkeys(("n2", "n3"), {"n2", "n3"}))
        seeds = {"n2": cluster.control_addresses["n2"]}
        cluster.start_node("n4", register=False, control_seeds=seeds)
        expected = {"n2", "n3", "n4"}
        wait_until_offered(cluster, dict.fromkeys(expected, expected))


def test_gracefully_stopped_instance_is_not_offered():
    with Cluster() as cluster:
        start_converged(cluster)
        cluster.terminate("n1")
        survivors = {"n2", "n3"}
        wait_until_offered(cluster, dict.fromkeys(survivors, survivors))
