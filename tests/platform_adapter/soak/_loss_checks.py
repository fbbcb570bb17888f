"""Whether requests that were read are answered (LOST)."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence

from tests.platform_adapter.soak._callers import (
    STREAM_PATHS,
    Result,
    get_time_limit_s,
)
from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._configurations import (
    LONG_ROUTE_TIMEOUT_S,
    ROUTE_TIMEOUTS_S,
)
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import DisturbanceKind, Termination
from tests.platform_adapter.soak._server_log import Arrival, RunEnd, ServerLog

APPLY_S = 2.0  # until a configuration is in force
GRACE_END_S = 1.0
GRACE_SHARE = 5 / 6  # after which a server that is still at work excuses a cut
LATE_SENT_S = 3.0  # after the signal; later requests are not excused by it
LOSS_SLACK_S = 0.2
MAX_CLOSED_CHANNELS = 3
MAX_CUT_RATIO = 3.0
TIMEOUT_SLACK_S = 0.1
USED_SHARE = 0.7  # of its time, from which on a request beside a configuration is not
SIGNAL_SLACK_S = 0.1


class CutHistory:
    """Requests whose channel an instance ended without a complete answer.

    Parameters
    ----------
    results : sequence of Result
    log : ServerLog
    history : ContactHistory
    """

    def __init__(
        self, results: Sequence[Result], log: ServerLog, history: ContactHistory
    ):
        self.history = history
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        self._ends: dict[str, list[RunEnd]] = defaultdict(list)
        for each in log.arrivals:
            self._arrivals[each.request_id].append(each)
        for each in log.ends:
            self._ends[each.request_id].append(each)
        self.cuts = [each for each in results if self._is_cut(each)]

    def _is_cut(self, result: Result) -> bool:
        if result.is_whole or result.is_given_up:
            return False
        return not is_time_over(result) and not self.is_broken_off(result)

    def is_broken_off(self, result: Result) -> bool:
        """Return whether a server ended the request without an answer."""
        return any(each.is_broken_off for each in self._ends[result.request_id])

    def is_passed_on(self, result: Result) -> bool:
        return bool(self._arrivals[result.request_id])

    def is_read(self, result: Result) -> bool:
        """Return whether an instance has taken the request."""
        waited_s = result.ended_at - result.sent_at
        return self.is_passed_on(result) or waited_s > LOSS_SLACK_S

    def is_link_harmed(self, result: Result) -> bool:
        """Return whether a link to one of its servers was harmed, or any, if none."""
        since = result.sent_at - CONTACT_S
        arrivals = self._arrivals[result.request_id]
        if not arrivals:
            return self.history.is_any_link_harmed(since, result.ended_at)
        return any(
            self.history.is_held_up(each.process, since, result.ended_at)
            for each in arrivals
        )

    def is_at_work(self, result: Result, since: float) -> bool:
        """Return whether a server was at work on the request later than a time."""
        ended_at = {each.process: each.at for each in self._ends[result.request_id]}
        return any(
            each.has_run and ended_at.get(each.process, math.inf) >= since
            for each in self._arrivals[result.request_id]
            if each.at <= result.ended_at
        )

    def describe(self, result: Result) -> str:
        servers = ", ".join(
            f"{each.process} {each.received_at - result.sent_at:+.3f}"
            f"/{each.at - result.sent_at:+.3f}"
            f"{'' if each.has_run else f' refused {each.refused_with}'}"
            for each in self._arrivals[result.request_id]
        )
        return (
            f"{result.request_id} ({result.path}) of {result.instance} at "
            f"{result.sent_at:.3f}, status {result.status}, cut after "
            f"{result.ended_at - result.sent_at:.3f} s; at servers: {servers or 'none'}"
        )


def is_time_over(result: Result) -> bool:
    """Return whether a request ended at the end of its time, or later."""
    lasted_s = result.ended_at - result.sent_at
    return lasted_s >= get_time_s(result.path) - TIMEOUT_SLACK_S


def get_time_s(path: str) -> float:
    """Return the time that a request has by its route and its caller."""
    route = path.split("/")[1]
    timeout_s = ROUTE_TIMEOUTS_S.get(route, LONG_ROUTE_TIMEOUT_S)
    return min(timeout_s, get_time_limit_s(path))


def check_closed_channels(history: CutHistory) -> list[str]:
    """Return requests that were passed on from kept channels and not answered."""
    found = defaultdict(list)
    for each in history.cuts:
        is_in_touch = history.history.is_in_touch(
            each.instance, each.sent_at, each.ended_at
        )
        if (
            each.is_on_kept
            and each.status is None
            and history.is_passed_on(each)
            and is_in_touch
            and not history.is_link_harmed(each)
        ):
            found[each.instance].append(each)
    return [
        f"LOST: closed {len(cuts)} kept channels, {history.describe(each)}"
        for cuts in found.values()
        if len(cuts) > MAX_CLOSED_CHANNELS
        for each in cuts
    ]


def list_steady_cuts(history: CutHistory) -> list[str]:
    """Return answers that ended early at instances that were not disturbed."""
    return [
        f"cut: {history.describe(each)}"
        for each in history.cuts
        if history.history.is_in_touch(each.instance, each.sent_at, each.ended_at)
        and not history.is_link_harmed(each)
    ]


def check_stops(history: CutHistory, terminations: Sequence[Termination]) -> list[str]:
    """Return requests that a planned stop of their instance left unanswered."""
    return [
        f"LOST: {stop.describe()}, "
        f"{each.ended_at - stop.at:.3f} s before the cut: {history.describe(each)}"
        for stop in terminations
        for each in history.cuts
        if each.instance == stop.instance
        and stop.at <= each.ended_at <= stop.at + stop.grace_s + GRACE_END_S
        and history.is_read(each)
        and not is_at_work_late(history, each, stop)
        and not _is_excused(history, each, stop)
    ]


def is_at_work_late(history: CutHistory, result: Result, stop: Termination) -> bool:
    """Return whether a server was at work late on a request sent early in a stop."""
    late_at = stop.at + GRACE_SHARE * stop.grace_s
    return (
        result.sent_at <= stop.at + LATE_SENT_S
        and result.ended_at >= late_at
        and history.is_at_work(result, late_at)
    )


def _is_excused(history: CutHistory, result: Result, stop: Termination | None) -> bool:
    """Return whether anything unplanned disturbed a request."""
    since, until = result.sent_at - CONTACT_S, result.ended_at
    contact = history.history
    unplanned = [
        each
        for each in contact.list_disturbances(result.instance, since, until)
        if stop is None
        or each.kind is not DisturbanceKind.STOP
        or abs(each.begin - stop.at) > SIGNAL_SLACK_S
    ]
    is_stream = result.path.startswith(STREAM_PATHS)
    is_store_unstable = is_stream and not contact.is_store_stable(result.sent_at, until)
    return bool(unplanned) or is_store_unstable or history.is_link_harmed(result)


def check_configuration_cuts(
    history: CutHistory,
    configurations: Sequence[float],
    since: float,
    until: float,
) -> list[str]:
    """Return cuts beside new configurations, if they are far more often then."""
    spans = _merge([(at, at + APPLY_S + GRACE_END_S) for at in configurations])
    beside_s = sum(min(end, until) - begin for begin, end in spans)
    other_s = until - since - beside_s
    beside, others = defaultdict(list), defaultdict(int)
    for each in history.cuts:
        used_s = each.ended_at - each.sent_at
        is_counted = used_s < USED_SHARE * get_time_s(each.path)
        if _is_excused(history, each, None) or not history.is_read(each):
            continue
        if is_counted and any(b <= each.ended_at <= e for b, e in spans):
            beside[each.instance].append(each)
        else:
            others[each.instance] += 1
    return [
        f"LOST: beside a configuration ({len(cuts)} in {beside_s:.1f} s, "
        f"{others[instance]} in {other_s:.1f} s): {history.describe(each)}"
        for instance, cuts in beside.items()
        if len(cuts) * other_s > MAX_CUT_RATIO * others[instance] * beside_s
        for each in cuts
    ]


def _merge(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((begin, end))
    return merged
