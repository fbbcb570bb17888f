"""Timelines of requests from the logs of instances and what servers noted."""

from __future__ import annotations

import datetime
import json
import pathlib
import re

from ebonyhaven_standins.log_lines import read_whole_lines

from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._places import Departure
from tests.platform_adapter.soak._server_log import ServerLog

AROUND_S = 12.0
REQUEST_ID = re.compile(r"\bc\d+-\d+\b")
SERVER_EVENTS = frozenset({"backend_listed", "backend_unlisted"})


def write_traces(
    directory: pathlib.Path,
    problems: list[str],
    log: ServerLog,
    departures: list[Departure],
    history: ContactHistory,
) -> None:
    """Write what is known of each request that a problem names."""
    lines = _read_logs(directory)
    with (directory / "traces.txt").open("w") as file:
        for problem in problems:
            file.write(f"\n{problem}\n")
            found = REQUEST_ID.search(problem)
            if found is not None:
                for at, text in sorted(
                    _trace(found.group(), lines, log, departures, history)
                ):
                    file.write(f"  {at:.3f} {text}\n")


def _read_logs(directory: pathlib.Path) -> list[tuple[float, str, dict]]:
    found = []
    for path in sorted(directory.glob("*.log")):
        for line in read_whole_lines(path):
            if line.startswith("{"):
                entry = json.loads(line)
                at = datetime.datetime.fromisoformat(entry.pop("timestamp"))
                found.append((at.timestamp(), path.stem, entry))
    return found


def _trace(request_id, lines, log: ServerLog, departures, history: ContactHistory):
    """Yield what is known of a request, as times and texts."""
    result = history.find_result(request_id)
    if result is None:
        return
    since, until = result.sent_at - AROUND_S, result.ended_at + 1.0
    yield result.sent_at, f"caller sends it to {result.instance}"
    yield (
        result.ended_at,
        f"caller: status {result.status}, whole {result.is_whole}, "
        f"given up {result.is_given_up}",
    )
    arrivals = [each for each in log.arrivals if each.request_id == request_id]
    processes = {each.process for each in arrivals}
    for each in arrivals:
        yield each.received_at, f"{each.process}: bytes have come"
        yield each.at, f"{each.process}: read, has_run {each.has_run}"
    for each in log.ends:
        if each.request_id == request_id:
            yield each.at, f"{each.process}: ended, broken off {each.is_broken_off}"
    for each in departures:
        if each.process in processes:
            yield each.at, f"store: {each.process} {each.reason}"
    yield from _list_faults(since, until, history)
    for at, instance, entry in lines:
        is_about_server = (
            since < at < until
            and entry.get("event") in SERVER_EVENTS
            and entry.get("server") in processes
        )
        if request_id in _list_requests(entry) or is_about_server:
            yield at, f"{instance}: {json.dumps(entry)[:400]}"


def _list_requests(entry: dict) -> tuple:
    return entry.get("request"), entry.get("request_id")


def _list_faults(since: float, until: float, history: ContactHistory):
    faults = history.faults
    for each in (
        *faults.processes,
        *faults.links,
        *faults.pauses,
        *faults.server_links,
    ):
        if each.overlaps(since, until):
            lasted_s = each.end - each.begin
            yield (
                each.begin,
                f"fault: {each.kind.value} of {each.name}, {lasted_s:.3f} s",
            )
    for begin, end in faults.stalls:
        if begin < until and end > since:
            yield begin, f"the soak itself stood still for {end - begin:.3f} s"
    for begin, end in faults.store_times:
        if begin < until and end > since:
            yield begin, f"fault: store, {end - begin:.3f} s"
