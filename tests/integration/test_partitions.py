from __future__ import annotations

import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster, allocate_address
from ebonyhaven_standins.metric_samples import MetricSamples

from tests.integration.test_entries import (
    DEADLINE_S,
    list_offered,
    wait_until_offered,
)

PLACES = {"n1": "dc-a", "n2": "dc-a", "n3": "dc-b", "n4": "dc-b"}
EVERYBODY = set(PLACES)
QUIET_S = 4.0


def start_behind_proxy(cluster: Cluster) -> None:
    """Start nodes whose control messages all pass the fault proxy."""
    cluster.start_platform()
    cluster.start_fault_proxy()
    for name in PLACES:
        cluster.control_addresses[name] = allocate_address()
    for name, data_centre in PLACES.items():
        routes = {}
        for other in EVERYBODY - {name}:
            target = cluster.control_addresses[other]
            routes[target] = cluster.add_link(
                f"{name}>{other}",
                target=target,
                side_a=data_centre,
                side_b=PLACES[other],
            )
        cluster.start_node(
            name, data_centre=data_centre, control_routes=routes, wait=False
        )
    cluster.wait_until_ready()
    wait_until_offered(cluster, dict.fromkeys(EVERYBODY, EVERYBODY))


def read_event(cluster: Cluster, name: str, event: str) -> float:
    url = f"http://{cluster.addresses[name]}/metrics"
    with urllib.request.urlopen(url, timeout=DEADLINE_S) as answer:
        samples = MetricSamples(answer.read().decode())
    return samples.sum("ebonyhaven_membership_events_total", f'event="{event}"')


def wait_until(condition) -> None:
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < DEADLINE_S, "not reached in time"
        time.sleep(0.05)


def test_data_centres_that_lose_each_other_offer_only_their_own_and_join_again():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        cluster.set_fault("partition", sides=("dc-a", "dc-b"))
        left, right = {"n1", "n2"}, {"n3", "n4"}
        sides = dict.fromkeys(left, left) | dict.fromkeys(right, right)
        wait_until_offered(cluster, sides)
        cluster.set_fault("none", sides=("dc-a", "dc-b"))
        wait_until_offered(cluster, dict.fromkeys(EVERYBODY, EVERYBODY))


def test_instance_that_one_other_cannot_hear_stays_offered_by_all():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        before = read_event(cluster, "n2", "suspicions")
        cluster.set_fault("lose_to_target", link="n1>n2")
        wait_until(lambda: read_event(cluster, "n2", "indirect_signs") >= 3)
        assert all("n1" in list_offered(cluster, name) for name in EVERYBODY)
        assert read_event(cluster, "n2", "suspicions") == before


def test_silent_connection_is_replaced_by_a_new_one():
    with Cluster() as cluster:
        start_behind_proxy(cluster)
        suspicions = read_event(cluster, "n2", "suspicions")
        wait_until(lambda: cluster.fault_proxy.count_open("n1>n2") >= 1)
        cluster.set_fault("silence_open", link="n1>n2")
        wait_until(lambda: read_event(cluster, "n2", "silences") >= 1)

        def is_quiet() -> bool:
            before = read_event(cluster, "n2", "silences")
            time.sleep(QUIET_S)
            return read_event(cluster, "n2", "silences") == before

        wait_until(is_quiet)
        assert read_event(cluster, "n2", "suspicions") == suspicions
