"""Memory of membership, routing and workspace state, traced by `tracemalloc`."""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections.abc import Callable, Iterable

from ebonyhaven_decisions import (
    MemberRecord,
    Membership,
    MemberState,
    ServerEntry,
    ServerReport,
    ServerTable,
    UsageLedger,
    Workspace,
)
from prometheus_client import CollectorRegistry

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

PEER_COUNTS = (50, 100, 200, 390)
SERVER_COUNTS = (100, 200, 400, 730)
WORKSPACE_COUNTS = (100, 230, 460, 920)
MODEL_COUNT = 10
REQUEST_CLASSES = ("look-up", "analysis")
NOW_S = 1000.0


def measure_allocated_bytes(
    build: Callable[[int], object], counts: Iterable[int]
) -> list[Point]:
    """Measure the memory that objects with different numbers of items allocate.

    Parameters
    ----------
    build : callable
        Builds and returns an object for a number of items.
    counts : iterable of int
        Numbers of items to measure.

    Returns
    -------
    list of Point
        Allocated bytes by number of items.
    """
    build(1)  # fills caches, so that they are not measured
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = build(count)
        gc.collect()
        points.append(Point(count, tracemalloc.get_traced_memory()[0] - before))
        tracemalloc.stop()
        del state
    return points


def make_member(number: int) -> MemberRecord:
    """Return the record of an instance in one of seven data centres."""
    return MemberRecord(
        incarnation=1_796_330_000_000 + number,
        state=MemberState.LIVE,
        name=f"instance-{number:04d}",
        control_address=f"10.1.{number // 250}.{number % 250}:8201",
        caller_address=f"10.1.{number // 250}.{number % 250}:8101",
        data_centre=f"data-centre-{number % 7}",
        region=f"region-{number % 7 // 4}",
    )


def make_server(number: int) -> ServerEntry:
    """Return the entry of a backend server that serves one of ten models."""
    return ServerEntry(
        name=f"server-{number:04d}",
        address=f"10.2.{number // 250}.{number % 250}:9000",
        data_centre=f"data-centre-{number % 7}",
        region=f"region-{number % 7 // 4}",
        models=frozenset({f"model-{number % MODEL_COUNT}"}),
    )


def build_membership(count: int) -> Membership:
    """Return the membership view of an instance with ``count`` live peers."""
    view = Membership(own=make_member(0), rng=random.Random(1), now=NOW_S)
    members = [make_member(number) for number in range(1, count + 1)]
    view.set_listed({member.name: member.control_address for member in members})
    for member in members:
        view.table.merge(member, NOW_S)
    view.tick(NOW_S + 1.0)
    return view


def build_server_table(count: int) -> ServerTable:
    """Return a table of ``count`` servers, each with a load report and 16 requests."""
    table = ServerTable()
    table.replace([make_server(number) for number in range(count)])
    for state in table:
        report = ServerReport(running=4, waiting=1, measured_at=NOW_S, capacity=16)
        state.record_report(report, 62.0)
        for _ in range(16):
            state.record_dispatch(100, NOW_S)
    return table


def build_workspaces(count: int) -> list[object]:
    """Return a usage ledger and the declarations of ``count`` workspaces."""
    ledger = UsageLedger(NOW_S)
    declared = {}
    for number in range(count):
        name = f"workspace-{number:04d}"
        declared[name] = Workspace(name=name, key_sha256=f"{number:064x}")
        for class_name in REQUEST_CLASSES:
            ledger.charge((class_name, name), 100.0, NOW_S)
    return [ledger, declared]


def build_metrics(count: int) -> object:
    """Return the node's relay metrics with observations of ``count`` workspaces."""
    from ebonyhaven_node._metrics import RelayMetrics

    metrics = RelayMetrics(CollectorRegistry())
    observe_workspaces(metrics, count)
    return metrics


def observe_workspaces(metrics: object, count: int) -> None:
    """Record a first token, a gap and a resume per workspace and request class."""
    from ebonyhaven_node._metrics import observe

    for number in range(count):
        for class_name in REQUEST_CLASSES:
            name = f"workspace-{number:04d}"
            histograms = metrics.bind(workspace=name, class_name=class_name)
            observe(histograms.first_token, 0.3)
            observe(histograms.gap, 0.03)
            observe(histograms.resume, 0.5)


def measure_peer_state() -> list[Measurement]:
    """Measure the bytes per peer in the membership view."""
    return [
        make_measurement(
            "peer_state", measure_allocated_bytes(build_membership, PEER_COUNTS)
        )
    ]


def measure_server_state() -> list[Measurement]:
    """Measure the bytes per backend server in the server table."""
    points = measure_allocated_bytes(build_server_table, SERVER_COUNTS)
    return [make_measurement("server_state", points)]


def measure_workspace_state() -> list[Measurement]:
    """Measure the bytes per workspace in the declaration and the usage ledger."""
    points = measure_allocated_bytes(build_workspaces, WORKSPACE_COUNTS)
    return [make_measurement("workspace_state", points)]


def measure_workspace_metrics() -> list[Measurement]:
    """Measure the bytes per workspace in the relay metrics."""
    points = measure_allocated_bytes(build_metrics, WORKSPACE_COUNTS)
    return [make_measurement("workspace_metrics", points)]
