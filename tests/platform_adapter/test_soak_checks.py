"""The checks of the soak find what they are there for."""

from __future__ import annotations

from tests.platform_adapter.soak._callers import Result
from tests.platform_adapter.soak._checks import (
    CONTACT_S,
    NamedLimit,
    SoakHistory,
    check_cut_off,
    check_falls,
    check_limits,
    check_streams,
)
from tests.platform_adapter.soak._servers import Arrival, Fall, encode_event


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
    excused = SoakHistory(results, [("n0", 11.0, 12.0)])
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
