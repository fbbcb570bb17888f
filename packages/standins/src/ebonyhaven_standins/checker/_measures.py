"""Measures of resume latency and extra resource use."""

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
_LOSS_KINDS = frozenset({TimelineKind.ENGINE_KILLED, TimelineKind.INSTANCE_KILLED})


class LatencySummary(NamedTuple):
    """Quantiles of latencies in seconds; all zero without samples."""

    count: int
    p50: float
    p95: float
    max: float


def summarize_latencies(samples: Sequence[float]) -> LatencySummary:
    """Return nearest-rank quantiles of latencies in seconds."""
    if not samples:
        return LatencySummary(0, 0.0, 0.0, 0.0)
    ordered = sorted(samples)

    def quantile(share: float) -> float:
        return ordered[max(0, math.ceil(share * len(ordered)) - 1)]

    return LatencySummary(len(ordered), quantile(0.5), quantile(0.95), ordered[-1])


def measure_resume_latencies(evidence: Evidence) -> list[float]:
    """Return the seconds from each loss to the next token of each affected stream.

    A loss is the kill of an engine or instance. A stream is affected if its last token
    before the loss came from the lost process. It is resumed by its next token from
    another process: tokens of the lost process that were in transit do not count.
    Streams that were not resumed are omitted.
    """
    latencies = []
    for record, loss in _pair_losses(evidence):
        token = _find_resumed_token(record, loss)
        if token is not None:
            latencies.append(token.time - loss.time)
    return latencies


def count_unresumed(evidence: Evidence) -> int:
    """Return the number of incomplete streams not resumed after a loss."""
    return sum(
        record["outcome"] != COMPLETED and _find_resumed_token(record, loss) is None
        for record, loss in _pair_losses(evidence)
    )


def _pair_losses(evidence: Evidence) -> list[tuple[RequestRecord, TimelineEvent]]:
    losses = [event for event in evidence.timeline if event.kind in _LOSS_KINDS]
    return [
        (record, loss)
        for loss in losses
        for record in evidence.records
        if _is_affected(record, loss)
    ]


def _identify_source(
    record: RequestRecord, token: ReceivedToken, loss: TimelineEvent
) -> str:
    if loss.kind is TimelineKind.ENGINE_KILLED:
        return token.server
    return record["connections"][token.connection]["address"]


def _is_affected(record: RequestRecord, loss: TimelineEvent) -> bool:
    before = [token for token in record["tokens"] if token.time <= loss.time]
    return bool(before) and _identify_source(record, before[-1], loss) == loss.name


def _find_resumed_token(
    record: RequestRecord, loss: TimelineEvent
) -> ReceivedToken | None:
    for token in record["tokens"]:
        if (
            token.time > loss.time
            and _identify_source(record, token, loss) != loss.name
        ):
            return token
    return None


def compute_extra_resource_ratio(evidence: Evidence) -> float:
    """Return the ratio of extra to required computed tokens.

    An answer requires the prefill of its first start and its output tokens. All tokens
    that engines computed beyond the sum of these are extra; the ratio is 0 if no token
    is required. Requests that did not complete add no required tokens.
    """
    lines = evidence.group_lines()
    computed = sum(line.prefill_tokens + line.decoded_tokens for line in evidence.lines)
    required = 0
    for origin, records in evidence.group_records().items():
        completed = [item for item in records if item["outcome"] == COMPLETED]
        if completed:
            prompt_characters = completed[0]["prompt_characters"]
            required += _compute_first_prefill_tokens(
                lines.get(origin, []), prompt_characters
            )
            required += completed[0]["finish_offset"] or 0
    return computed / required - 1 if required else 0.0


def _compute_first_prefill_tokens(lines: list[LogLine], prompt_characters: int) -> int:
    starts = [line for line in lines if line.event == "start"]
    for line in lines:
        same_run = starts and line.origin == starts[0].origin
        if same_run and line.server == starts[0].server and line.event == "token_count":
            return line.prefill_tokens
    return -(-prompt_characters // CHARACTERS_PER_TOKEN)
