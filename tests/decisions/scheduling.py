"""Shared fixtures of the scheduling tests."""

from __future__ import annotations

import random

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

TARGETS = {
    "look-up": ClassTargets(first_token_ms=500, gap_ms=62, resume_ms=1000),
    "analysis": ClassTargets(
        first_token_ms=8000, gap_ms=100, resume_ms=2000, may_wait_ms=60000
    ),
}
POLICIES = derive_policies(TARGETS)
MODEL = "dossier"
INSTANCE_LOCALITY = Locality("dc-a", "r1")


def build_entries(count, *, prefix="s", data_centre="dc-a"):
    return [
        ServerEntry(
            f"{prefix}{index:03}",
            f"127.0.0.1:{9000 + index}",
            data_centre,
            "r1",
            frozenset({MODEL}),
        )
        for index in range(count)
    ]


def build_item(item_id, **options):
    defaults = {
        "workspace": "studio-a",
        "class_name": "analysis",
        "model": MODEL,
        "prompt_tokens": 100,
        "max_tokens": 100,
        "arrival": 0.0,
    }
    return WorkItem(item_id=str(item_id), **(defaults | options))


def build_fair_scheduler(servers=2, capacity=4, *, seed=1, policies=None) -> Scheduler:
    scheduler = build_scheduler(
        SchedulingAlgorithm.FAIR,
        policies or POLICIES,
        locality=INSTANCE_LOCALITY,
        random_source=random.Random(seed),
        now=0.0,
    )
    scheduler.dispatcher.table.replace(build_entries(servers))
    report_local_load(scheduler, capacity, now=0.0)
    return scheduler


def report_local_load(scheduler, capacity, *, now):
    for state in scheduler.dispatcher.table:
        running = state.local_in_flight
        report = ServerReport(running, 0, now, capacity=capacity, pace_ms=30.0)
        scheduler.dispatcher.record_report(state.name, report)


def complete_request(scheduler, dispatch, now):
    dispatcher = scheduler.dispatcher
    dispatcher.record_first_token(dispatch.item.item_id, now)
    dispatcher.record_tokens(dispatch.item.item_id, dispatch.item.max_tokens, now)
    dispatcher.record_end(dispatch.item.item_id, now)
