"""Execution logs of backend servers and the timeline of a run."""

from __future__ import annotations

import enum
import json
import pathlib
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from ebonyhaven_standins.caller import RequestRecord

PROMPT_DIGITS = 6


class LogLine(NamedTuple):
    """One line of an execution log; token counts since the line before."""

    time: float
    server: str
    event: str
    run_id: str
    offset: int
    prefill_tokens: int
    decoded_tokens: int
    origin: str


class TimelineKind(enum.StrEnum):
    """What a test or tool did, or saw, at a time."""

    ENGINE_KILLED = "engine_killed"
    INSTANCE_KILLED = "instance_killed"
    INSTANCE_TERMINATED = "instance_terminated"
    SERVER_LEAVING = "server_leaving"
    SERVER_LIVE = "server_live"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_SEEN = "configuration_seen"


class TimelineEvent(NamedTuple):
    """One event of a timeline.

    ``name`` is a backend server, the caller address of an instance, or for
    ``CONFIGURATION_SEEN`` an instance and its incarnation; ``version`` is that
    of a configuration.
    """

    time: float
    kind: TimelineKind
    name: str
    version: int = 0


class Timeline:
    """Collects timeline events as they happen."""

    __slots__ = ("events",)

    def __init__(self) -> None:
        self.events: list[TimelineEvent] = []

    def add(self, kind: TimelineKind, name: str, *, version: int = 0) -> float:
        """Record an event at the present time and return that time."""
        now = time.time()
        self.events.append(TimelineEvent(now, kind, name, version))
        return now


class Evidence(NamedTuple):
    """Everything that the checks read."""

    records: list[RequestRecord]
    lines: list[LogLine]
    timeline: list[TimelineEvent]

    def group_lines(self) -> dict[str, list[LogLine]]:
        """Return the log lines of runs by the prompt's digits, in order."""
        groups: dict[str, list[LogLine]] = defaultdict(list)
        for line in self.lines:
            if line.origin:
                groups[line.origin[:PROMPT_DIGITS]].append(line)
        return groups

    def group_records(self) -> dict[str, list[RequestRecord]]:
        """Return the callers' records by the prompt's digits."""
        groups: dict[str, list[RequestRecord]] = defaultdict(list)
        for record in self.records:
            groups[record["prompt_origin"]].append(record)
        return groups


def read_execution_logs(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the lines of execution logs in order of time.

    A last line that a kill cut short is left out.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files; absent ones are skipped.
    """
    lines = []
    for path in paths:
        if path.exists():
            texts = path.read_text().splitlines(keepends=True)
            lines += [_read_line(text) for text in texts if text.endswith("\n")]
    return sorted(lines)


def _read_line(text: str) -> LogLine:
    fields = json.loads(text)
    return LogLine(
        time=fields["time"],
        server=fields["server"],
        event=fields["event"],
        run_id=fields.get("run_id") or "",
        offset=fields.get("offset", 0),
        prefill_tokens=fields.get("prefill_tokens", 0),
        decoded_tokens=fields.get("decoded_tokens", 0),
        origin=fields.get("origin", ""),
    )
