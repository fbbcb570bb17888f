"""Checks of instance shutdowns and of the propagation of configurations."""

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

CONFIGURATION_DELAY_LIMIT_S = 9.0
_UNINTERRUPTED_OUTCOMES = frozenset({"completed", "not_run"})


def check_control_plane(evidence: Evidence) -> Iterator[Violation]:
    """Yield the violations in instance shutdowns and configuration propagation."""
    for event in evidence.timeline:
        if event.kind is TimelineKind.INSTANCE_TERMINATED:
            yield from _check_shutdown(event, evidence)
    seen: dict[str, list[TimelineEvent]] = defaultdict(list)
    for event in evidence.timeline:
        if event.kind is TimelineKind.CONFIGURATION_SEEN:
            seen[event.name].append(event)
    for name, samples in seen.items():
        yield from _check_version_order(name, samples)
        for event in evidence.timeline:
            if event.kind is TimelineKind.CONFIGURATION_ACCEPTED:
                yield from _check_propagation(name, samples, event)


def _check_shutdown(event: TimelineEvent, evidence: Evidence) -> Iterator[Violation]:
    for record in evidence.records:
        for connection in record["connections"]:
            if connection["address"] == event.name and _is_interrupted(
                connection, event.time
            ):
                yield Violation(
                    ViolationKind.CUT_BY_SHUTDOWN,
                    record["key"],
                    f"{connection['outcome']} at {connection['step'] or 'transport'}",
                )


def _is_interrupted(connection: ConnectionRecord, at: float) -> bool:
    ended_at = connection["ended_at"]
    was_open = connection["sent_at"] < at and (ended_at is None or ended_at > at)
    was_refused = connection["reason"] == "ConnectionRefusedError"
    uninterrupted = connection["outcome"] in _UNINTERRUPTED_OUTCOMES
    return was_open and not was_refused and not uninterrupted


def _check_version_order(
    name: str, samples: list[TimelineEvent]
) -> Iterator[Violation]:
    for previous, sample in zip(samples, samples[1:], strict=False):
        if sample.version < previous.version:
            yield Violation(
                ViolationKind.CONFIGURATION_REVERTED,
                name,
                f"version {previous.version} then {sample.version}",
            )


def _check_propagation(
    name: str, samples: list[TimelineEvent], accepted: TimelineEvent
) -> Iterator[Violation]:
    # For a process that started after the acceptance, the limit counts from its first
    # sample.
    limit = max(accepted.time, samples[0].time) + CONFIGURATION_DELAY_LIMIT_S
    for sample in samples:
        if sample.time > limit and sample.version < accepted.version:
            yield Violation(
                ViolationKind.CONFIGURATION_LATE,
                name,
                f"version {sample.version} in force {sample.time - accepted.time:.1f} "
                f"s after {accepted.version} was accepted",
            )
            return
