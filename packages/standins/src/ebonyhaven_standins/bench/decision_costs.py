"""Processor time of routing and admission decisions by size of the deployment.

Run by ``python -m ebonyhaven_standins.bench.decision_costs``; prints one JSON line.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from collections.abc import Callable
from typing import TypedDict

from ebonyhaven_decisions import (
    ClassTargets,
    Locality,
    Scheduler,
    SchedulingAlgorithm,
    ServerEntry,
    ServerReport,
    WorkItem,
    build_scheduler,
    derive_policies,
)

SERVER_COUNTS = (10, 100, 730)
WORKSPACE_COUNTS = (10, 100, 920)
ROUNDS = 5
DECISIONS_PER_ROUND = 400
QUEUED_PER_WORKSPACE = 3
MAX_DECISION_COST_US = 100.0
MODEL = "dossier"
LOCALITY = Locality("dc-0", "r1")
CLASS_TARGETS = {
    "look-up": ClassTargets(first_token_ms=500, gap_ms=62, resume_ms=1000),
    "analysis": ClassTargets(
        first_token_ms=8000, gap_ms=100, resume_ms=2000, may_wait_ms=60000
    ),
}


class DecisionCost(TypedDict):
    """Median processor time of the decisions at one size, microseconds.

    ``request_us`` covers a request that finds free capacity: submission, queueing,
    routing, accounting and completion. ``admission_us`` covers a request that is
    submitted while others are queued, up to its admission decision.
    """

    servers: int
    workspaces: int
    request_us: float
    routing_us: float
    admission_us: float


def measure_decision_costs() -> list[DecisionCost]:
    """Measure the decisions for each number of servers and workspaces.

    Returns
    -------
    list of DecisionCost
    """
    return [
        _measure_decisions(servers, workspaces)
        for servers in SERVER_COUNTS
        for workspaces in WORKSPACE_COUNTS
    ]


def _measure_decisions(servers: int, workspaces: int) -> DecisionCost:
    return DecisionCost(
        servers=servers,
        workspaces=workspaces,
        request_us=_compute_median_us(lambda: _time_requests(servers, workspaces)),
        routing_us=_compute_median_us(lambda: _time_routing(servers, workspaces)),
        admission_us=_compute_median_us(lambda: _time_admission(servers, workspaces)),
    )


def _compute_median_us(measure: Callable[[], float]) -> float:
    return round(statistics.median(measure() for _ in range(ROUNDS)), 1)


def _time_requests(servers: int, workspaces: int) -> float:
    scheduler = _build_loaded_scheduler(servers, running=4)
    items = [_build_item(index, workspaces) for index in range(DECISIONS_PER_ROUND)]
    started = time.process_time()
    for index, item in enumerate(items):
        now = index * 0.05
        scheduler.submit(item, now)
        for dispatch in scheduler.collect_decisions(now).dispatches:
            scheduler.dispatcher.record_end(dispatch.item.item_id, now)
    return _compute_us_per_decision(started)


def _time_routing(servers: int, workspaces: int) -> float:
    dispatcher = _build_loaded_scheduler(servers, running=4).dispatcher
    items = [_build_item(index, workspaces) for index in range(DECISIONS_PER_ROUND)]
    spent_s = 0.0
    for index, item in enumerate(items):
        now = index * 0.05
        started = time.process_time()
        choice = dispatcher.choose(
            item, excluded=frozenset(), must_yield=False, now=now
        )
        spent_s += time.process_time() - started
        dispatcher.dispatch(item, choice, now)
        dispatcher.record_end(item.item_id, now)
    return spent_s / DECISIONS_PER_ROUND * 1e6


def _time_admission(servers: int, workspaces: int) -> float:
    scheduler = _build_loaded_scheduler(servers, running=16)
    for index in range(QUEUED_PER_WORKSPACE * workspaces):
        scheduler.submit(_build_item(index, workspaces), 0.0)
        scheduler.collect_decisions(0.0)
    items = [
        _build_item(10_000_000 + index, workspaces)
        for index in range(DECISIONS_PER_ROUND)
    ]
    started = time.process_time()
    for item in items:
        scheduler.submit(item, 0.1)
        scheduler.collect_decisions(0.1)
    return _compute_us_per_decision(started)


def _compute_us_per_decision(started_s: float) -> float:
    return (time.process_time() - started_s) / DECISIONS_PER_ROUND * 1e6


def _build_loaded_scheduler(servers: int, *, running: int) -> Scheduler:
    scheduler = build_scheduler(
        SchedulingAlgorithm.FAIR,
        derive_policies(CLASS_TARGETS),
        locality=LOCALITY,
        random_source=random.Random(1),
        now=0.0,
    )
    scheduler.dispatcher.table.replace(
        ServerEntry(
            f"s{index:03}",
            f"127.0.0.1:{9000 + index}",
            f"dc-{index % 7}",
            "r1",
            frozenset({MODEL}),
        )
        for index in range(servers)
    )
    report = ServerReport(running, 0, 0.0, capacity=16, pace_ms=30.0)
    for state in scheduler.dispatcher.table:
        scheduler.dispatcher.record_report(state.name, report)
    return scheduler


def _build_item(number: int, workspaces: int) -> WorkItem:
    return WorkItem(
        item_id=str(number),
        workspace=f"w{number % workspaces}",
        class_name="analysis",
        model=MODEL,
        prompt_tokens=500,
        max_tokens=200,
        prefix_digests=(f"{number % 50:016x}", f"{number % 333:016x}"),
        prefix_tokens=(16, 400),
    )


if __name__ == "__main__":
    print(json.dumps({"scenario": "decision_costs", "costs": measure_decision_costs()}))
