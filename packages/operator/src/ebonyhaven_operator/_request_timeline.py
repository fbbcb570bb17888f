"""Timeline of one request from the logs of all instances."""

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
CRASH_EVENTS = frozenset(
    {
        "blocked_trait_tried",
        "crash_evidence_received",
        "crashes_cleared",
        "server_loss_checked",
        "service_crashed",
    }
)
OMITTED_FIELDS = frozenset({"event", "level", "request", "timestamp"})


class LogLine(NamedTuple):
    """Structured line of an instance's log.

    Parameters
    ----------
    source : str
        Name of the log file without its suffix.
    time : str
        Timestamp in ISO 8601.
    event : str
        Name of the logged event.
    fields : dict
        All fields of the line, including the event and the timestamp.
    """

    source: str
    time: str
    event: str
    fields: dict[str, Any]

    @property
    def traits(self) -> set[str]:
        """What requests have in common, as named by the line."""
        traits = self.fields.get("traits")
        if not isinstance(traits, list):
            traits = [self.fields.get("trait")]
        return {trait for trait in traits if isinstance(trait, str)}

    def describe(self) -> str:
        """Format the line as text for operators."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in OMITTED_FIELDS
        )
        return f"{self.time} {self.source} {self.event} {details}".rstrip()


def parse_log_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the structured lines of a log.

    Text before the JSON object of a line, such as the prefix of a log collector, is
    ignored. Lines without a JSON object that names an event are skipped.

    Parameters
    ----------
    source : str
        Name of the log file without its suffix.
    lines : iterable of str
        Lines of the log file.

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
    """Return the log lines that are relevant to one request, ordered by time.

    These are the lines with the id of the request and, between the first and the
    last of them, the state changes that its instances logged about its backend
    servers, other instances, the store, the configuration and the settings. What
    they logged earlier about servers that crashed is relevant as well if the request
    has a part of its prompt or its content in common with what those were running.

    Parameters
    ----------
    request_id : str
    lines : iterable of LogLine
        Log lines of all instances in any order.

    Returns
    -------
    list of LogLine
        Empty if no line has the id of the request.
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return []
    first, last = (
        min(line.time for line in request_lines),
        max(line.time for line in request_lines),
    )
    sources = {line.source for line in request_lines}
    servers = {line.fields.get("server") for line in request_lines} - {None}
    state_lines = [
        line
        for line in all_lines
        if line.event in STATE_EVENTS
        and line.source in sources
        and first <= line.time <= last
        and _is_relevant_to_servers(line, servers)
    ]
    traits = set().union(*(line.traits for line in request_lines))
    crash_lines = [
        line
        for line in all_lines
        if line.event in CRASH_EVENTS
        and line.source in sources
        and line.time <= last
        and not traits.isdisjoint(line.traits)
    ]
    timeline = [*request_lines, *state_lines, *crash_lines]
    return sorted(timeline, key=lambda line: line.time)


def _is_relevant_to_servers(line: LogLine, servers: set[str]) -> bool:
    server = line.fields.get("server")
    return server is None or server in servers
