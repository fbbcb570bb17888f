"""Inputs of the checks: execution logs, timeline and callers' records."""

from __future__ import annotations

import enum
import json
import pathlib
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from ebonyhaven_standins.caller import RequestRecord

PROMPT_ORIGIN_DIGITS = 6


class LogLine(NamedTuple):
    """One line of an execution log.

    ``time`` is in seconds since the epoch. Token counts cover the time since the
    previous line of the same run.
    """

    time: float
    server: str
    event: str
    run_id: str
    offset: int
    prefill_tokens: int
    decoded_tokens: int
    origin: str


class TimelineKind(enum.StrEnum):
    """Kind of an injected fault or an observed state change."""

    ENGINE_KILLED = "engine_killed"
    INSTANCE_KILLED = "instance_killed"
    INSTANCE_TERMINATED = "instance_terminated"
    SERVER_LEAVING = "server_leaving"
    SERVER_LIVE = "server_live"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_SEEN = "configuration_seen"


class TimelineEvent(NamedTuple):
    """One event of a timeline.

    ``time`` is in seconds since the epoch. ``name`` identifies a backend server, the
    caller address of an instance or, for ``CONFIGURATION_SEEN``, an instance and its
    incarnation. ``version`` is the version of a configuration.
    """

    time: float
    kind: TimelineKind
    name: str
    version: int = 0


class Timeline:
    """Records timeline events in chronological order."""

    __slots__ = ("events",)

    def __init__(self) -> None:
        self.events: list[TimelineEvent] = []

    def add(self, kind: TimelineKind, name: str, *, version: int = 0) -> float:
        """Record an event and return its time, in seconds since the epoch."""
        now = time.time()
        self.events.append(TimelineEvent(now, kind, name, version))
        return now


class Evidence(NamedTuple):
    """Records of callers, log lines of backend servers and the timeline.

    Records and log lines are matched by their prompt origin: the hash prefix of the
    prompt that begins each token text.
    """

    records: list[RequestRecord]
    lines: list[LogLine]
    timeline: list[TimelineEvent]

    def group_lines(self) -> dict[str, list[LogLine]]:
        """Return the log lines by prompt origin, in chronological order."""
        groups: dict[str, list[LogLine]] = defaultdict(list)
        for line in self.lines:
            if line.origin:
                groups[line.origin[:PROMPT_ORIGIN_DIGITS]].append(line)
        return groups

    def group_records(self) -> dict[str, list[RequestRecord]]:
        """Return the callers' records by prompt origin."""
        groups: dict[str, list[RequestRecord]] = defaultdict(list)
        for record in self.records:
            groups[record["prompt_origin"]].append(record)
        return groups


def read_execution_logs(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Return the lines of execution logs in chronological order.

    Omits an incomplete last line, as a killed process may leave behind.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Log files; missing files are skipped.
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
