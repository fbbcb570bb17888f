from __future__ import annotations

import json
import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster

DEADLINE_S = 40.0
OUT_OF_LISTS_S = 3.0
ANSWERS = 6
NAMES = ("n1", "n2", "n3")


def list_offered(cluster: Cluster, name: str) -> set[str]:
    offered = set()
    for _ in range(ANSWERS):
        url = f"http://{cluster.addresses[name]}/v1/entries"
        with urllib.request.urlopen(url, timeout=DEADLINE_S) as answer:
            offered |= {entry["instance"] for entry in json.load(answer)["entries"]}
    return offered


def wait_until_offered(cluster: Cluster, expected: dict[str, set[str]]) -> float:
    started = time.monotonic()
    while any(list_offered(cluster, n) != names for n, names in expected.items()):
        assert time.monotonic() - started < DEADLINE_S, "not reached in time"
        time.sleep(0.02)
    return time.monotonic() - started


def start_settled(cluster: Cluster) -> None:
    cluster.start_platform()
    for name in NAMES:
        cluster.start_node(name, wait=False)
    cluster.wait_until_ready()
    wait_until_offered(cluster, {name: set(NAMES) for name in NAMES})


def test_killed_instance_is_not_offered_although_the_platform_lists_it():
    with Cluster() as cluster:
        start_settled(cluster)
        cluster.kill("n1")
        rest = {"n2", "n3"}
        took_s = wait_until_offered(cluster, dict.fromkeys(rest, rest))
        assert took_s <= OUT_OF_LISTS_S, took_s


def test_instances_find_each_other_and_the_dead_while_the_platform_is_out():
    with Cluster() as cluster:
        start_settled(cluster)
        cluster.platform.set_faults(outage=True, refuse_list=True)
        cluster.kill("n1")
        wait_until_offered(cluster, dict.fromkeys(("n2", "n3"), {"n2", "n3"}))
        seeds = {"n2": cluster.control_addresses["n2"]}
        cluster.start_node("n4", register=False, control_seeds=seeds)
        now = {"n2", "n3", "n4"}
        wait_until_offered(cluster, dict.fromkeys(now, now))


def test_instance_that_leaves_gracefully_is_not_offered_from_the_start():
    with Cluster() as cluster:
        start_settled(cluster)
        cluster.terminate("n1")
        rest = {"n2", "n3"}
        wait_until_offered(cluster, dict.fromkeys(rest, rest))
