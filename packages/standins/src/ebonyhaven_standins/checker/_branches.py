"""Check that an answer follows one line of continuations."""

from __future__ import annotations

from collections.abc import Iterator

from ebonyhaven_standins.caller import ReceivedToken, RequestRecord
from ebonyhaven_standins.checker._logs import Evidence, LogLine
from ebonyhaven_standins.checker._violations import Violation, ViolationKind

_BRANCH_EVENTS = frozenset({"start", "continue"})


def check_branches(evidence: Evidence) -> Iterator[Violation]:
    """Yield the answers that join two diverged continuations of one generation.

    An engine that continued a run from offset M computes its token K from its own
    tokens M to K - 1. A caller that takes token K of that engine must hold those
    very tokens; holding another engine's for them is a mix of two outputs, even
    though both belong to one generation.

    Parameters
    ----------
    evidence : Evidence
    """
    lines = evidence.group_lines()
    for record in evidence.records:
        branches = [
            line
            for line in lines.get(record["prompt_origin"], [])
            if line.event in _BRANCH_EVENTS
        ]
        yield from _check_record(record, branches)


def _check_record(
    record: RequestRecord, branches: list[LogLine]
) -> Iterator[Violation]:
    tokens = record["tokens"]
    for before, token in zip(tokens, tokens[1:], strict=False):
        if before.server == token.server:
            continue
        offsets = _list_branch_offsets(token, branches)
        if offsets and all(_holds_others(tokens, first, token) for first in offsets):
            yield Violation(
                ViolationKind.MIXED_ANSWER,
                record["key"],
                f"token {token.offset} of {token.server} follows its own tokens from "
                f"{offsets[-1]} on, which the caller did not receive",
            )


def _list_branch_offsets(token: ReceivedToken, branches: list[LogLine]) -> list[int]:
    origin = token.text.partition(":")[0]
    return [
        line.offset
        for line in branches
        if line.server == token.server
        and line.origin == origin
        and line.time <= token.time
    ]


def _holds_others(
    tokens: list[ReceivedToken], first: int, token: ReceivedToken
) -> bool:
    return any(
        first <= held.offset < token.offset and held.server != token.server
        for held in tokens
    )
