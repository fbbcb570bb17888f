"""Resource use of idle nodes, measured on real processes without callers."""

from __future__ import annotations

import collections
import re
import statistics
import time
import urllib.request

from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import Deployment, ServerSpec, start_deployment
from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._process_usage import (
    read_processor_s,
    read_resident_bytes,
)
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

INSTANCE_COUNTS = (3, 6, 9)
POOL_COUNTS = (1, 5, 10)
POOL_INSTANCES = 3
SETTLING_TIME_S = 8.0
WINDOW_S = 16.0
_SENT_BYTES_PATTERN = re.compile(
    r'^ebonyhaven_control_bytes_total\{direction="sent"\} (\S+)$', re.MULTILINE
)


def make_deployment(instances: int) -> Deployment:
    """Return a deployment with the given number of instances and two engines."""
    return Deployment(
        region="r1",
        instances={f"n{number}": f"dc-{number % 3}" for number in range(instances)},
        engines=[
            ServerSpec(name=f"s{number}", data_centre=f"dc-{number}")
            for number in range(2)
        ],
        workspaces=["studio-a"],
    )


def read_sent_bytes(address: str) -> float:
    """Return the control bytes that a node has sent, from its metrics.

    Parameters
    ----------
    address : str
        Address that serves ``/metrics``.

    Returns
    -------
    float
        0 if the metric is absent.
    """
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
        match = _SENT_BYTES_PATTERN.search(response.read().decode())
    return float(match.group(1)) if match else 0.0


class _UsageSample:
    """Counters of all nodes and of the platform at one time."""

    def __init__(self, cluster: Cluster, names: list[str]) -> None:
        counts = cluster.platform.call("GET", "/counts")
        self.reads, self.writes = counts["reads"], counts["writes"]
        self.sent_bytes = sum(
            read_sent_bytes(cluster.addresses[name]) for name in names
        )
        children = [cluster.child(name) for name in names]
        self.processor_s = sum(read_processor_s(c.process_id) for c in children)
        self.resident_bytes = [read_resident_bytes(c.process_id) for c in children]
        self.time = time.monotonic()


def measure_idle_nodes() -> list[Measurement]:
    """Measure memory, processor time, table calls and control bytes of idle nodes."""
    points: dict[str, list[Point]] = collections.defaultdict(list)
    for count in INSTANCE_COUNTS:
        first, second = _sample_window(count, 1)
        _add_points(points, count, first, second)
    for pools in POOL_COUNTS:
        first, second = _sample_window(POOL_INSTANCES, pools)
        window_s = second.time - first.time
        reads_per_s = (second.reads - first.reads) / window_s
        writes_per_s = (second.writes - first.writes) / window_s
        points["pool_reads"].append(Point(pools, reads_per_s))
        points["pool_writes"].append(Point(pools, writes_per_s))
    return [make_measurement(key, values) for key, values in points.items()]


def _sample_window(instances: int, pools: int) -> tuple[_UsageSample, _UsageSample]:
    deployment = make_deployment(instances)
    names = list(deployment.instances)
    with Cluster() as cluster:
        start_deployment(cluster, deployment)
        declaration = deployment.make_declaration()
        for number in range(1, pools):
            declaration["models"][f"model-{number}"] = {}
            declaration["pools"][f"pool-{number}"] = {
                "kind": "engine",
                "models": [f"model-{number}"],
                "checks_fence": True,
            }
        cluster.declare(declaration)
        time.sleep(SETTLING_TIME_S)
        first = _UsageSample(cluster, names)
        time.sleep(WINDOW_S)
        return first, _UsageSample(cluster, names)


def _add_points(
    points: dict[str, list[Point]],
    count: int,
    first: _UsageSample,
    second: _UsageSample,
) -> None:
    window_s = second.time - first.time
    resident_mb = statistics.fmean(second.resident_bytes) / 1e6
    processor_share = (second.processor_s - first.processor_s) / window_s / count
    points["node_at_rest"].append(Point(count, resident_mb))
    points["rest_cpu"].append(Point(count, 100 * processor_share))
    sent_bytes_per_s = (second.sent_bytes - first.sent_bytes) / window_s / count
    points["rest_bytes"].append(Point(count, sent_bytes_per_s))
    reads_per_s = (second.reads - first.reads) / window_s
    points["rest_reads"].append(Point(count, reads_per_s))
