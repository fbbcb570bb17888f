"""The story of one request from the log lines of all instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

STATE_EVENTS = frozenset(
    {
        "backend_listed",
        "backend_suspected",
        "backend_unlisted",
        "configuration_in_force",
        "instance_changed",
        "instance_leaving",
        "instance_started",
        "peer_state_taken",
        "process_adopted",
        "settings_reloaded",
        "store_lost",
        "store_regained",
    }
)
OMITTED_FIELDS = frozenset({"event", "level", "request", "timestamp"})


class LogLine(NamedTuple):
    """One line of a log.

    Parameters
    ----------
    source : str
        File that it came from.
    time : str
        ISO 8601.
    event : str
    fields : dict
        All of the line.
    """

    source: str
    time: str
    event: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the line for a reader."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in OMITTED_FIELDS
        )
        return f"{self.time} {self.source} {self.event} {details}".rstrip()


def parse_log_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log that can be understood.

    What stands before the JSON object of a line, such as a prefix that a collector
    adds, is passed over; so are lines of other programs.

    Parameters
    ----------
    source : str
    lines : iterable of str

    Yields
    ------
    LogLine
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            time = str(fields.get("timestamp", ""))
            yield LogLine(source, time, str(fields["event"]), fields)


def build_request_timeline(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return what concerns one request, in order of time.

    Beside the lines that name the request, these are the changes of what its
    instances believed about its servers, the store and the configuration while it
    was under way.

    Parameters
    ----------
    request_id : str
    lines : iterable of LogLine

    Returns
    -------
    list of LogLine
        Empty if no line names the request.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request") == request_id]
    if not own:
        return []
    first, last = min(line.time for line in own), max(line.time for line in own)
    sources = {line.source for line in own}
    servers = {line.fields.get("server") for line in own} - {None}
    around = [
        line
        for line in known
        if line.event in STATE_EVENTS
        and line.source in sources
        and first <= line.time <= last
        and _concerns(line, servers)
    ]
    return sorted([*own, *around], key=lambda line: line.time)


def _concerns(line: LogLine, servers: set[str]) -> bool:
    named = line.fields.get("server")
    return named is None or named in servers
