"""Checks of the runs that backend servers executed."""

from __future__ import annotations

from collections.abc import Iterator

from ebonyhaven_standins.caller import RequestRecord
from ebonyhaven_standins.checker._logs import (
    Evidence,
    LogLine,
    TimelineEvent,
    TimelineKind,
)
from ebonyhaven_standins.checker._violations import Violation, ViolationKind

LEAVING_GRACE_S = 5.0
_START_EVENTS = frozenset({"start", "continue"})


def check_runs(evidence: Evidence) -> Iterator[Violation]:
    """Yield the violations in the runs that backend servers executed.

    These are runs of requests with the outcome ``not_run``, second runs of requests
    that are not repeatable, and runs started by leaving servers.
    """
    lines = evidence.group_lines()
    for origin, records in evidence.group_records().items():
        starts = [line for line in lines.get(origin, []) if line.event == "start"]
        yield from _check_refusals(records, starts)
        yield from _check_single_run(records, starts)
    for event in evidence.timeline:
        if event.kind is TimelineKind.SERVER_LEAVING:
            yield from _check_leaving(event, evidence)


def _check_refusals(
    records: list[RequestRecord], starts: list[LogLine]
) -> Iterator[Violation]:
    connections = [item for record in records for item in record["connections"]]
    for refusal in connections:
        refused_at = refusal["ended_at"]
        if refusal["outcome"] != "not_run" or refused_at is None:
            continue
        for start in starts:
            was_resubmitted = any(
                refused_at < item["sent_at"] <= start.time for item in connections
            )
            if start.time <= refused_at or not was_resubmitted:
                yield Violation(
                    ViolationKind.FALSE_NOT_RUN,
                    records[0]["key"],
                    f"run {start.run_id} started on {start.server} "
                    f"{start.time - refused_at:+.3f} s relative to the refusal",
                )


def _check_single_run(
    records: list[RequestRecord], starts: list[LogLine]
) -> Iterator[Violation]:
    if any(record["repeatable"] for record in records) or len(starts) <= 1:
        return
    servers = ", ".join(f"{line.server} at {line.time:.3f}" for line in starts)
    yield Violation(
        ViolationKind.SECOND_RUN, records[0]["key"], servers, len(starts) - 1
    )


def _check_leaving(event: TimelineEvent, evidence: Evidence) -> Iterator[Violation]:
    returns = [
        other.time
        for other in evidence.timeline
        if other.kind is TimelineKind.SERVER_LIVE
        and other.name == event.name
        and other.time > event.time
    ]
    end = min(returns, default=float("inf"))
    for line in evidence.lines:
        late = event.time + LEAVING_GRACE_S < line.time < end
        if late and line.server == event.name and line.event in _START_EVENTS:
            yield Violation(
                ViolationKind.WORK_AFTER_LEAVING,
                event.name,
                f"run {line.run_id} {line.time - event.time:.3f} s after the server "
                "left",
            )
