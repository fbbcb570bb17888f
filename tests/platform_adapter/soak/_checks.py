"""What must hold between what servers ran and what callers were told."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak._callers import PROMISES, RESUMABLE_PATHS, Result
from tests.platform_adapter.soak._fault_log import NamedLimit
from tests.platform_adapter.soak._server_log import Arrival, Fall
from tests.platform_adapter.soak._servers import STREAM_EVENTS, encode_event

CUT_OFF_FAILURES = 10  # besides one in 50 of all requests
CONTACT_S = 3.0
LIMIT_SPAN_S = 4.0
MAX_CRASH_REPEATS = 3
NEW_VERSION, OLD_VERSION = "v2", "v1"
NEW_VERSION_PLACES = ("e6", "w")  # one of the engines, and all writers
REPEATABLE = (
    "/repeat",
    *RESUMABLE_PATHS,
)  # paths of requests that may run more than once
TOLD_S = 0.5


class SoakHistory:
    """Which instance each request was sent to, and when instances were disturbed.

    Parameters
    ----------
    results : iterable of Result
    disturbances : sequence of Disturbance
        Of instances.
    """

    def __init__(self, results, disturbances):
        self._instances = {each.request_id: each.instance for each in results}
        self._disturbances = disturbances

    def find_instance(self, request_id: str) -> str:
        return self._instances.get(request_id, "")

    def is_disturbed(self, instance: str, since: float, until: float) -> bool:
        """Return whether an instance was disturbed in a time, or is unknown."""
        return not instance or any(
            each.name == instance and each.overlaps(since, until)
            for each in self._disturbances
        )


def check_runs(arrivals: Sequence[Arrival]) -> list[str]:
    """Return requests that must run once at most and ran more often."""
    runs = defaultdict(list)
    for each in arrivals:
        if each.has_run:
            runs[each.request_id].append(each)
    return [
        f"TWICE: {request_id} ran at {[each.process for each in found]}"
        for request_id, found in runs.items()
        if len(found) > 1 and not found[0].path.startswith(REPEATABLE)
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
        and not each.path.startswith(REPEATABLE)
    ]


def check_answers(results: Iterable[Result]) -> list[str]:
    """Return successes that are not the whole answer to their request."""
    problems = []
    for each in results:
        if each.status != 200 or not each.is_whole:
            continue
        if each.path.startswith(("/fixed", "/long")):
            expected = b"".join(
                encode_event(number, find_version(each.stamp))
                for number in range(1, STREAM_EVENTS + 1)
            )
        elif each.path.startswith(RESUMABLE_PATHS):
            continue  # see `check_streams`
        else:
            expected = f"answer to {each.request_id}".encode()
        if each.body != expected or each.stamp is None:
            problems.append(
                f"MIXED: {each.request_id} got {each.stamp} {each.body!r}, "
                f"not {expected!r}"
            )
    return problems


def find_version(stamp: str | None) -> str:
    """Return the software version of the server with a proof of origin."""
    return NEW_VERSION if (stamp or "").startswith(NEW_VERSION_PLACES) else OLD_VERSION


def check_streams(results: Iterable[Result]) -> list[str]:
    """Return streams whose events, over all tries, are not those of one version."""
    tries = defaultdict(list)
    for each in results:
        if each.path.startswith(RESUMABLE_PATHS) and each.status == 200:
            tries[each.first_id].append(each)
    problems = []
    for first_id, found in tries.items():
        body = b"".join(each.body for each in found)
        # The last event of a try that broke off may be cut.
        whole = b"".join(each.body[: each.body.rfind(b"\n\n") + 2] for each in found)
        count = whole.count(b"\n\n")
        expected = [
            b"".join(encode_event(number, version) for number in range(1, count + 1))
            for version in (OLD_VERSION, NEW_VERSION)
        ]
        is_complete = found[-1].is_whole
        if whole not in expected or (is_complete and count != STREAM_EVENTS):
            problems.append(f"ORDER: {first_id} in {len(found)} tries got {body!r}")
    return problems


def check_limits(
    arrivals: Sequence[Arrival], limits: Iterable[NamedLimit], history: SoakHistory
) -> list[str]:
    """Return servers that got far more requests than the limit that they named."""
    problems = []
    for limit in limits:
        at_server = [
            each
            for each in arrivals
            if each.process.rpartition("-")[0] == limit.place
            and limit.since <= each.at < limit.until
        ]
        told_at: dict[str, float] = {}
        counted = []
        for each in at_server:
            sender = history.find_instance(each.request_id)
            first_at = told_at.setdefault(sender, each.at)
            is_told = each.at >= first_at + TOLD_S
            is_bound = each.at >= limit.since + CONTACT_S and is_told
            if is_bound and not history.is_disturbed(sender, limit.since, each.at):
                counted.append(each.at)
        allowed = 1.5 * limit.rate * LIMIT_SPAN_S + 5
        for start in counted:
            count = sum(start <= at < start + LIMIT_SPAN_S for at in counted)
            if count > allowed:
                problems.append(
                    f"LIMIT: {limit.place} named {limit.rate:.2f} a second and got "
                    f"{count} in {LIMIT_SPAN_S:.0f} s from {start:.3f}"
                )
                break
    return problems


def check_falls(
    falls: Iterable[Fall],
    times: Iterable[tuple[float, float]],
    servers: int,
    history: SoakHistory,
) -> list[str]:
    """Return the times in which brittle servers fell over too often."""
    problems = []
    for since, until in times:
        counted = []
        for fall in falls:
            in_touch = [
                not history.is_disturbed(
                    history.find_instance(each), fall.at - CONTACT_S, fall.at
                )
                for each in fall.refused_ids
            ]
            is_in_time = since + CONTACT_S <= fall.at < until
            if is_in_time and sum(in_touch) > len(in_touch) / 2:
                counted.append(fall)
        if len(counted) > 2 + servers / 10:
            names = [f"{each.process} {each.at:.3f}" for each in counted]
            problems.append(f"LIMIT: brittle servers fell over: {names}")
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
