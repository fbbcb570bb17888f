"""Requests without a complete answer are told apart by their cause."""

from __future__ import annotations

from tests.platform_adapter.soak._fault_log import Disturbance, DisturbanceKind
from tests.platform_adapter.soak._server_log import RunEnd
from tests.platform_adapter.soak._unanswered import (
    Cause,
    check_planned_work,
    list_own_failures,
    list_unanswered,
)
from tests.platform_adapter.test_soak_checks import (
    STOP,
    STOPPED,
    make_arrival,
    make_cut,
    make_cuts,
    make_result,
)


def find_cause(cut, *, terminations=(), **times):
    cuts = make_cuts([cut], **times)
    faults = cuts.history.faults
    faults.terminations += terminations
    ((cause, _),) = list_unanswered([cut], cuts, faults)
    is_found = bool(check_planned_work([(cause, cut)], cuts))
    return cause, is_found


def test_single_requests_that_planned_work_leaves_unanswered_are_found():
    stopped = {"terminations": [STOP], "processes": [STOPPED]}
    arrivals = [make_arrival(100.1)]
    assert find_cause(make_cut(1)) == (Cause.NONE, True)
    assert find_cause(make_cut(1, ended_at=100.1)) == (Cause.UNREAD, True)
    assert find_cause(make_cut(1), **stopped) == (Cause.STOP, True)
    assert find_cause(make_cut(1, ended_at=114.0, is_given_up=True)) == (
        Cause.CALLER_TIME,
        True,
    )
    begun = make_cut(1, sent_at=110.0, ended_at=111.0)
    processes = [STOPPED._replace(end=109.6)]
    assert find_cause(begun, terminations=[STOP], processes=processes) == (
        Cause.STARTED,
        True,
    )
    crossing = make_cut(1, sent_at=101.0, ended_at=101.1)
    assert find_cause(crossing, **stopped) == (Cause.CROSSED, False)
    assert find_cause(crossing, arrivals=arrivals, **stopped) == (Cause.STOP, True)


def test_requests_that_end_for_other_causes_are_no_findings():
    arrivals = [make_arrival(100.1)]
    late = make_cut(1, ended_at=107.5)
    frozen = Disturbance("n0", 98.0, 98.5, DisturbanceKind.FREEZE)
    harmed = Disturbance("127.0.0.1:1", 98.0, 98.5, DisturbanceKind.SERVER_LINK)
    broken_off = [RunEnd("r1", "p0-1", 101.0, is_broken_off=True)]
    expected = (
        (find_cause(make_cut(1, is_given_up=True)), Cause.CALLER_LEFT),
        (find_cause(make_cut(1, ended_at=114.0)), Cause.ROUTE_TIME),
        (find_cause(make_cut(1), ends=broken_off), Cause.SERVER),
        (find_cause(make_cut(1), processes=[frozen]), Cause.UNPLANNED),
        (find_cause(make_cut(1), stalls=[(99.0, 101.0)]), Cause.SERVER_LINK),
        (find_cause(make_cut(1), server_links=[harmed]), Cause.SERVER_LINK),
        (
            find_cause(late, arrivals=arrivals, terminations=[STOP]),
            Cause.AT_WORK,
        ),
    )
    for found, cause in expected:
        assert found == (cause, False)


def test_failures_of_instances_that_no_server_had_are_found():
    failed = make_result(1, status=504, stamp=None)
    refused = make_result(2, status=503, stamp=None)
    cuts = make_cuts([], arrivals=[make_arrival(1.0, request_id="r3")])
    at_server = make_result(3, status=502, stamp=None)
    assert list_own_failures([failed, refused, at_server], cuts) == [failed]
