"""Whether servers get more requests or more time than they should (BUDGET)."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak._callers import STREAM_PATHS, get_time_limit_s
from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import DisturbanceKind
from tests.platform_adapter.soak._server_log import Arrival, NamedRest

UNDER_WAY_S = 0.5
MAX_IN_REST = 2
MISDIRECTED_STATUS = 421
MAX_EXCESS_S = 0.5  # of the time that a server is told to have
MAX_EXCESSES = 20
MAX_EXCESS_SHARE = 0.2
EXCUSES = frozenset(
    {
        DisturbanceKind.KILL,
        DisturbanceKind.STOP,
        DisturbanceKind.FREEZE,
        DisturbanceKind.CUT,
    }
)


def check_rests(
    arrivals: Iterable[Arrival],
    rests: Iterable[NamedRest],
    history: ContactHistory,
) -> list[str]:
    """Return rests in which a server got requests of the instance that it told."""
    by_sender = defaultdict(list)
    for each in arrivals:
        result = history.find_result(each.request_id)
        if result is not None and each.refused_with != MISDIRECTED_STATUS:
            by_sender[result.instance, each.process].append(each)
    problems = []
    for rest in rests:
        result = history.find_result(rest.request_id)
        until = rest.at + rest.rest_s
        if result is None or _is_excused(result.instance, rest, until, history):
            continue
        late = [
            each
            for each in by_sender[result.instance, rest.process]
            if rest.at + UNDER_WAY_S < each.received_at < until
        ]
        if len(late) > MAX_IN_REST:
            problems.append(_describe_rest(rest, late, result.instance))
    return problems


def _is_excused(
    instance: str, rest: NamedRest, until: float, history: ContactHistory
) -> bool:
    disturbances = history.list_disturbances(instance, rest.at, until)
    if any(each.kind in EXCUSES for each in disturbances):
        return True
    return history.is_held_up(rest.process, rest.at - CONTACT_S, until)


def _describe_rest(rest: NamedRest, late: Sequence[Arrival], instance: str) -> str:
    seen = [
        f"{each.request_id} ({each.path}) {each.received_at - rest.at:+.3f}"
        for each in late[:8]
    ]
    return (
        f"BUDGET: {len(late)} requests of {instance} reached {rest.process}, which had "
        f"told it with {rest.request_id} at {rest.at:.3f} to rest for "
        f"{rest.rest_s:.2f} s: {seen}"
    )


def check_times_handed_on(
    arrivals: Iterable[Arrival], history: ContactHistory
) -> list[str]:
    """Return whether servers are told to have more time than callers give."""
    first_end: dict[str, float] = {}
    counted, excesses = 0, []
    for each in sorted(arrivals, key=lambda arrival: arrival.received_at):
        result = history.find_result(each.request_id)
        if result is None or each.remaining_s is None:
            continue
        if each.path.startswith(STREAM_PATHS):
            continue
        if not history.is_in_touch(result.instance, result.sent_at, each.received_at):
            continue
        end = each.received_at + each.remaining_s
        limit_s = get_time_limit_s(each.path)
        is_late_repeat = (
            each.request_id in first_end
            and each.received_at > result.sent_at + MAX_EXCESS_S
        )
        latest = min(
            first_end.setdefault(each.request_id, end), result.sent_at + limit_s
        )
        is_longer = each.remaining_s > limit_s + MAX_EXCESS_S
        if is_longer or is_late_repeat:
            counted += 1
        if is_longer or (is_late_repeat and end > latest + MAX_EXCESS_S):
            excesses.append(each.request_id)
    if len(excesses) <= max(MAX_EXCESSES, MAX_EXCESS_SHARE * counted):
        return []
    return [f"BUDGET: {len(excesses)} were handed more time: {excesses[:8]}"]
