from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
    encode_stream_record,
)
from ebonyhaven_decisions.forwarding._stream_index import INDEX_REPLICAS
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._frames import encode_frame
from ebonyhaven_node.forwarding._shared_stream_index import (
    QUERY_TIMEOUT_S,
    SharedStreamIndex,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore
from tests.forwarding.harness import (
    ForwardingHarness,
    event,
)
from tests.forwarding.losses import (
    STREAM_COUNT,
    FakeNetwork,
    open_streams,
    resume_streams,
)

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
OTHERS = ("n2", "n3", "n4", "n5", "n6")


def build_index(clock):
    store = FakeRecordStore()
    return SharedStreamIndex(clock, clock.seconds, store, StreamRetention())


def build_indexes(*names):
    """Return connected indexes by instance name, their network and their clock."""
    clock, network = Clock(), FakeNetwork()
    store = FakeRecordStore()
    indexes = {
        name: SharedStreamIndex(clock, clock.seconds, store, StreamRetention())
        for name in names
    }
    for name, index in indexes.items():
        network.join(index, name, [each for each in names if each != name])
    return indexes, network, clock


def start_lookup(index, key):
    found = []
    ensureDeferred(index.find(key, copy_ttl_s=4.0)).addCallback(found.append)
    return found


def test_record_is_found_on_all_instances_after_loss_of_its_publisher():
    indexes, network, _ = build_indexes("n1", *OTHERS)
    indexes["n1"].publish("abc", RECORD)
    del network.channels["n1"]
    assert [start_lookup(indexes[name], "abc") for name in OTHERS] == [[RECORD]] * 5


def test_record_without_its_copy_replaces_the_earlier_one():
    indexes, _, _ = build_indexes("n1", *OTHERS)
    without_copy = RECORD._replace(copy=None)
    indexes["n1"].publish("abc", RECORD)
    indexes["n1"].publish("abc", without_copy)
    results = [start_lookup(index, "abc") for index in indexes.values()]
    assert results == [[without_copy]] * 6


def test_copy_is_dropped_without_messages():
    clock = Clock()
    index, network = build_index(clock), FakeNetwork()
    membership = network.join(index, "n1", OTHERS)
    index.publish("abc", RECORD)
    count = len(membership.sent)
    index.drop_copy("abc")
    index.drop_copy("other")
    assert len(membership.sent) == count
    assert start_lookup(index, "abc") == [RECORD._replace(copy=None)]


def test_publishing_stays_within_its_share_of_control_traffic():
    # At the target size, a node starts 3.9 runs per second. Its control traffic is
    # limited to 2,000 bytes per second, of which the index may use two thirds.
    copy = RunCopyLocation("i-0123456789", None, "0123456789abcdef")
    record = encode_stream_record(StreamRecord("v1.12", copy.handle, copy))
    payload = ["0" * 16, record]
    frame = Frame(FrameKind.STREAM_RECORD, "node-dc-b-0044", 44015126, payload)
    assert 3.9 * INDEX_REPLICAS * len(encode_frame(frame)) <= 2000 * 2 / 3


def test_unanswered_lookup_times_out():
    indexes, network, clock = build_indexes("n1", *OTHERS)
    network.channels.clear()
    found = start_lookup(indexes["n1"], "abc")
    assert found == []
    clock.advance(QUERY_TIMEOUT_S)
    assert found == [None]
    assert clock.getDelayedCalls() == []


def test_records_are_not_sent_to_dead_instances():
    clock = Clock()
    index, network = build_index(clock), FakeNetwork()
    membership = network.join(index, "n1", OTHERS)
    replicas = [
        name for name in choose_index_instances("abc", ("n1", *OTHERS)) if name != "n1"
    ]
    membership.members = [
        each._replace(state=MemberState.DEAD) if each.name == replicas[0] else each
        for each in membership.members
    ]
    index.publish("abc", RECORD)
    receivers = {name for name, _, _ in membership.sent}
    assert replicas[0] not in receivers
    assert len(receivers) >= len(replicas) - 1


def test_unconnected_index_finds_local_entries():
    clock = Clock()
    index = build_index(clock)
    index.publish("abc", RECORD)
    assert start_lookup(index, "abc") == [RECORD]
    assert start_lookup(index, "other") == [None]


def test_malformed_messages_are_ignored():
    indexes, network, _ = build_indexes("n1", "n2")
    handle_record = network.channels["n2"].handlers[FrameKind.STREAM_RECORD]
    for payload in ("nonsense", ["abc"], ["abc", ["v1"]], ["abc", None], 7):
        handle_record(Frame(FrameKind.STREAM_RECORD, "n1", 1, payload))
    handle_query = network.channels["n2"].handlers[FrameKind.STREAM_RECORD_REQUEST]
    handle_query(Frame(FrameKind.STREAM_RECORD_REQUEST, "n1", 1, ["abc"]))
    assert len(indexes["n2"]._index) == 0


def test_all_callers_of_a_lost_instance_resume_from_copies():
    # After the loss of an instance, all its callers retry at another one within 0.1 s.
    # Guards against prefilling all their prompts again at once, which delays these
    # streams and new ones by seconds.
    lost, remaining, network = (
        ForwardingHarness(engines=9),
        ForwardingHarness(engines=9),
        FakeNetwork(),
    )
    network.join(lost.gateway._stream_index, "n1", ["n2"])
    network.join(remaining.gateway._stream_index, "n2", ["n1"])
    references = open_streams(lost, STREAM_COUNT)
    del network.channels["n1"]
    assert resume_streams(remaining, references, 2) == [event(3)] * STREAM_COUNT
