"""Streams of a route whose requests are split among services."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    EngineTraits,
    RequestKind,
    Service,
    ServiceShare,
)
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S
from ebonyhaven_node import FrameKind
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S

from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    event,
    make_configuration,
    make_entry,
    make_route,
    stream_head,
)
from tests.forwarding.losses import FakeNetwork, make_size_headers

STREAM_COUNT = 12
SERVICES = {"old": "v1", "new": "v2"}  # with the software version of their servers


def split_route(version, **weights):
    """Return a configuration whose route of streams is split by weights."""
    stream = make_route(
        "stream",
        RequestKind.STREAM,
        is_resumable=True,
        shares=tuple(ServiceShare(name, each) for name, each in weights.items()),
        timeout_s=25.0,
        target_latency_s=4.5,
        target_gap_s=0.7,
        max_attempts=5,
    )
    traits = EngineTraits(64, 88000, True, True, 4.0)
    services = {name: Service(name, 100, traits) for name in SERVICES}
    return make_configuration(version, [stream])._replace(services=services)


def make_instance(network, name="n1", others=(), version=None):
    """Return an instance; all servers have the version if there is one."""
    harness = ForwardingHarness(split_route(1, old=60.0, new=40.0), engines=0)
    for number in range(6):
        service = ("old", "new")[number % 2]
        software_version = version or SERVICES[service]
        entry = make_entry(f"e-{number}", service, software_version=software_version)
        harness.state.put_backend(entry)
    network.join(harness.gateway._stream_index, name, others)
    return harness


def make_instances(network, version=None):
    return (
        make_instance(network, "n1", ["n2"], version),
        make_instance(network, "n2", ["n1"], version),
    )


def find_service(harness, address):
    entries = [each.entry for each in harness.state.backends]
    return next(each.service for each in entries if each.address == address)


def begin_streams(harness):
    """Begin streams, and return the service of each."""
    services = []
    for number in range(STREAM_COUNT):
        caller = harness.open_caller()
        caller.request(f"/stream/{number}", f"a-{number}", **make_size_headers(number))
        server, _, _ = harness.take_request()
        server.receive(stream_head(f"a-{number}") + chunk(event(1)) + chunk(event(2)))
        harness.advance(0.0)
        services.append(find_service(harness, server.address))
    assert set(services) == set(SERVICES)
    return services


def take_up(harness, number):
    caller = harness.open_caller()
    headers = {**make_size_headers(number), "Last_Event_Id": "2"}
    caller.request(f"/stream/{number}", f"c-{number}", **headers, Resumes=f"a-{number}")
    harness.advance(0.01)
    return caller


def take_up_all(harness):
    """Take up all streams, and return the service at which each goes on."""
    services = []
    for number in range(STREAM_COUNT):
        take_up(harness, number)
        services.append(
            find_service(harness, harness.take_request()[0].address)
            if harness.count_waiting()
            else None
        )
    return services


def test_streams_go_on_at_their_service_after_a_change_of_weights():
    # Guards against refusing callers for good whose stream another service was drawn
    # for than the one that began it, which has servers of another software version.
    lost, other = make_instances(FakeNetwork())
    services = begin_streams(lost)
    other.state.apply_configuration(split_route(2, old=10.0, new=90.0))
    assert take_up_all(other) == services


def test_streams_go_on_at_their_service_after_the_loss_of_all_instances():
    lost, successor = make_instance(FakeNetwork()), make_instance(FakeNetwork())
    services = begin_streams(lost)
    lost.advance(WRITE_INTERVAL_S + 0.1)
    successor.record_store.segments = lost.record_store.segments
    assert take_up_all(successor) == services


def test_streams_go_on_at_their_service_where_all_have_one_version():
    lost, other = make_instances(FakeNetwork(), version="v1")
    services = begin_streams(lost)
    other.state.apply_configuration(split_route(2, old=10.0, new=90.0))
    assert take_up_all(other) == services


def test_streams_whose_service_the_route_has_left_do_not_run_there():
    # The version of the configuration that allowed it is not in force any more.
    lost, other = make_instances(FakeNetwork())
    services = begin_streams(lost)
    other.state.apply_configuration(split_route(2, new=1.0))
    expected = ["new" if each == "new" else None for each in services]
    assert take_up_all(other) == expected


def test_a_service_without_weight_gets_no_stream():
    lost, other = make_instances(FakeNetwork())
    services = begin_streams(lost)
    other.state.apply_configuration(split_route(2, old=0.0, new=1.0))
    assert [each for each in take_up_all(other) if each] == ["new"] * services.count(
        "new"
    )


def test_streams_that_the_release_before_began_go_on_at_their_version():
    # It does not tell the service; only one has servers of the version.
    network = FakeNetwork()
    lost, other = make_instances(network)
    del network.channels["n2"].handlers[FrameKind.STREAM]
    services = begin_streams(lost)
    del network.channels["n1"]
    other.state.apply_configuration(split_route(2, old=10.0, new=90.0))
    assert take_up_all(other) == services


def test_a_stream_without_a_record_is_not_given_to_another_service():
    # Guards against events of two services in one stream: the service was drawn, and
    # its only version taken for that of the stream.
    harness = make_instance(FakeNetwork())
    harness.advance(MIN_RETENTION_S)
    caller = take_up(harness, 0)
    assert caller.read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_a_stream_without_a_record_may_have_begun_at_a_service_that_is_left():
    harness = make_instance(FakeNetwork())
    harness.advance(MIN_RETENTION_S)
    harness.state.apply_configuration(split_route(2, new=1.0))
    assert take_up(harness, 0).read_answer()[0] == 503
    harness.advance(2 * MIN_RETENTION_S)
    take_up(harness, 0)
    assert harness.count_waiting() == 1
