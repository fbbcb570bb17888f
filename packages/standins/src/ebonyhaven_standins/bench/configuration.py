"""Time from the write of a configuration until it is in force on all instances.

Run by ``python -m ebonyhaven_standins.bench.configuration [--instances 6]
[--changes 10] [--output FILE]``. Measures three series of changes: without faults;
with an outage of the table as soon as one instance has the change; with half of the
instances partitioned from the table. Then measures the load of the control plane on
the table, by number of instances.
"""

from __future__ import annotations

import argparse
import datetime
import enum
import json
import pathlib
import statistics
import time
from typing import Any, TypedDict

from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.log_lines import read_whole_lines

DEFAULT_INSTANCES = 6
DEFAULT_CHANGES = 10
IN_FORCE_TIMEOUT_S = 60.0
LOG_POLL_INTERVAL_S = 0.01
SETTLING_TIME_S = 2.0  # pause after the start and after each change
TABLE_LOAD_DURATION_S = 20.0
IN_FORCE_TARGET_S = 3.0  # only reported
IN_FORCE_BOUND_S = 9.0  # the benchmark fails if a change takes longer
TABLE_LINK = "table"
IN_FORCE_EVENT_MARKER = '"configuration_in_force"'


class TableFault(enum.StrEnum):
    """Fault of the table while a change propagates."""

    NONE = "none"
    OUTAGE = "outage"
    PARTITION = "partition"


class InForceTimes(TypedDict):
    """Propagation times of one series of changes.

    Parameters
    ----------
    condition : str
        Value of `TableFault`.
    instances, changes : int
    p50_s, p95_s, max_s : float
        Time from before the write is sent until the version is in force on the last
        instance, seconds.
    reverted : int
        Number of instances that logged a version twice or after a higher one.
    """

    condition: str
    instances: int
    changes: int
    p50_s: float
    p95_s: float
    max_s: float
    reverted: int


class TableLoad(TypedDict):
    """Reads and writes of the table per second without requests and changes.

    Parameters
    ----------
    instances : int
    seconds : float
        Requested length of the measurement.
    reads_per_s, writes_per_s : float
        Averages over the actual length of the measurement.
    """

    instances: int
    seconds: float
    reads_per_s: float
    writes_per_s: float


def measure_table_load(*, instances: int, seconds: float) -> TableLoad:
    """Measure the operations on the table without requests and changes.

    Parameters
    ----------
    instances : int
        Number of node processes.
    seconds : float
        Length of the measurement.

    Returns
    -------
    TableLoad
    """
    names = [f"n{number}" for number in range(instances)]
    with Cluster() as cluster:
        _start_cluster(cluster, names)
        before = cluster.platform.call("GET", "/counts")
        started = time.monotonic()
        time.sleep(seconds)
        after = cluster.platform.call("GET", "/counts")
        took_s = time.monotonic() - started
    return TableLoad(
        instances=instances,
        seconds=seconds,
        reads_per_s=round((after["reads"] - before["reads"]) / took_s, 2),
        writes_per_s=round((after["writes"] - before["writes"]) / took_s, 2),
    )


def measure_in_force_times(
    condition: TableFault, *, instances: int, changes: int
) -> InForceTimes:
    """Make changes one after another and measure the propagation of each.

    Parameters
    ----------
    condition : TableFault
    instances : int
        Number of node processes.
    changes : int
        Number of changes.

    Returns
    -------
    InForceTimes
    """
    names = [f"n{number}" for number in range(instances)]
    with Cluster() as cluster:
        _start_cluster(cluster, names)
        if condition is TableFault.PARTITION:
            cluster.set_fault("partition", link=TABLE_LINK)
        times = []
        for number in range(changes):
            times.append(_measure_change(cluster, names, condition, number))
        reverted = sum(_has_reverted(cluster, name) for name in names)
    return InForceTimes(
        condition=str(condition),
        instances=instances,
        changes=changes,
        p50_s=round(statistics.median(times), 3),
        p95_s=round(_compute_quantile(times, 0.95), 3),
        max_s=round(max(times), 3),
        reverted=reverted,
    )


def _start_cluster(cluster: Cluster, names: list[str]) -> None:
    cluster.start_platform()
    cluster.start_fault_proxy()
    link = cluster.add_link(TABLE_LINK, target=cluster.addresses["platform"])
    version = cluster.declare(_make_declaration("first"))
    for number, name in enumerate(names):
        address = link if number % 2 else None
        cluster.start_node(name, platform_address=address, wait=False)
    cluster.wait_until_ready()
    _wait_for_all(cluster, names, version)
    time.sleep(SETTLING_TIME_S)


def _measure_change(
    cluster: Cluster, names: list[str], condition: TableFault, number: int
) -> float:
    started_at = time.time()
    version = cluster.declare(_make_declaration(f"change-{number}"))
    if condition is TableFault.OUTAGE:
        _wait_for_any(cluster, names, version)
        cluster.platform.set_faults(outage=True)
    in_force_at = _wait_for_all(cluster, names, version)
    if condition is TableFault.OUTAGE:
        cluster.platform.set_faults(outage=False)
    time.sleep(SETTLING_TIME_S)
    return in_force_at - started_at


def _make_declaration(workspace: str) -> dict[str, Any]:
    return {
        "classes": {
            "look-up": {"first_token_ms": 500, "gap_ms": 62, "resume_ms": 1000}
        },
        "models": {"dossier": {}},
        "pools": {
            "drafting": {"kind": "engine", "models": ["dossier"], "checks_fence": True}
        },
        "workspaces": {workspace: {}},
    }


def _read_versions(cluster: Cluster, name: str) -> list[tuple[int, float]]:
    """Return the versions that an instance logged as in force, with their times."""
    versions = []
    for line in read_whole_lines(cluster.child(name).log_path):
        if IN_FORCE_EVENT_MARKER in line:
            entry = json.loads(line)
            at = datetime.datetime.fromisoformat(entry["timestamp"])
            versions.append((entry["version"], at.timestamp()))
    return versions


def _wait_for_all(cluster: Cluster, names: list[str], version: int) -> float:
    """Wait until a version or a later one is in force on all instances.

    Returns the Unix time at which the last instance logged it, in seconds.
    """
    times = [_wait_for_any(cluster, [name], version) for name in names]
    return max(times)


def _wait_for_any(cluster: Cluster, names: list[str], version: int) -> float:
    """Wait until a version or a later one is in force on any of the instances.

    Returns the Unix time at which that instance logged it, in seconds.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while time.monotonic() < deadline:
        for name in names:
            for logged, at in _read_versions(cluster, name):
                if logged >= version:
                    return at
        time.sleep(LOG_POLL_INTERVAL_S)
    raise TimeoutError(f"version {version} is not in force on any of {names}")


def _has_reverted(cluster: Cluster, name: str) -> bool:
    versions = [version for version, _ in _read_versions(cluster, name)]
    return versions != sorted(set(versions))


def _compute_quantile(values: list[float], level: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(level * len(ordered)))]


def measure_all(*, instances: int, changes: int) -> dict[str, Any]:
    """Measure the propagation under each fault, and the load on the table.

    Parameters
    ----------
    instances, changes : int
        Number of node processes, and of changes in each series. The load is measured
        with a third of the instances, with all and with twice as many.

    Returns
    -------
    dict
        ``broken`` counts series that exceeded the bound or in which an instance
        reverted a version.
    """
    series = [
        measure_in_force_times(condition, instances=instances, changes=changes)
        for condition in TableFault
    ]
    violation_count = sum(
        each["max_s"] > IN_FORCE_BOUND_S or each["reverted"] > 0 for each in series
    )
    loads = [
        measure_table_load(instances=count, seconds=TABLE_LOAD_DURATION_S)
        for count in (instances // 3, instances, 2 * instances)
    ]
    return {
        "series": series,
        "table_load": loads,
        "target_s": IN_FORCE_TARGET_S,
        "bound_s": IN_FORCE_BOUND_S,
        "broken": violation_count,
    }


def main() -> None:
    """Run the benchmark; exit with status 1 if a series is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=DEFAULT_INSTANCES)
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    figures = measure_all(instances=options.instances, changes=options.changes)
    text = json.dumps(figures, indent=2)
    print(text)
    if options.output is not None:
        options.output.write_text(f"{text}\n")
    raise SystemExit(1 if figures["broken"] else 0)


if __name__ == "__main__":
    main()
