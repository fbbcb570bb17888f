"""The two measures: resume latency and extra resource use."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_standins.caller import COMPLETED, ReceivedToken, RequestRecord
from ebonyhaven_standins.checker._logs import (
    Evidence,
    LogLine,
    TimelineEvent,
    TimelineKind,
)

CHARACTERS_PER_TOKEN = 4
_LOSSES = frozenset({TimelineKind.ENGINE_KILLED, TimelineKind.INSTANCE_KILLED})


class LatencySummary(NamedTuple):
    """Quantiles in seconds; zero without samples."""

    count: int
    p50: float
    p95: float
    max: float


def summarize_latencies(samples: Sequence[float]) -> LatencySummary:
    """Return nearest-rank quantiles of latencies in seconds."""
    if not samples:
        return LatencySummary(0, 0.0, 0.0, 0.0)
    ordered = sorted(samples)

    def rank(share: float) -> float:
        return ordered[max(0, math.ceil(share * len(ordered)) - 1)]

    return LatencySummary(len(ordered), rank(0.5), rank(0.95), ordered[-1])


def measure_resume_latencies(evidence: Evidence) -> list[float]:
    """Return the seconds from each loss to the next token at each caller.

    A stream counts when its last token before the loss came from the process
    that was lost and a later one came from another; tokens of the lost process
    that were still on their way do not end the wait.
    """
    latencies = []
    for record, fault in _pair_losses(evidence):
        token = _find_resume(record, fault)
        if token is not None:
            latencies.append(token.time - fault.time)
    return latencies


def count_unresumed(evidence: Evidence) -> int:
    """Return how many streams a loss ended for good, before their end."""
    return sum(
        record["outcome"] != COMPLETED and _find_resume(record, fault) is None
        for record, fault in _pair_losses(evidence)
    )


def _pair_losses(evidence: Evidence) -> list[tuple[RequestRecord, TimelineEvent]]:
    faults = [event for event in evidence.timeline if event.kind in _LOSSES]
    return [
        (record, fault)
        for fault in faults
        for record in evidence.records
        if _is_hit(record, fault)
    ]


def _source(record: RequestRecord, token: ReceivedToken, fault: TimelineEvent) -> str:
    if fault.kind is TimelineKind.ENGINE_KILLED:
        return token.server
    return record["connections"][token.connection]["address"]


def _is_hit(record: RequestRecord, fault: TimelineEvent) -> bool:
    before = [token for token in record["tokens"] if token.time <= fault.time]
    return bool(before) and _source(record, before[-1], fault) == fault.name


def _find_resume(record: RequestRecord, fault: TimelineEvent) -> ReceivedToken | None:
    for token in record["tokens"]:
        if token.time > fault.time and _source(record, token, fault) != fault.name:
            return token
    return None


def measure_extra_resources(evidence: Evidence) -> float:
    """Return the extra share of computed tokens over a run without failures.

    The need of an answer is the prefill of its first start and its own tokens;
    what engines computed beyond the sum of needs, divided by that sum, is the
    extra share: 0 without any. Requests that did not complete add nothing to
    the need.
    """
    lines = evidence.group_lines()
    spent = sum(line.prefill_tokens + line.decoded_tokens for line in evidence.lines)
    need = 0
    for origin, records in evidence.group_records().items():
        completed = [item for item in records if item["outcome"] == COMPLETED]
        if completed:
            prompt = completed[0]["prompt_characters"]
            need += _find_first_prefill(lines.get(origin, []), prompt)
            need += completed[0]["finish_offset"] or 0
    return spent / need - 1 if need else 0.0


def _find_first_prefill(lines: list[LogLine], characters: int) -> int:
    starts = [line for line in lines if line.event == "start"]
    for line in lines:
        same_run = starts and line.origin == starts[0].origin
        if same_run and line.server == starts[0].server and line.event == "token_count":
            return line.prefill_tokens
    return -(-characters // CHARACTERS_PER_TOKEN)
