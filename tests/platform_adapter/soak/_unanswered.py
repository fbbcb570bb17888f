"""Requests that got no complete answer, by what may have caused it."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak._callers import Result, has_left_early
from tests.platform_adapter.soak._checks import CONTACT_S
from tests.platform_adapter.soak._fault_log import (
    DisturbanceKind,
    FaultLog,
    Termination,
)
from tests.platform_adapter.soak._loss_checks import (
    GRACE_END_S,
    CutHistory,
    is_at_work_late,
    is_time_over,
)

OWN_FAILURES = range(500, 600)
REFUSED = 503


class Cause(enum.Enum):
    """Why a request may have got no complete answer."""

    CALLER_LEFT = "its caller left early"
    CALLER_TIME = "its caller's time was over"
    ROUTE_TIME = "its route's time was over"
    SERVER = "its server broke off"
    CROSSED = "not read in a stop"
    UNREAD = "not read, without a stop"
    SERVER_LINK = "a link to a server was harmed"
    UNPLANNED = "instance or store were disturbed"
    AT_WORK = "its server was at work late in a stop"
    STOP = "a stop"
    STARTED = "its instance had started shortly before"
    NONE = "nothing known"


UNEXPLAINED = frozenset(
    {Cause.CALLER_TIME, Cause.UNREAD, Cause.STOP, Cause.STARTED, Cause.NONE}
)


def find_cause(result: Result, cuts: CutHistory, faults: FaultLog) -> Cause:
    """Return the cause of a request without a complete answer."""
    stop = _find_stop(result, faults.terminations)
    disturbances = cuts.history.list_disturbances(
        result.instance, result.sent_at - CONTACT_S, result.ended_at
    )
    is_planned = all(each.kind is DisturbanceKind.STOP for each in disturbances)
    is_stable = cuts.history.is_store_stable(result.sent_at, result.ended_at)
    found = (
        (has_left_early(result), Cause.CALLER_LEFT),
        (cuts.is_broken_off(result), Cause.SERVER),
        (not cuts.is_read(result) and stop, Cause.CROSSED),
        (cuts.is_link_harmed(result), Cause.SERVER_LINK),
        (not is_planned or not is_stable, Cause.UNPLANNED),
        (result.is_given_up, Cause.CALLER_TIME),
        (is_time_over(result), Cause.ROUTE_TIME),
        (not cuts.is_read(result) and disturbances, Cause.CROSSED),
        (not cuts.is_read(result), Cause.UNREAD),
        (stop and is_at_work_late(cuts, result, stop), Cause.AT_WORK),
        (stop, Cause.STOP),
        (disturbances, Cause.STARTED),
    )
    return next((cause for applies, cause in found if applies), Cause.NONE)


def _find_stop(result: Result, stops: Sequence[Termination]) -> Termination | None:
    """Return the last stop of a request's instance that the request ended in."""
    found = [
        each
        for each in stops
        if each.instance == result.instance
        and each.at <= result.ended_at <= each.at + each.grace_s + GRACE_END_S
    ]
    return found[-1] if found else None


def list_unanswered(
    results: Iterable[Result], cuts: CutHistory, faults: FaultLog
) -> list[tuple[Cause, Result]]:
    """Return each request without a complete answer, and its cause."""
    return [
        (find_cause(each, cuts, faults), each) for each in results if not each.is_whole
    ]


def list_own_failures(results: Iterable[Result], cuts: CutHistory) -> list[Result]:
    """Return requests that failed at their instance and reached no server."""
    return [
        each
        for each in results
        if each.is_whole
        and each.status in OWN_FAILURES
        and each.status != REFUSED
        and not cuts.is_passed_on(each)
    ]


def check_planned_work(
    unanswered: Sequence[tuple[Cause, Result]], cuts: CutHistory
) -> list[str]:
    """Return requests that planned work alone left without a complete answer."""
    return [
        f"LOST: {cause.value}: {cuts.describe(each)}"
        for cause, each in unanswered
        if cause in UNEXPLAINED
    ]
