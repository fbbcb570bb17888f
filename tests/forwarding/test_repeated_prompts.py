"""Streams of a prompt that is asked for more than once, and their callers' retries."""

from __future__ import annotations

from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S

from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.losses import FakeNetwork
from tests.forwarding.streaming import SIZE_HEADERS
from tests.forwarding.test_software_versions import find_version, suspect_server

VERSIONS = ("v1", "v2")


def make_instances(count=2):
    """Return connected instances whose services have two software versions."""
    network = FakeNetwork()
    harnesses = [ForwardingHarness(engines=6, versions=VERSIONS) for _ in range(count)]
    names = [f"n{number + 1}" for number in range(count)]
    for name, harness in zip(names, harnesses, strict=True):
        others = [each for each in names if each != name]
        network.join(harness.gateway._stream_index, name, others)
    return harnesses


def begin_stream(harness, request_id, version):
    """Begin a stream of the one prompt at a server of a version; return its copy."""
    for each in list(harness.state.backends):
        if (
            each.software_version not in (version, None)
            and each.entry.service != "plain"
        ):
            suspect_server(harness, each.entry.address)
    caller = harness.open_caller()
    caller.request("/stream/x", request_id, **SIZE_HEADERS)
    server, head, _ = harness.take_request()
    assert find_version(harness, server.address) == version
    server.receive(stream_head(request_id) + chunk(event(1)) + chunk(event(2)))
    harness.advance(0.0)
    for each in list(harness.state.backends):
        each.clear_suspicion(harness.reactor.seconds())
    return caller, f"{decode_headers(head)['x-kv-backup']}/{request_id}"


def take_up(harness, request_id, **headers):
    """Return the caller, and the version and copy of the server that goes on."""
    caller = harness.open_caller()
    headers = {**SIZE_HEADERS, "Last_Event_Id": "2", **headers}
    caller.request("/stream/x", f"{request_id}-again", **headers)
    harness.advance(0.01)
    if not harness.count_waiting():
        return caller, None, None
    server, head, _ = harness.take_request()
    version = find_version(harness, server.address)
    return caller, version, decode_headers(head).get("kv-from")


def test_each_stream_of_a_prompt_goes_on_at_its_own_version_and_copy():
    # Guards against refusing callers whose prompt was asked for once more meanwhile:
    # the record of the second stream replaced that of the first.
    lost, other = make_instances()
    _, first_copy = begin_stream(lost, "a", "v1")
    _, second_copy = begin_stream(other, "b", "v2")
    assert take_up(other, "a", Resumes="a")[1:] == ("v1", first_copy)
    assert take_up(other, "b", Resumes="b")[1:] == ("v2", second_copy)


def test_both_streams_of_a_prompt_go_on_after_the_loss_of_their_instance():
    lost, other = make_instances()
    _, first_copy = begin_stream(lost, "a", "v1")
    _, second_copy = begin_stream(lost, "b", "v2")
    assert take_up(other, "b", Resumes="b")[1:] == ("v2", second_copy)
    assert take_up(other, "a", Resumes="a")[1:] == ("v1", first_copy)


def test_a_stream_goes_on_if_the_caller_of_the_other_one_has_left():
    lost, other = make_instances()
    _, first_copy = begin_stream(lost, "a", "v1")
    second, _ = begin_stream(other, "b", "v2")
    second.disconnect()
    other.advance(0.5)
    assert take_up(other, "a", Resumes="a")[1:] == ("v1", first_copy)


def test_each_stream_of_a_prompt_outlives_all_instances():
    (lost,), (successor,) = make_instances(1), make_instances(1)
    begin_stream(lost, "a", "v1")
    begin_stream(lost, "b", "v2")
    lost.advance(WRITE_INTERVAL_S + 0.1)
    successor.record_store.segments = lost.record_store.segments
    assert take_up(successor, "a", Resumes="a")[1] == "v1"
    assert take_up(successor, "b", Resumes="b")[1] == "v2"


def test_a_caller_that_names_no_stream_of_two_versions_is_refused():
    # Either version may have begun what it has received.
    lost, other = make_instances()
    begin_stream(lost, "a", "v1")
    begin_stream(lost, "b", "v2")
    caller, version, _ = take_up(other, "a")
    assert version is None
    assert caller.read_answer()[0] == 503


def test_a_caller_that_names_no_stream_of_one_version_gets_no_copy_of_another():
    lost, other = make_instances()
    begin_stream(lost, "a", "v1")
    begin_stream(lost, "b", "v1")
    assert take_up(other, "a")[1:] == ("v1", None)
