"""What must hold between what servers ran and what callers were told."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak._callers import PROMISES, Result
from tests.platform_adapter.soak._servers import STREAM_EVENTS, Arrival

CUT_OFF_FAILURES = 10  # besides one in 50 of all requests
MAX_CRASH_REPEATS = 3


def check_runs(arrivals: Sequence[Arrival]) -> list[str]:
    """Return requests that must run once at most and ran more often."""
    runs = defaultdict(list)
    for each in arrivals:
        if each.has_run:
            runs[each.request_id].append(each)
    return [
        f"TWICE: {request_id} ran at {[each.process for each in found]}"
        for request_id, found in runs.items()
        if len(found) > 1 and not found[0].path.startswith("/repeat")
    ]


def check_refusals(arrivals: Sequence[Arrival], results: Iterable[Result]) -> list[str]:
    """Return requests that were refused as not run, and ran."""
    ran = {each.request_id: each for each in arrivals if each.has_run}
    return [
        f"REFUSED: {each.request_id} ({each.path}) got {each.status} at "
        f"{each.ended_at:.3f}, ran at {ran[each.request_id].process} "
        f"{ran[each.request_id].at:.3f}"
        for each in results
        if each.status in PROMISES
        and each.request_id in ran
        and not each.path.startswith("/repeat")
    ]


def check_answers(results: Iterable[Result]) -> list[str]:
    """Return successes that are not the whole answer to their request."""
    problems = []
    for each in results:
        if each.status != 200 or not each.is_whole:
            continue
        if each.path.startswith("/fixed"):
            expected = b"".join(
                f"id: {number}\ndata: piece {number}\n\n".encode()
                for number in range(1, STREAM_EVENTS + 1)
            )
        else:
            expected = f"answer to {each.request_id}".encode()
        if each.body != expected or each.stamp is None:
            problems.append(
                f"MIXED: {each.request_id} got {each.stamp} {each.body!r}, "
                f"not {expected!r}"
            )
    return problems


def check_attempts(arrivals: Iterable[Arrival], max_attempts: int) -> list[str]:
    """Return repeatable requests that ran on more servers than their route allows."""
    servers = defaultdict(set)
    for each in arrivals:
        if each.has_run and each.path.startswith("/repeat"):
            servers[each.request_id].add(each.process)
    return [
        f"BUDGET: {request_id} ran on {len(found)} servers"
        for request_id, found in servers.items()
        if len(found) > max_attempts
    ]


def check_repeats(
    arrivals: Iterable[Arrival],
    results: Iterable[Result],
    *,
    ratio: float,
    slack: float,
    window_s: float,
) -> list[str]:
    """Return the windows in which a service got too many repeated arrivals."""
    seen = set()
    repeats = []
    for each in sorted(arrivals, key=lambda arrival: arrival.at):
        if each.request_id in seen:
            repeats.append(each.at)
        seen.add(each.request_id)
    sent = sorted(each.sent_at for each in results)
    problems = []
    for start in repeats:
        count = sum(start <= at < start + window_s for at in repeats)
        offered = max(
            sum(start - shift <= at < start - shift + window_s for at in sent)
            for shift in (0.0, window_s / 2, window_s)
        )
        if count > ratio * offered + slack:
            problems.append(
                f"BUDGET: {count} repeats from {start:.3f} for {offered} requests"
            )
    return problems[:1]


def check_crashes(
    arrivals: Iterable[Arrival], crashing_path: str, contact_s: float
) -> list[str]:
    """Return requests that crash servers and were sent on after three had ended."""
    found = sorted(
        (each for each in arrivals if each.path.startswith(crashing_path)),
        key=lambda arrival: arrival.at,
    )
    if len(found) < 3:
        return []
    late = [each for each in found[3:] if each.at > found[2].at + contact_s]
    if len(late) <= MAX_CRASH_REPEATS:
        return []
    seen = [f"{each.at:.3f} {each.request_id} {each.process}" for each in found]
    return [f"BUDGET: a request that crashes servers reached {len(late)} more: {seen}"]


def check_cut_off(at_cut: Sequence[Result], at_others: Sequence[Result]) -> list[str]:
    """Return whether instances that reach no server serve far less than the others.

    Parameters
    ----------
    at_cut, at_others : sequence of Result
        First tries of callers at these instances and at all others in the time.
    """

    def count_served(results):
        return sum(each.status == 200 and each.is_whole for each in results)

    served, served_elsewhere = count_served(at_cut), count_served(at_others)
    failed = len(at_cut) - served
    if failed <= CUT_OFF_FAILURES + (len(at_cut) + len(at_others)) / 50:
        return []
    if served * len(at_others) >= 2 / 3 * served_elsewhere * len(at_cut):
        return []
    return [
        f"RECOVER: {served} of {len(at_cut)} served at instances that reach no server, "
        f"{served_elsewhere} of {len(at_others)} at the others"
    ]
