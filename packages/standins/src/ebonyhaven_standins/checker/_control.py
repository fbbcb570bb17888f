"""Checks of shutdowns and of configurations coming into force."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from ebonyhaven_standins.caller import ConnectionRecord
from ebonyhaven_standins.checker._logs import (
    Evidence,
    TimelineEvent,
    TimelineKind,
)
from ebonyhaven_standins.checker._violations import Violation, ViolationKind

CONFIGURATION_LIMIT_S = 9.0
_UNBROKEN = frozenset({"completed", "not_run"})


def check_control(evidence: Evidence) -> Iterator[Violation]:
    """Yield cut requests and configurations that were late or reverted."""
    for event in evidence.timeline:
        if event.kind is TimelineKind.INSTANCE_TERMINATED:
            yield from _check_shutdown(event, evidence)
    seen: dict[str, list[TimelineEvent]] = defaultdict(list)
    for event in evidence.timeline:
        if event.kind is TimelineKind.CONFIGURATION_SEEN:
            seen[event.name].append(event)
    for name, samples in seen.items():
        yield from _check_order(name, samples)
        for event in evidence.timeline:
            if event.kind is TimelineKind.CONFIGURATION_ACCEPTED:
                yield from _check_arrival(name, samples, event)


def _check_shutdown(event: TimelineEvent, evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        for connection in record["connections"]:
            if connection["address"] == event.name and _is_cut(connection, event.time):
                yield Violation(
                    ViolationKind.CUT_BY_SHUTDOWN,
                    record["key"],
                    f"{connection['outcome']} at {connection['step'] or 'transport'}",
                )


def _is_cut(connection: ConnectionRecord, at: float) -> bool:
    ended_at = connection["ended_at"]
    open_then = connection["sent_at"] < at and (ended_at is None or ended_at > at)
    never_accepted = connection["reason"] == "ConnectionRefusedError"
    unbroken = connection["outcome"] in _UNBROKEN
    return open_then and not never_accepted and not unbroken


def _check_order(name: str, samples: list[TimelineEvent]) -> Iterator[Violation]:
    for before, after in zip(samples, samples[1:], strict=False):
        if after.version < before.version:
            yield Violation(
                ViolationKind.CONFIGURATION_REVERTED,
                name,
                f"version {before.version} then {after.version}",
            )


def _check_arrival(
    name: str, samples: list[TimelineEvent], accepted: TimelineEvent
) -> Iterator[Violation]:
    # A process that started later has the same time from its first sample on.
    limit = max(accepted.time, samples[0].time) + CONFIGURATION_LIMIT_S
    for sample in samples:
        if sample.time > limit and sample.version < accepted.version:
            yield Violation(
                ViolationKind.CONFIGURATION_LATE,
                name,
                f"version {sample.version} in force {sample.time - accepted.time:.1f} "
                f"s after {accepted.version} was accepted",
            )
            return
