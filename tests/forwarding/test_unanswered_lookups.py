"""Streams that are taken up while an instance or the store does not answer."""

from __future__ import annotations

from ebonyhaven_node.forwarding._begun_streams import (
    SEARCH_PAUSE_S,
    SEARCH_TIMEOUT_S,
)
from ebonyhaven_node.forwarding._outcomes import SEARCH_RETRY_AFTER_S
from ebonyhaven_node.forwarding._shared_stream_index import QUERY_TIMEOUT_S
from ebonyhaven_node.forwarding._stream_records import (
    READ_INTERVAL_S,
    SEARCH_INTERVAL_S,
    WRITE_INTERVAL_S,
)

from tests.forwarding.harness import ForwardingHarness, chunk, event, stream_head
from tests.forwarding.losses import FakeNetwork
from tests.forwarding.peers import make_record
from tests.forwarding.streaming import SIZE_HEADERS
from tests.forwarding.test_software_versions import find_version, retry_stream

VERSIONS = ("v1", "v2")


def make_instances(*names):
    """Return connected instances by name, and their network."""
    network, harnesses = FakeNetwork(), {}
    for name in names:
        harness = harnesses[name] = ForwardingHarness(engines=6, versions=VERSIONS)
        others = [each for each in names if each != name]
        network.join(harness.gateway._stream_index, name, others)
    return harnesses, network


def begin_stream(harness):
    """Begin a stream with two events, and return its software version."""
    harness.open_caller().request("/stream/x", **SIZE_HEADERS)
    server, _, _ = harness.take_request()
    server.receive(stream_head("r1") + chunk(event(1)) + chunk(event(2)))
    harness.advance(0.0)
    return find_version(harness, server.address)


def hide_stream(network, harnesses):
    """Begin a stream at n1 of which n2 was not told; return its software version."""
    told = network.channels.pop("n2")
    version = begin_stream(harnesses["n1"])
    network.channels["n2"] = told
    return version


def test_a_stream_goes_on_once_a_busy_instance_answers():
    # Guards against refusing a caller for good because the only instance that knows its
    # stream did not answer at once.
    harnesses, network = make_instances("n1", "n2")
    version = hide_stream(network, harnesses)
    busy = network.channels.pop("n1")
    retry_stream(harnesses["n2"])
    harnesses["n2"].advance(SEARCH_TIMEOUT_S / 2)
    assert harnesses["n2"].count_waiting() == 0
    network.channels["n1"] = busy
    harnesses["n2"].advance(QUERY_TIMEOUT_S + SEARCH_INTERVAL_S + SEARCH_PAUSE_S)
    server, _, _ = harnesses["n2"].take_request()
    assert find_version(harnesses["n2"], server.address) == version


def test_a_caller_may_come_back_if_an_instance_does_not_answer_in_time():
    harnesses, network = make_instances("n1", "n2")
    version = hide_stream(network, harnesses)
    busy = network.channels.pop("n1")
    caller = retry_stream(harnesses["n2"])
    harnesses["n2"].advance(SEARCH_TIMEOUT_S + QUERY_TIMEOUT_S + SEARCH_INTERVAL_S)
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert float(headers["retry-after"]) == SEARCH_RETRY_AFTER_S
    network.channels["n1"] = busy
    retry_stream(harnesses["n2"])
    harnesses["n2"].advance(SEARCH_INTERVAL_S)
    server, _, _ = harnesses["n2"].take_request()
    assert find_version(harnesses["n2"], server.address) == version


def test_a_stream_that_all_instances_and_the_store_lack_is_refused_at_once():
    harnesses, _ = make_instances("n1", "n2", "n3")
    status, headers, _, _ = retry_stream(harnesses["n2"]).read_answer()
    assert status == 503
    assert "retry-after" not in headers


def test_a_record_is_found_that_was_written_after_the_last_read():
    # Guards against refusing a caller for good because the store was read for another
    # one just before the record was written.
    lost, _ = make_instances("n1")
    successor, _ = make_instances("n1")
    lost, successor = lost["n1"], successor["n1"]
    version = begin_stream(lost)
    assert retry_stream(successor, original="r0").read_answer()[0] == 503
    lost.advance(WRITE_INTERVAL_S + 0.1)
    successor.advance(READ_INTERVAL_S / 4)
    successor.record_store.segments = lost.record_store.segments
    retry_stream(successor)
    server, _, _ = successor.take_request()
    assert find_version(successor, server.address) == version


def test_a_stream_goes_on_once_the_store_answers():
    lost, _ = make_instances("n1")
    successor, _ = make_instances("n1")
    lost, successor = lost["n1"], successor["n1"]
    version = begin_stream(lost)
    lost.advance(WRITE_INTERVAL_S + 0.1)
    successor.record_store.segments = lost.record_store.segments
    successor.record_store.is_down = True
    retry_stream(successor)
    successor.advance(SEARCH_TIMEOUT_S / 2)
    assert successor.count_waiting() == 0
    successor.record_store.is_down = False
    successor.advance(2 * SEARCH_INTERVAL_S)
    server, _, _ = successor.take_request()
    assert find_version(successor, server.address) == version


def test_a_stream_goes_on_once_a_new_instance_knows_the_others():
    # Guards against refusing callers for good that come to an instance which has just
    # started: it knew no other instance that it could have asked.
    network = FakeNetwork()
    known = ForwardingHarness(engines=6, versions=VERSIONS)
    network.join(known.gateway._stream_index, "n1", [])
    version = begin_stream(known)
    new = ForwardingHarness(engines=6, versions=VERSIONS)
    membership = network.join(new.gateway._stream_index, "n2", [])
    membership.has_joined = False
    retry_stream(new)
    new.advance(SEARCH_TIMEOUT_S / 2)
    assert new.count_waiting() == 0
    membership.members = [membership.own, make_record("n1")]
    membership.has_joined = True
    new.advance(SEARCH_INTERVAL_S + SEARCH_PAUSE_S)
    server, _, _ = new.take_request()
    assert find_version(new, server.address) == version


def test_a_caller_that_leaves_ends_the_search():
    harnesses, network = make_instances("n1", "n2")
    network.channels.pop("n1")
    retry_stream(harnesses["n2"]).disconnect()
    harnesses["n2"].advance(QUERY_TIMEOUT_S + SEARCH_INTERVAL_S + SEARCH_PAUSE_S)
    assert not harnesses["n2"].gateway._stream_index._queries
