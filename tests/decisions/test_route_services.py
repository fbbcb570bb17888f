from __future__ import annotations

import random

from ebonyhaven_decisions.forwarding import (
    RequestKind,
    RequestLimits,
    Route,
    RouteServices,
    RoutingConfiguration,
    ServiceShare,
    StreamRecord,
    StreamRetention,
    choose_service,
    group_routes,
    list_stream_shares,
)
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S

RECORD = StreamRecord("v1", "r1", None, "old")


def make_shares(**weights):
    return tuple(ServiceShare(name, weight) for name, weight in weights.items())


def make_route(name, kind=RequestKind.STREAM, **weights):
    return Route(
        name=name,
        host="work.example",
        path_prefix=f"/{name}/",
        kind=kind,
        timeout_s=5.0,
        target_latency_s=1.0,
        target_gap_s=0.5,
        priority=1,
        shares=make_shares(**weights),
        max_attempts=3,
        is_anonymous=False,
        is_resumable=True,
    )


def make_configuration(*routes):
    return RoutingConfiguration(
        1, group_routes(list(routes)), {}, {}, False, RequestLimits()
    )


def list_names(shares):
    return [each.service for each in shares]


def test_services_are_drawn_by_weight():
    rng = random.Random(3)
    shares = make_shares(old=90.0, new=10.0)
    drawn = [choose_service(shares, rng) for _ in range(1000)]
    assert 860 <= drawn.count("old") <= 940
    assert choose_service(make_shares(old=0.0, new=0.0), rng) == "old"


def test_only_services_with_a_weight_get_requests():
    assert list_names(make_route("a", old=0.0, new=1.0).list_used_shares()) == ["new"]
    assert list_names(make_route("a", old=0.0, new=0.0).list_used_shares()) == ["old"]


def test_a_stream_goes_on_at_the_service_that_began_it():
    # Guards against going on at a service whose versions have the same names.
    shares = make_shares(new=99.0, old=1.0)
    assert list_names(list_stream_shares(shares, RECORD, lambda *_: True)) == ["old"]


def test_a_stream_of_an_unknown_service_goes_on_where_its_version_is():
    shares = make_shares(new=1.0, old=1.0, other=1.0)
    unknown = RECORD._replace(service=None)
    left = RECORD._replace(service="left")

    def may_serve(service, version):
        return (service, version) in {("other", "v1"), ("new", "v2")}

    for record in (unknown, left):
        assert list_names(list_stream_shares(shares, record, may_serve)) == ["other"]
    nowhere = list_stream_shares(shares, unknown, lambda *_: False)
    assert list_names(nowhere) == ["new", "old", "other"]


def test_services_that_a_route_has_left_are_remembered_as_long_as_streams():
    services = RouteServices(StreamRetention())
    services.apply(make_configuration(make_route("a", old=1.0)), 0.0)
    services.apply(make_configuration(make_route("a", new=1.0)), 10.0)
    services.apply(make_configuration(make_route("b", new=1.0)), 20.0)
    assert services.list_recent("a", 10.0 + MIN_RETENTION_S) == {"old", "new"}
    assert services.list_recent("a", 10.1 + MIN_RETENTION_S) == {"new"}
    assert services.list_recent("b", 20.0) == {"new"}
    assert services.list_recent("a", 20.1 + MIN_RETENTION_S) == set()
    assert services.list_recent("other", 20.0) == set()


def test_services_of_streams_only_are_remembered():
    services = RouteServices(StreamRetention())
    route = make_route("a", RequestKind.IDEMPOTENT, plain=1.0)
    services.apply(make_configuration(route), 0.0)
    assert services.list_recent("a", 0.0) == set()
