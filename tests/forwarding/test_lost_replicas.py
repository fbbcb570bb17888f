"""Records of streams that begin while the instances that should keep them are lost."""

from __future__ import annotations

from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamKey,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
    choose_recorder,
)
from ebonyhaven_node import FrameKind
from ebonyhaven_node.forwarding._shared_stream_index import (
    QUERY_TIMEOUT_S,
    SharedStreamIndex,
)
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore
from tests.forwarding.losses import FakeNetwork

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
CONTENT = "abc"
NAMES = tuple(f"n{number}" for number in range(1, 13))
REPLICAS = tuple(choose_index_instances(CONTENT, NAMES))
PUBLISHER, *REMAINING = (each for each in NAMES if each not in REPLICAS)
NOTICE_S = 2.0  # from the loss of an instance until the others suspect it
SETTLE_S = 0.5


class Group:
    """Instances that keep records of streams, each with a store of its own."""

    def __init__(self):
        self.clock = Clock()
        self.network = FakeNetwork()
        self.stores = {}
        self.indexes = {}
        self.memberships = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start an instance that remembers nothing."""
        store = self.stores[name] = FakeRecordStore()
        index = SharedStreamIndex(
            self.clock, self.clock.seconds, store, StreamRetention()
        )
        others = [each for each in NAMES if each != name]
        self.indexes[name] = index
        self.memberships[name] = self.network.join(index, name, others)

    def lose(self, *names):
        for name in names:
            del self.network.channels[name]

    def change(self, *names, **changes):
        """Have the other instances learn that records of instances have changed."""
        for own, membership in self.memberships.items():
            if own in names:
                continue
            membership.members = [
                each._replace(**changes) if each.name in names else each
                for each in membership.members
            ]
            for each in membership.members:
                if each.name in names:
                    for observer in membership.observers:
                        observer(each)

    def suspect(self, *names):
        self.change(*names, state=MemberState.SUSPECT)

    def count_sent(self):
        return len(self.memberships[PUBLISHER].sent)

    def look_up(self, name):
        """Return the records that an instance finds in time."""
        lookups = []
        looking = self.indexes[name].find(CONTENT, RECORD.request_id, copy_ttl_s=4.0)
        ensureDeferred(looking).addCallback(lookups.append)
        self.clock.advance(QUERY_TIMEOUT_S)
        return [each for lookup in lookups for each in lookup.records]


def test_a_stream_is_found_that_began_before_the_loss_of_its_replicas_was_noticed():
    # Guards against refusing callers whose stream began in the seconds after a mass end
    # of instances, once its own instance is lost as well.
    group = Group()
    group.lose(*REPLICAS)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.clock.advance(NOTICE_S)
    group.suspect(*REPLICAS)
    group.clock.advance(SETTLE_S)
    group.lose(PUBLISHER)
    assert [group.look_up(each) for each in REMAINING] == [[RECORD]] * len(REMAINING)


def test_a_stream_is_found_that_begins_while_its_replicas_are_suspected():
    # Instances that were lost are suspected for five seconds before they count as dead.
    group = Group()
    group.lose(*REPLICAS)
    group.suspect(*REPLICAS)
    group.clock.advance(SETTLE_S)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.lose(PUBLISHER)
    assert [group.look_up(each) for each in REMAINING] == [[RECORD]] * len(REMAINING)


def test_a_stream_is_found_by_an_instance_that_suspects_none_of_its_replicas():
    group = Group()
    group.suspect(*REPLICAS)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.change(*REPLICAS, state=MemberState.LIVE)
    group.lose(PUBLISHER)
    assert [group.look_up(each) for each in REMAINING] == [[RECORD]] * len(REMAINING)


def test_another_instance_writes_the_record_while_its_recorder_is_suspected():
    group = Group()
    recorder = choose_recorder(CONTENT, NAMES)
    group.lose(recorder)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.clock.advance(NOTICE_S)
    group.suspect(recorder)
    for _ in range(4):
        group.clock.advance(WRITE_INTERVAL_S)
    written = [
        records
        for name, store in group.stores.items()
        if name != recorder
        for records in store.segments.values()
    ]
    assert {StreamKey(CONTENT, "r1"): RECORD} in written


LATER_RECORD = RECORD._replace(copy=RunCopyLocation("e-2", "10.0.0.2:9001", "h-2"))


def test_record_that_is_sent_once_more_replaces_no_newer_place_of_the_copy():
    # Guards against streams that are taken up from an older place of their copy, whose
    # holder refuses them, after the instance has changed that writes their records.
    group = Group()
    later, *others, earlier = PUBLISHER, *REMAINING  # in the order in which they send
    group.indexes[earlier].publish(CONTENT, RECORD)
    group.clock.advance(NOTICE_S)
    group.indexes[later].publish(CONTENT, LATER_RECORD)
    recorder = choose_recorder(CONTENT, NAMES)
    group.lose(recorder)
    group.suspect(recorder)
    group.clock.advance(SETTLE_S)
    group.lose(earlier, later)
    found = [group.look_up(each) for each in others]
    assert found == [[LATER_RECORD]] * len(found)


def test_record_that_is_sent_once_more_brings_the_newest_place_of_the_copy():
    group = Group()
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.clock.advance(NOTICE_S)
    group.indexes[PUBLISHER].publish(CONTENT, LATER_RECORD)
    group.clock.advance(SETTLE_S)
    group.lose(*REPLICAS)
    for name in REPLICAS:
        group.start(name)
    group.change(*REPLICAS, incarnation=2)
    group.clock.advance(SETTLE_S)
    group.lose(PUBLISHER)
    found = [group.look_up(each) for each in REMAINING]
    assert found == [[LATER_RECORD]] * len(found)


def test_answer_that_comes_late_replaces_no_newer_place_of_the_copy():
    group = Group()
    taken_up_at, other = REMAINING[:2]
    for name in REPLICAS:
        group.indexes[name]._index.record(CONTENT, RECORD, group.clock.seconds())
    late = []
    channel = group.network.channels[taken_up_at]
    handle_answer = channel.handlers[FrameKind.STREAM_ANSWER]
    channel.handlers[FrameKind.STREAM_ANSWER] = late.append
    group.look_up(taken_up_at)
    group.indexes[taken_up_at].publish(CONTENT, LATER_RECORD)
    for frame in late:
        handle_answer(frame)
    assert late
    assert group.look_up(taken_up_at) == [LATER_RECORD]
    assert group.look_up(other) == [LATER_RECORD]


def test_a_replica_that_restarts_is_sent_what_was_just_published():
    group = Group()
    group.lose(*REPLICAS)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.clock.advance(SETTLE_S)
    for each in REPLICAS:
        group.start(each)
    group.change(*REPLICAS, incarnation=2)
    group.clock.advance(SETTLE_S)
    group.lose(PUBLISHER)
    assert [group.look_up(each) for each in REMAINING] == [[RECORD]] * len(REMAINING)


def test_a_change_of_other_instances_repeats_no_record():
    group = Group()
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    sent = group.count_sent()
    group.suspect(REMAINING[-1])
    group.clock.advance(SETTLE_S)
    assert group.count_sent() == sent


def test_the_latest_record_of_a_stream_is_repeated():
    group = Group()
    without_copy = RECORD._replace(copy=None)
    group.lose(*REPLICAS)
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.indexes[PUBLISHER].publish(CONTENT, without_copy)
    group.suspect(*REPLICAS)
    group.clock.advance(SETTLE_S)
    group.lose(PUBLISHER)
    assert group.look_up(REMAINING[0]) == [without_copy]


def test_old_records_are_not_repeated():
    group = Group()
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    sent = group.count_sent()
    group.clock.advance(10.0)
    group.suspect(*REPLICAS)
    group.clock.advance(SETTLE_S)
    assert group.count_sent() == sent


def test_an_index_that_was_stopped_sends_nothing_more():
    group = Group()
    group.indexes[PUBLISHER].publish(CONTENT, RECORD)
    group.indexes[PUBLISHER].stop()
    sent = group.count_sent()
    group.suspect(*REPLICAS)
    group.clock.advance(SETTLE_S)
    assert group.count_sent() == sent
