from __future__ import annotations

import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster, allocate_address
from ebonyhaven_standins.metric_samples import MetricSamples

from tests.integration.test_entries import (
    TIMEOUT_S,
    list_offered,
    wait_until_offered,
)

DATA_CENTRES = {"n1": "dc-a", "n2": "dc-a", "n3": "dc-b", "n4": "dc-b"}
ALL_INSTANCES = set(DATA_CENTRES)
OBSERVATION_S = 4.0


def start_behind_proxy(cluster: Cluster) -> None:
    """Start instances that exchange all control messages through the fault proxy."""
    cluster.start_platform()
    cluster.start_fault_proxy()
    for name in DATA_CENTRES:
        cluster.control_addresses[name] = allocate_address()
    for name, data_centre in DATA_CENTRES.items():
        routes = {}
        for other in ALL_INSTANCES - {name}:
            target = cluster.control_addresses[other]
            routes[target] = cluster.add_link(
                f"{name}>{other}",
                target=target,
                side_a=data_centre,
                side_b=DATA_CENTRES[other],
            )
        cluster.start_node(
            name, data_centre=data_centre, control_routes=routes, wait=False
        )
    cluster.wait_until_ready()
    wait_until_offered(cluster, dict.fromkeys(ALL_INSTANCES, ALL_INSTANCES))


def read_event_count(cluster: Cluster, name: str, event: str) -> float:
    url = f"http://{cluster.addresses[name]}/metrics"
    with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
        samples = MetricSamples(response.read().decode())
    return samples.sum("ebonyhaven_membership_events_total", f'event="{event}"')


def wait_until(condition) -> None:
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < TIMEOUT_S, "condition not met in time"
        time.sleep(0.05)


def test_partitioned_data_centres_offer_local_instances_and_merge_again():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        cluster.set_fault("partition", sides=("dc-a", "dc-b"))
        left, right = {"n1", "n2"}, {"n3", "n4"}
        sides = dict.fromkeys(left, left) | dict.fromkeys(right, right)
        wait_until_offered(cluster, sides)
        cluster.set_fault("none", sides=("dc-a", "dc-b"))
        wait_until_offered(cluster, dict.fromkeys(ALL_INSTANCES, ALL_INSTANCES))


def test_instance_whose_messages_to_one_peer_are_lost_stays_offered_by_all():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        before = read_event_count(cluster, "n2", "suspicions")
        cluster.set_fault("lose_to_target", link="n1>n2")
        wait_until(lambda: read_event_count(cluster, "n2", "indirect_signs") >= 3)
        assert all("n1" in list_offered(cluster, name) for name in ALL_INSTANCES)
        assert read_event_count(cluster, "n2", "suspicions") == before


def test_silent_connection_is_replaced_by_a_new_one():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        suspicions = read_event_count(cluster, "n2", "suspicions")
        wait_until(lambda: cluster.fault_proxy.count_open("n1>n2") >= 1)
        cluster.set_fault("silence_open", link="n1>n2")
        wait_until(lambda: read_event_count(cluster, "n2", "silences") >= 1)

        def is_silence_count_stable() -> bool:
            before = read_event_count(cluster, "n2", "silences")
            time.sleep(OBSERVATION_S)
            return read_event_count(cluster, "n2", "silences") == before

        wait_until(is_silence_count_stable)
        assert read_event_count(cluster, "n2", "suspicions") == suspicions
