"""Whether servers are left alone by requests whose callers have gone (GONE)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._server_log import Arrival, ServerLog
from tests.platform_adapter.soak._servers import (
    LONG_EVENT_INTERVAL_S,
    LONG_PATH,
    STREAM_EVENTS,
)

TOLD_S = 0.5
MAX_LATE_ARRIVALS = 3
MAX_WORKING_SHARE = 0.25
MIN_RUNS = 8  # that would have lasted longer; fewer tell nothing of a share


def check_gone(
    results: Iterable[Result], log: ServerLog, history: ContactHistory
) -> list[str]:
    """Return requests that servers got or ran after their callers had gone."""
    gone = {
        each.request_id: each
        for each in results
        if each.is_given_up
        and history.is_in_touch(each.instance, each.sent_at, each.ended_at + TOLD_S)
    }
    return [*_check_arrivals(gone, log.arrivals), *_check_work(gone, log, history)]


def _check_arrivals(gone: dict[str, Result], arrivals: Iterable[Arrival]) -> list[str]:
    late = [
        f"{each.request_id} {each.received_at - gone[each.request_id].ended_at:+.3f}"
        for each in arrivals
        if each.request_id in gone
        and each.received_at > gone[each.request_id].ended_at + TOLD_S
    ]
    if len(late) <= MAX_LATE_ARRIVALS:
        return []
    return [f"GONE: {len(late)} requests reached servers late: {late[:8]}"]


def _check_work(
    gone: dict[str, Result], log: ServerLog, history: ContactHistory
) -> list[str]:
    """Return whether servers went on with streams of seconds."""
    ends = {(each.request_id, each.process): each.at for each in log.ends}
    counted = [each for each in log.arrivals if _would_last(each, gone, history)]
    working = [
        each.request_id
        for each in counted
        if ends.get((each.request_id, each.process), math.inf)
        > gone[each.request_id].ended_at + TOLD_S
    ]
    if len(counted) < MIN_RUNS or len(working) <= MAX_WORKING_SHARE * len(counted):
        return []
    return [f"GONE: servers worked on {len(working)} of {len(counted)}: {working[:8]}"]


def _would_last(run: Arrival, gone: dict[str, Result], history: ContactHistory) -> bool:
    """Return whether a run was going on, and for long, when its caller left."""
    result = gone.get(run.request_id)
    if result is None or not run.has_run or not run.path.startswith(LONG_PATH):
        return False
    told_at = result.ended_at + TOLD_S
    is_begun = run.at < result.ended_at
    is_long = run.at + STREAM_EVENTS * LONG_EVENT_INTERVAL_S > told_at
    is_paused = history.is_paused(run.process, result.ended_at)
    held_up = history.is_held_up(run.process, result.ended_at, told_at)
    return is_begun and is_long and not (is_paused or held_up)
