from __future__ import annotations

from ebonyhaven_decisions.forwarding import RequestKind, StreamRetention
from ebonyhaven_decisions.forwarding._stream_retention import (
    MIN_RETENTION_S,
    RETURN_S,
)

from tests.forwarding.harness import make_configuration, make_route


def make_routes(*timeouts_s, kind=RequestKind.STREAM):
    return make_configuration(
        routes=[
            make_route(f"r{number}", kind, timeout_s=timeout_s)
            for number, timeout_s in enumerate(timeouts_s)
        ]
    )


def test_streams_are_remembered_until_the_longest_timeout_of_any_route():
    retention = StreamRetention()
    assert retention.get_s(100.0) == MIN_RETENTION_S
    retention.apply(make_routes(5.0, 90.0, 20.0), 100.0)
    assert retention.get_s(100.0) == 90.0 + RETURN_S


def test_routes_without_streams_do_not_count():
    retention = StreamRetention()
    retention.apply(make_routes(90.0, kind=RequestKind.IDEMPOTENT), 100.0)
    assert retention.get_s(100.0) == MIN_RETENTION_S


def test_streams_of_an_earlier_configuration_keep_their_timeout():
    retention = StreamRetention()
    retention.apply(make_routes(90.0), 100.0)
    retention.apply(make_routes(40.0), 200.0)
    assert retention.get_s(200.0 + 90.0 + RETURN_S) == 90.0 + RETURN_S
    assert retention.get_s(200.1 + 90.0 + RETURN_S) == 40.0 + RETURN_S


def test_retention_grows_only_as_fast_as_streams_of_a_new_configuration_age():
    # What was forgotten before is needed by none of them.
    retention = StreamRetention()
    retention.apply(make_routes(40.0), 100.0)
    retention.apply(make_routes(90.0), 200.0)
    assert retention.get_s(200.0) == 40.0 + RETURN_S
    assert retention.get_s(260.0) == 60.0
    assert retention.get_s(400.0) == 90.0 + RETURN_S


def test_many_configurations_with_the_same_timeouts_count_as_one():
    retention = StreamRetention()
    for number in range(100):
        retention.apply(make_routes(90.0), 100.0 + number)
    assert retention.get_s(200.0) == 90.0 + RETURN_S
    assert len(retention._periods) == 1
