"""Check that an answer does not mix diverged continuations of a run."""

from __future__ import annotations

from collections.abc import Iterator

from ebonyhaven_standins.caller import ReceivedToken, RequestRecord
from ebonyhaven_standins.checker._logs import Evidence, LogLine
from ebonyhaven_standins.checker._violations import Violation, ViolationKind

_START_EVENTS = frozenset({"start", "continue"})


def check_continuations(evidence: Evidence) -> Iterator[Violation]:
    """Yield the violations where an answer mixes diverged continuations of a run.

    An engine that continued a run at offset M computes token K from the tokens M to
    K - 1 that it generated itself. A caller that receives token K from that engine
    must have received those same tokens. If it received them from another engine,
    the answer mixes two outputs, although both have the same generation.

    Parameters
    ----------
    evidence : Evidence
    """
    lines = evidence.group_lines()
    for record in evidence.records:
        starts = [
            line
            for line in lines.get(record["prompt_origin"], [])
            if line.event in _START_EVENTS
        ]
        yield from _check_record(record, starts)


def _check_record(record: RequestRecord, starts: list[LogLine]) -> Iterator[Violation]:
    tokens = record["tokens"]
    for previous, token in zip(tokens, tokens[1:], strict=False):
        if previous.server == token.server:
            continue
        offsets = _list_start_offsets(token, starts)
        if offsets and all(
            _received_from_another(tokens, first, token) for first in offsets
        ):
            yield Violation(
                ViolationKind.MIXED_ANSWER,
                record["key"],
                f"token {token.offset} of {token.server} continues the tokens that it "
                f"generated from {offsets[-1]} on, which the caller did not receive",
            )


def _list_start_offsets(token: ReceivedToken, starts: list[LogLine]) -> list[int]:
    origin = token.text.partition(":")[0]
    return [
        line.offset
        for line in starts
        if line.server == token.server
        and line.origin == origin
        and line.time <= token.time
    ]


def _received_from_another(
    tokens: list[ReceivedToken], first: int, token: ReceivedToken
) -> bool:
    return any(
        first <= other.offset < token.offset and other.server != token.server
        for other in tokens
    )
