from __future__ import annotations

from ebonyhaven_decisions.forwarding import RunCopyLocation, StreamIndex, StreamRecord
from ebonyhaven_node.forwarding._stream_records import (
    READ_INTERVAL_S,
    RECORD_TTL_S,
    WRITE_INTERVAL_S,
    StreamRecorder,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore
from tests.forwarding.harness import (
    ForwardingHarness,
    chunk,
    event,
)
from tests.forwarding.losses import (
    STREAM_COUNT,
    FakeNetwork,
    open_streams,
    resume_streams,
)

LAST_EVENT = 12
COPY_MAX_AGE_S = 5.0
RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))


def build_recorder():
    clock, index, store = Clock(), StreamIndex(30.0), FakeRecordStore()
    recorder = StreamRecorder(
        index=index, store=store, reactor=clock, clock=clock.seconds
    )
    return recorder, index, store, clock


def start_lookup(recorder, key):
    found = []
    ensureDeferred(recorder.find(key, COPY_MAX_AGE_S)).addCallback(found.append)
    return found


def test_changes_are_written_in_batches_and_nothing_is_written_without_changes():
    recorder, index, store, clock = build_recorder()
    for number in range(20):
        index.record(f"k{number}", RECORD, clock.seconds())
        recorder.schedule_write()
        clock.advance(0.02)
    clock.advance(WRITE_INTERVAL_S)
    assert [len(each) for each in store.writes] == [20]
    clock.advance(10 * WRITE_INTERVAL_S)
    assert len(store.writes) == 1


def test_one_read_serves_all_callers_that_return_together():
    recorder, _, store, clock = build_recorder()
    store.writes.append({"a": RECORD})
    assert start_lookup(recorder, "a") == [RECORD]
    assert start_lookup(recorder, "b") == [None]
    assert store.read_count == 1
    clock.advance(READ_INTERVAL_S)
    start_lookup(recorder, "a")
    assert store.read_count == 2


def test_record_is_used_without_its_copy_once_that_has_expired():
    recorder, _, store, clock = build_recorder()
    store.writes.append({"a": RECORD})
    store.age_s = COPY_MAX_AGE_S - 1.0
    assert start_lookup(recorder, "a") == [RECORD]
    clock.advance(1.5)
    assert start_lookup(recorder, "a") == [RECORD._replace(copy=None)]
    assert store.read_count == 1


def test_record_is_not_used_for_longer_than_a_stream_lasts():
    recorder, _, store, clock = build_recorder()
    store.writes.append({"a": RECORD})
    store.age_s = RECORD_TTL_S - 1.0
    assert start_lookup(recorder, "a") == [RECORD._replace(copy=None)]
    clock.advance(1.5)
    assert start_lookup(recorder, "a") == [None]


def test_store_failure_means_that_nothing_is_known():
    recorder, index, store, clock = build_recorder()
    store.is_down = True
    assert start_lookup(recorder, "a") == [None]
    index.record("a", RECORD, clock.seconds())
    recorder.schedule_write()
    clock.advance(WRITE_INTERVAL_S)
    assert store.writes == []
    store.is_down = False
    recorder.schedule_write()
    clock.advance(WRITE_INTERVAL_S)
    assert store.writes == [{"a": RECORD}]


def send_events(harness, last):
    """Continue all open streams until a write is due; events 1 and 2 were sent."""
    for number in range(3, last + 1):
        for server in harness.connections:
            server.receive(chunk(event(number)))
        harness.advance(WRITE_INTERVAL_S / (last - 3))


def lose_all_instances():
    """Open streams on an instance, and return its successor, which knows nothing."""
    lost, successor = ForwardingHarness(engines=9), ForwardingHarness(engines=9)
    FakeNetwork().join(lost.gateway._stream_index, "n1", [])
    FakeNetwork().join(successor.gateway._stream_index, "n1", [])
    references = open_streams(lost, STREAM_COUNT)
    send_events(lost, LAST_EVENT)
    successor.record_store.writes = lost.record_store.writes
    return successor, references


def test_callers_resume_from_copies_after_the_loss_of_all_instances():
    # Replays the death of all instances at once: no instance knows where the copies
    # of the open runs are, and all prompts were read again.
    successor, references = lose_all_instances()
    bodies = resume_streams(successor, references, LAST_EVENT)
    assert bodies == [event(LAST_EVENT + 1)] * STREAM_COUNT
