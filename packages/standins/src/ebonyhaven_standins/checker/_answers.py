"""Checks of the tokens, origins and errors that callers received."""

from __future__ import annotations

from collections.abc import Iterator

from ebonyhaven_standins.caller import COMPLETED, ReceivedToken, RequestRecord
from ebonyhaven_standins.checker._logs import PROMPT_ORIGIN_DIGITS, Evidence, LogLine
from ebonyhaven_standins.checker._violations import Violation, ViolationKind


def check_answers(evidence: Evidence) -> Iterator[Violation]:
    """Yield the violations in the answers that callers received."""
    lines = evidence.group_lines()
    for record in evidence.records:
        yield from _check_offsets(record)
        yield from _check_texts(record)
        yield from _check_origins(record)
        yield from _check_finish(record, lines.get(record["prompt_origin"], []))
        yield from _check_untagged_errors(record)


def _check_offsets(record: RequestRecord) -> Iterator[Violation]:
    expected = 0
    for token in record["tokens"]:
        if token.offset < expected:
            yield Violation(
                ViolationKind.REPEATED_TOKEN, record["key"], f"token {token.offset}"
            )
            continue
        if token.offset > expected:
            yield _make_missing_violation(record, expected, token.offset)
        expected = token.offset + 1
    finish = record["finish_offset"]
    if record["outcome"] == COMPLETED and finish != expected:
        yield _make_missing_violation(record, expected, finish or 0)


def _make_missing_violation(record: RequestRecord, first: int, end: int) -> Violation:
    return Violation(
        ViolationKind.MISSING_TOKEN,
        record["key"],
        f"tokens {first} up to {end}",
        max(1, end - first),
    )


def _check_texts(record: RequestRecord) -> Iterator[Violation]:
    for token in record["tokens"]:
        _, _, offset = token.text.partition(":")
        if offset != f"{token.offset} ":
            yield Violation(
                ViolationKind.MISSING_TOKEN,
                record["key"],
                f"event {token.offset} carries the text {token.text!r}",
            )


def _read_origin(token: ReceivedToken) -> str:
    return token.text.partition(":")[0]


def _check_origins(record: RequestRecord) -> Iterator[Violation]:
    origins = {_read_origin(token) for token in record["tokens"]}
    generations = {token.generation for token in record["tokens"]}
    if len(origins) > 1 or len(generations) > 1:
        yield Violation(
            ViolationKind.MIXED_ANSWER,
            record["key"],
            f"origins {sorted(origins)}, generations {sorted(generations)}",
        )
    for origin in sorted(origins):
        if origin[:PROMPT_ORIGIN_DIGITS] != record["prompt_origin"]:
            yield Violation(
                ViolationKind.FOREIGN_ANSWER, record["key"], f"origin {origin}"
            )


def _check_finish(record: RequestRecord, lines: list[LogLine]) -> Iterator[Violation]:
    if record["outcome"] != COMPLETED or not record["tokens"]:
        return
    origin = _read_origin(record["tokens"][-1])
    ends = {
        line.offset
        for line in lines
        if line.event == "finish" and line.origin == origin
    }
    if record["finish_offset"] not in ends:
        yield Violation(
            ViolationKind.MISSING_TOKEN,
            record["key"],
            f"ended at {record['finish_offset']}, engines ended at {sorted(ends)}",
        )


def _check_untagged_errors(record: RequestRecord) -> Iterator[Violation]:
    for connection in record["connections"]:
        if connection["outcome"] == "untagged":
            yield Violation(
                ViolationKind.UNTAGGED_ERROR,
                record["key"],
                f"status {connection['status']}: {connection['reason']}",
            )
