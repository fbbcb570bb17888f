"""The checks of the soak find what they are there for."""

from __future__ import annotations

import math

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._checks import (
    CONTACT_S,
    SoakHistory,
    check_cut_off,
    check_falls,
    check_limits,
    check_streams,
)
from tests.platform_adapter.soak._contact import ContactHistory
from tests.platform_adapter.soak._fault_log import (
    Disturbance,
    DisturbanceKind,
    FaultLog,
    NamedLimit,
    Termination,
)
from tests.platform_adapter.soak._leaving_checks import (
    check_leaving,
    check_leaving_answers,
    list_late_reads,
    list_latest_arrivals,
)
from tests.platform_adapter.soak._loss_checks import (
    CutHistory,
    check_closed_channels,
    check_configuration_cuts,
    check_stops,
)
from tests.platform_adapter.soak._places import Departure
from tests.platform_adapter.soak._server_log import Arrival, Fall, RunEnd, ServerLog
from tests.platform_adapter.soak._servers import encode_event
from tests.platform_adapter.soak._stream_checks import TakenUpStreams


def make_result(number, *, instance="n0", status=200, **options):
    values = {
        "request_id": f"r{number}",
        "path": "/once/x",
        "sent_at": float(number),
        "ended_at": float(number),
        "status": status,
        "stamp": "p0-1",
        "body": b"",
        "is_whole": True,
        "instance": instance,
        "first_id": f"r{number}",
    }
    return Result(**{**values, **options})


def make_events(first, last, version="v1"):
    return b"".join(encode_event(number, version) for number in range(first, last + 1))


def test_server_beyond_its_named_limit_is_found():
    # 40 requests in 4 s at a server that named 2 a second; 17 are allowed.
    arrivals = [
        Arrival(f"r{number}", "/once/x", "p0-1", 10.0 + number / 10, True)
        for number in range(100)
    ]
    results = [make_result(number) for number in range(100)]
    limit = NamedLimit("p0", 2.0, since=10.0, until=20.0)
    history = SoakHistory(results, [])
    assert check_limits(arrivals, [limit], history)
    few = [each for number, each in enumerate(arrivals) if number % 3 == 0]
    assert not check_limits(few, [limit], history)
    excused = SoakHistory(results, [Disturbance("n0", 11.0, 12.0)])
    assert not check_limits(arrivals, [limit], excused)


def test_brittle_servers_that_fall_often_are_found():
    history = SoakHistory([make_result(number) for number in range(9)], [])
    falls = [Fall("p0-1", 15.0 + number, ("r1", "r2")) for number in range(3)]
    assert check_falls(falls, [(10.0, 20.0)], 4, history)
    assert not check_falls(falls[:2], [(10.0, 20.0)], 4, history)
    assert not check_falls(falls, [(15.0 - CONTACT_S + 1.5, 20.0)], 4, history)
    unknown = [fall._replace(refused_ids=("x",)) for fall in falls]
    assert not check_falls(unknown, [(10.0, 20.0)], 4, history)


def test_instances_that_serve_far_less_while_cut_off_are_found():
    refused = [make_result(number, status=503) for number in range(30)]
    served = [make_result(number) for number in range(30)]
    assert check_cut_off(refused, served)
    assert not check_cut_off(refused[:10], served)
    assert not check_cut_off(refused[:14] + served, served)


def test_stream_of_two_versions_is_found():
    def check(second_version, first_event=4):
        body = make_events(1, 3)
        rest = make_events(first_event, 12, second_version)
        first = make_result(1, path="/stream/x", body=body, is_whole=False)
        second = make_result(2, path="/stream/x", body=rest, first_id="r1")
        return check_streams([first, second])

    assert not check("v1")
    assert check("v2")
    assert check("v1", first_event=5)
    assert check("v1", first_event=3)


ADDRESSES = {"p0-1": "127.0.0.1:1"}
LEFT = Departure("p0-1", 100.0, math.inf, "draining")


def make_arrival(at, *, received_at=None, request_id="r1", **options):
    values = {"request_id": request_id, "path": "/once/x", "process": "p0-1"}
    received_at = at if received_at is None else received_at
    values |= {"at": at, "has_run": True, "received_at": received_at}
    return Arrival(**{**values, **options})


def make_contact(results, **times):
    faults = FaultLog()
    for name, value in times.items():
        setattr(faults, name, value)
    return ContactHistory(results, faults, ADDRESSES)


def check_arrival(arrival, *, sent_at=102.5, departure=LEFT, **times):
    contact = make_contact([make_result(1, sent_at=sent_at)], **times)
    return check_leaving([arrival], [departure], contact)


def test_request_that_reaches_a_leaving_server_too_late_is_found():
    assert check_arrival(make_arrival(102.6))
    assert check_arrival(make_arrival(102.6), sent_at=95.0)
    assert not check_arrival(make_arrival(101.9), sent_at=101.8)
    assert not check_arrival(make_arrival(102.6, request_id="unknown"))


def test_refused_request_at_a_leaving_server_is_found_unless_it_is_misdirected():
    def refuse(status):
        return make_arrival(102.6, has_run=False, refused_with=status)

    assert check_arrival(refuse(503))
    assert not check_arrival(refuse(421))


def test_server_that_is_listed_again_has_not_left():
    back = LEFT._replace(until=102.55)
    assert not check_arrival(make_arrival(102.6), departure=back)
    assert check_arrival(make_arrival(102.54), departure=back)


def test_instance_that_was_out_of_touch_may_send_late():
    def disturb(begin, end, name="n0"):
        return [Disturbance(name, begin, end, DisturbanceKind.FREEZE)]

    late = make_arrival(104.5)
    for kind in ("processes", "links"):
        assert not check_arrival(late, sent_at=104.4, **{kind: disturb(99.0, 101.0)})
        assert not check_arrival(late, sent_at=104.4, **{kind: disturb(101.0, 102.0)})
        assert check_arrival(late, sent_at=104.4, **{kind: disturb(90.0, 96.9)})
        assert check_arrival(late, sent_at=104.4, **{kind: disturb(99.0, 101.0, "n1")})


def test_unstable_store_excuses_late_requests():
    late = make_arrival(104.5)
    for span in ((99.0, 99.5), (96.9, 97.1), (101.0, 102.0)):
        assert not check_arrival(late, sent_at=104.4, store_times=[span])
    assert check_arrival(late, sent_at=104.4, store_times=[(90.0, 96.9)])


def test_soak_that_stood_still_itself_blames_nobody():
    for stall in ((99.8, 100.2), (102.0, 102.5)):
        assert not check_arrival(make_arrival(102.6), stalls=[stall])
    assert check_arrival(make_arrival(102.6), stalls=[(95.0, 96.0)])


def test_harmed_link_to_the_server_holds_requests_up():
    def harm(begin, end, name="127.0.0.1:1"):
        kind = DisturbanceKind.SERVER_LINK
        return {"server_links": [Disturbance(name, begin, end, kind)]}

    assert not check_arrival(make_arrival(102.6), **harm(99.0, 99.7))
    assert check_arrival(make_arrival(102.6), **harm(99.0, 99.5))
    assert check_arrival(make_arrival(102.6), **harm(99.0, 102.0, "127.0.0.1:2"))


def test_request_that_came_in_time_and_was_read_late_is_noted_apart():
    contact = make_contact([make_result(1, sent_at=100.5)])
    late_read = make_arrival(104.0, received_at=101.0)
    assert not check_leaving([late_read], [LEFT], contact)
    assert list_late_reads([late_read], [LEFT], contact)
    assert not list_late_reads([make_arrival(101.9)], [LEFT], contact)
    assert not list_late_reads([make_arrival(104.0)], [LEFT], contact)


def test_latest_request_at_a_leaving_server_is_noted():
    numbers = {1: 100.5, 2: 101.5, 3: 100.9}
    results = [make_result(number, sent_at=100.0) for number in numbers]
    arrivals = [
        make_arrival(at, request_id=f"r{number}") for number, at in numbers.items()
    ]
    (latest,) = list_latest_arrivals(arrivals, [LEFT], make_contact(results))
    assert "r2 " in latest


def test_request_after_an_answer_of_a_leaving_server_is_found():
    told = make_result(1, ended_at=50.0)

    def check(sent_at, *, status=None, told=told, **times):
        late = make_result(2, sent_at=sent_at)
        arrival = make_arrival(sent_at + 0.1, request_id="r2", refused_with=status)
        contact = make_contact([told, late], **times)
        return check_leaving_answers([arrival], {("p0-1", "r1")}, contact)

    def disturb(kind):
        return [Disturbance("n0", 50.5, 51.0, kind)]

    assert check(52.1)
    assert not check(51.9)
    assert not check(52.1, status=421)
    assert not check(52.1, told=told._replace(instance="n1"))
    assert not check(52.1, told=told._replace(is_whole=False))
    assert not check(52.1, processes=disturb(DisturbanceKind.FREEZE))
    assert check(52.1, processes=disturb(DisturbanceKind.CUT))
    assert check(52.1, links=disturb(DisturbanceKind.STORE_LINK))
    assert check(52.1, store_times=[(50.0, 52.0)])


def make_cut(number, *, sent_at=100.0, ended_at=102.0, **options):
    values = {"path": "/long/x", "status": None, "stamp": None, "is_whole": False}
    values |= {"sent_at": sent_at, "ended_at": ended_at, "is_on_kept": True}
    return make_result(number, **{**values, **options})


def make_cuts(cuts, *, arrivals=(), ends=(), **times):
    log = ServerLog()
    log.arrivals += arrivals
    log.ends += ends
    return CutHistory(cuts, log, make_contact(cuts, **times))


def make_kept_cuts(count, *, ends=(), is_passed_on=True, times=None, **options):
    cuts = [make_cut(number, **options) for number in range(count)]
    arrivals = [make_arrival(100.1, request_id=f"r{number}") for number in range(count)]
    arrivals = arrivals if is_passed_on else []
    return make_cuts(cuts, arrivals=arrivals, ends=ends, **(times or {}))


def test_kept_channels_that_are_closed_without_an_answer_are_found():
    def check(count=4, **options):
        return check_closed_channels(make_kept_cuts(count, **options))

    assert len(check()) == 4
    assert not check(3)
    assert not check(is_passed_on=False)
    assert not check(is_on_kept=False)
    assert not check(is_given_up=True)
    assert not check(is_whole=True, status=502)
    assert not check(ended_at=114.0)
    assert not check(ends=[RunEnd("r1", "p0-1", 101.0, is_broken_off=True)])
    assert check(ends=[RunEnd("r1", "p0-1", 101.0, is_broken_off=False)])


def test_closed_channels_of_instances_out_of_touch_are_not_counted():
    def check(**times):
        return check_closed_channels(make_kept_cuts(4, times=times))

    frozen = Disturbance("n0", 98.0, 98.5, DisturbanceKind.FREEZE)
    harmed = Disturbance("127.0.0.1:1", 98.0, 98.5, DisturbanceKind.SERVER_LINK)
    paused = Disturbance("p0-1", 99.0, 103.0, DisturbanceKind.PAUSE)
    assert not check(processes=[frozen])
    assert check(processes=[frozen._replace(name="n1")])
    assert not check(server_links=[harmed])
    assert check(pauses=[paused])


STOP = Termination("n0", 100.5, 8.0)
STOPPED = Disturbance("n0", 100.49, 110.0, DisturbanceKind.STOP)


def check_stop(cut, *, arrivals=(), ends=(), processes=(STOPPED,), **times):
    history = make_cuts(
        [cut], arrivals=arrivals, ends=ends, processes=list(processes), **times
    )
    return check_stops(history, [STOP])


def test_requests_that_a_stop_leaves_unanswered_are_found():
    assert check_stop(make_cut(1))
    assert check_stop(make_cut(1, status=200, body=make_events(1, 3)))
    assert not check_stop(make_cut(1, ended_at=100.4))
    assert not check_stop(make_cut(1, instance="n1"))
    assert not check_stop(make_cut(1, is_given_up=True))
    assert check_stop(make_cut(1, sent_at=96.0, ended_at=109.4))
    assert not check_stop(make_cut(1, sent_at=96.0, ended_at=109.6))


def test_request_that_crosses_the_close_of_a_stop_is_not_counted():
    crossing = make_cut(1, sent_at=101.0, ended_at=101.1)
    assert not check_stop(crossing)
    assert check_stop(crossing, arrivals=[make_arrival(101.05)])


def test_request_at_work_at_the_end_of_the_grace_period_is_not_counted():
    def check(ended_at, sent_at=100.0, ends=()):
        cut = make_cut(1, sent_at=sent_at, ended_at=ended_at)
        return check_stop(cut, arrivals=[make_arrival(sent_at + 0.1)], ends=ends)

    done = RunEnd("r1", "p0-1", 105.0, is_broken_off=False)
    assert not check(107.5)
    assert check(107.0)
    assert check(107.5, ends=[done])
    assert not check(108.4, ends=[done._replace(at=107.2)])
    assert check(107.5, sent_at=103.6)


def test_unplanned_trouble_beside_a_stop_excuses_a_cut():
    def disturb(begin, name="n0", kind=DisturbanceKind.FREEZE):
        return Disturbance(name, begin, begin + 0.5, kind)

    cut = make_cut(1)
    assert not check_stop(cut, processes=[STOPPED, disturb(98.0)])
    assert check_stop(cut, processes=[STOPPED, disturb(96.0)])
    assert check_stop(cut, processes=[STOPPED, disturb(98.0, "n1")])
    assert not check_stop(cut, links=[disturb(98.0)])
    harmed = disturb(98.0, "127.0.0.1:1", DisturbanceKind.SERVER_LINK)
    assert not check_stop(cut, server_links=[harmed])
    elsewhere = harmed._replace(name="127.0.0.1:2")
    assert check_stop(cut, arrivals=[make_arrival(100.1)], server_links=[elsewhere])


def test_store_alone_excuses_streams_that_a_stop_cuts_and_no_plain_requests():
    plain = make_cut(1, path="/once/x", ended_at=100.6)
    arrivals = [make_arrival(100.1)]
    outage = [(99.0, 101.0)]
    assert check_stop(plain, arrivals=arrivals, store_times=outage)
    assert not check_stop(make_cut(1), arrivals=arrivals, store_times=outage)


def test_cuts_beside_a_configuration_are_found_if_they_are_more_often_then():
    def check(beside, others, **options):
        cuts = [make_cut(number, **options) for number in range(beside)]
        cuts += [
            make_cut(10 + number, sent_at=110.0, ended_at=112.0)
            for number in range(others)
        ]
        return check_configuration_cuts(make_cuts(cuts), [100.5], 100.0, 130.0)

    assert check(1, 0)
    assert check(2, 5)
    assert not check(1, 3)
    assert not check(0, 3)
    assert not check(1, 0, is_given_up=True)
    assert not check(1, 0, sent_at=92.0)  # it has used seven tenths of its time


def make_streams(count, *, first, begun, is_taken_up=False, **options):
    """Return tries of streams, some of which get events."""
    return [
        make_result(
            first + number,
            path="/kept/1",
            status=200 if number < begun else 503,
            body=make_events(1, 2) if number < begun else b"",
            is_first=not is_taken_up,
            **({"first_id": "r0"} if is_taken_up else {}),
            **options,
        )
        for number in range(count)
    ]


def check_taken_up(*results, faults=None):
    return TakenUpStreams(results, ContactHistory([], faults or FaultLog(), {})).check()


def test_streams_that_do_not_go_on_where_new_ones_begin_are_found():
    new = make_streams(20, first=100, begun=20)
    lost = make_streams(12, first=1, begun=5, is_taken_up=True)
    (problem,) = check_taken_up(*new, *lost)
    assert "5 of 12 streams that were taken up went on, 20 of 20 began" in problem
    assert "'r6'" in problem
    assert "'r5'" not in problem


def test_streams_go_on_as_often_as_half_of_the_new_ones():
    taken_up = make_streams(12, first=1, begun=6, is_taken_up=True)
    assert not check_taken_up(*make_streams(20, first=100, begun=20), *taken_up)
    few = make_streams(12, first=1, begun=3, is_taken_up=True)
    assert not check_taken_up(*make_streams(20, first=100, begun=10), *few)
    assert check_taken_up(*make_streams(20, first=100, begun=11), *few)


def test_few_streams_that_were_taken_up_prove_nothing():
    new = make_streams(20, first=100, begun=20)
    assert not check_taken_up(
        *new, *make_streams(11, first=1, begun=0, is_taken_up=True)
    )


def test_streams_at_disturbed_instances_are_not_counted():
    faults = FaultLog()
    kill = Disturbance("n1", 0.0, 50.0, DisturbanceKind.KILL)
    faults.processes.append(kill)
    new = make_streams(20, first=100, begun=20)
    lost = make_streams(12, first=1, begun=0, is_taken_up=True, instance="n1")
    assert not check_taken_up(*new, *lost, faults=faults)
