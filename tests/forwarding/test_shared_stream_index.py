from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamKey,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
)
from ebonyhaven_decisions.forwarding._stream_index import INDEX_REPLICAS
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._frames import encode_frame
from ebonyhaven_node.forwarding._shared_stream_index import (
    QUERY_TIMEOUT_S,
    SharedStreamIndex,
)
from ebonyhaven_node.forwarding._stream_messages import (
    StreamTold,
    decode_stream,
    encode_stream,
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
from tests.forwarding.peers import FakeChannels

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


def start_lookup(index, content, request_id=RECORD.request_id):
    """Return what is found; None for nothing, an empty list while nothing is known."""
    found = []

    def record_found(lookup):
        found.extend(lookup.records or [None])

    looking = index.find(content, request_id, copy_ttl_s=4.0)
    ensureDeferred(looking).addCallback(record_found)
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
    index.drop_copy(StreamKey("abc", "r1"))
    index.drop_copy(StreamKey("other", "r1"))
    assert len(membership.sent) == count
    assert start_lookup(index, "abc") == [RECORD._replace(copy=None)]


def test_publishing_stays_within_its_share_of_control_traffic():
    # At the target size, a node starts 3.9 runs per second. Its control traffic is
    # limited to 2,000 bytes per second, of which the index may use two thirds.
    copy = RunCopyLocation("i-0123456789", None, "0123456789abcdef")
    record = StreamRecord("v1.12", copy.handle, copy, "engines-12")
    payload = encode_stream(StreamTold("0" * 16, record))
    frame = Frame(FrameKind.STREAM, "node-dc-b-0044", 44015126, payload)
    assert 3.9 * INDEX_REPLICAS * len(encode_frame(frame)) <= 2000 * 2 / 3


def test_record_that_is_sent_once_more_tells_its_age():
    # Behind all that an instance of the release before reads.
    for record in (RECORD, SERVED_RECORD, RECORD._replace(copy=None)):
        for age_s in (0.0, 2.5):
            told = StreamTold("abc", record, age_s)
            encoded = encode_stream(told)
            assert decode_stream(encoded) == told
            assert decode_stream(encoded[:7])[:2] == told[:2]


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
    odd = ("nonsense", ["abc"], ["abc", ["v1"]], ["abc", None], 7, [], ["abc", 0, 0, 0])
    odd += tuple(["abc", 0, "v1", "r1", 0, 0, 0, age] for age in ("x", [], -1))
    for payload in odd:
        handle_record(Frame(FrameKind.STREAM_RECORD, "n1", 1, payload))
        for kind in (FrameKind.STREAM, FrameKind.STREAM_ANSWER):
            network.channels["n2"].handlers[kind](Frame(kind, "n1", 1, payload))
    handle_question = network.channels["n2"].handlers[FrameKind.STREAM_QUESTION]
    for payload in (*odd[:2], None, [7, "r1"], ["abc", 7]):
        handle_question(Frame(FrameKind.STREAM_QUESTION, "n1", 1, payload))
    handle_query = network.channels["n2"].handlers[FrameKind.STREAM_RECORD_REQUEST]
    handle_query(Frame(FrameKind.STREAM_RECORD_REQUEST, "n1", 1, ["abc"]))
    assert len(indexes["n2"]._index) == 0


class OldInstance:
    """Instance of the release before: one record of a content, without its service."""

    def __init__(self, network, name):
        self.records = {}
        self._network = network
        self._name = name
        channels = network.channels[name] = FakeChannels()
        channels.subscribe(FrameKind.STREAM_RECORD, self._handle_record)
        channels.subscribe(FrameKind.STREAM_RECORD_REQUEST, self._handle_query)

    def publish(self, content, record, receiver):
        self._send(receiver, FrameKind.STREAM_RECORD, [content, list(record)])

    def ask(self, content, receiver):
        """Return the answers of an instance."""
        answers = []
        kind = FrameKind.STREAM_RECORD_ANSWER
        self._network.channels[self._name].subscribe(kind, answers.append)
        self._send(receiver, FrameKind.STREAM_RECORD_REQUEST, content)
        return [each.payload for each in answers]

    def _handle_record(self, frame):
        content, (version, request_id, *location) = frame.payload
        assert len(location) in (0, 3)
        self.records[content] = [version, request_id, *location]

    def _handle_query(self, frame):
        if frame.payload in self.records:
            answer = [frame.payload, self.records[frame.payload]]
            self._send(frame.sender, FrameKind.STREAM_RECORD_ANSWER, answer)

    def _send(self, receiver, kind, payload):
        handlers = self._network.channels[receiver].handlers
        if kind in handlers:
            handlers[kind](Frame(kind, self._name, 1, payload))


def join_old_instance():
    """Return the indexes n1 and n2, n2 of the release before, network and clock."""
    indexes, network, clock = build_indexes("n1", "n2")
    return indexes["n1"], OldInstance(network, "n2"), network, clock


SERVED_RECORD = RECORD._replace(service="engines-1")
OLD_VALUES = ["v1", "r1", "e-1", "10.0.0.1:9001", "h-1"]


def test_an_instance_of_the_release_before_is_told_of_streams():
    # Guards against callers being refused while instances are replaced one by one.
    index, old, _, _ = join_old_instance()
    index.publish("abc", SERVED_RECORD)
    assert old.records == {"abc": OLD_VALUES}
    assert old.ask("abc", "n1") == [["abc", OLD_VALUES]]
    assert old.ask("other", "n1") == []


def test_what_an_instance_of_the_release_before_publishes_is_found():
    index, old, _, _ = join_old_instance()
    old.publish("abc", OLD_VALUES, "n1")
    assert start_lookup(index, "abc") == [RECORD]
    assert start_lookup(index, "abc", None) == [RECORD]


def test_an_instance_of_the_release_before_is_asked():
    index, old, _, clock = join_old_instance()
    old.records = {"abc": OLD_VALUES, "other": ["v1", "r9"]}
    assert start_lookup(index, "abc") == [RECORD]
    found = start_lookup(index, "other")  # that of another stream of this content
    clock.advance(QUERY_TIMEOUT_S)
    assert found == [None]


def test_the_service_stays_known_if_the_release_before_goes_on_with_a_stream():
    index, old, _, _ = join_old_instance()
    index.publish("abc", SERVED_RECORD)
    old.publish("abc", ["v1", "r1"], "n1")
    assert start_lookup(index, "abc") == [SERVED_RECORD._replace(copy=None)]


def list_kinds_sent(membership):
    kinds = [kind for _, kind, _ in membership.sent]
    membership.sent.clear()
    return kinds


def test_instances_that_are_known_to_be_current_get_one_message():
    clock = Clock()
    index, network = build_index(clock), FakeNetwork()
    membership = network.join(index, "n1", ["n2"])
    index.publish("abc", SERVED_RECORD)
    both = [FrameKind.STREAM, FrameKind.STREAM_RECORD]
    assert list_kinds_sent(membership) == both
    handler = network.channels["n1"].handlers[FrameKind.STREAM]
    told = StreamTold("other", SERVED_RECORD)
    handler(Frame(FrameKind.STREAM, "n2", 1, encode_stream(told)))
    index.publish("abc", SERVED_RECORD)
    assert list_kinds_sent(membership) == [FrameKind.STREAM]
    restarted = membership.members[1]._replace(incarnation=2)
    membership.members = [membership.own, restarted]
    index.publish("abc", SERVED_RECORD)
    assert list_kinds_sent(membership) == both


def test_streams_of_one_content_are_told_apart():
    indexes, network, clock = build_indexes("n1", "n2", "n3")
    others = [RECORD._replace(request_id=f"r{number}") for number in range(2, 9)]
    for record in (RECORD, *others):
        indexes["n1"].publish("abc", record)
    late = SharedStreamIndex(clock, clock.seconds, FakeRecordStore(), StreamRetention())
    network.join(late, "n4", ["n1", "n2", "n3"])
    for record in others:
        assert start_lookup(late, "abc", record.request_id) == [record]
    assert start_lookup(late, "abc", "r1") == [RECORD]


def test_a_lookup_is_complete_only_if_all_replicas_and_the_store_answered():
    indexes, network, clock = build_indexes("n1", "n2", "n3")
    lookups = []

    def look_up():
        looking = indexes["n1"].find("abc", "r1", copy_ttl_s=4.0)
        ensureDeferred(looking).addCallback(lookups.append)
        clock.advance(QUERY_TIMEOUT_S)

    look_up()
    silent = network.channels.pop("n3")
    clock.advance(1.0)
    look_up()
    network.channels["n3"] = silent
    indexes["n1"]._recorder._store.is_down = True
    clock.advance(1.0)
    look_up()
    assert [each.is_complete for each in lookups] == [True, False, False]
    assert [each.records for each in lookups] == [()] * 3


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
