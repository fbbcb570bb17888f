from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    RequestKind,
    RunCopyLocation,
    StreamIndex,
    StreamKey,
    StreamRecord,
    StreamRetention,
)
from ebonyhaven_decisions.forwarding._record_segments import SEGMENT_SPAN_S
from ebonyhaven_decisions.forwarding._stream_retention import (
    MIN_RETENTION_S,
)
from ebonyhaven_node.forwarding._stream_records import (
    READ_INTERVAL_S,
    WRITE_INTERVAL_S,
    StreamRecorder,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore
from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    event,
    make_configuration,
    make_route,
    stream_head,
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


INSTANCES = frozenset({"n1", "n2"})


def make_stream_routes(timeout_s):
    stream = make_route(
        "stream", RequestKind.STREAM, is_resumable=True, timeout_s=timeout_s
    )
    return make_configuration(routes=[stream])


def build_recorder(store=None, retention=None):
    clock, store = Clock(), store or FakeRecordStore()
    clock.advance(100.0)
    retention = retention or StreamRetention()
    index = StreamIndex(retention)
    recorder = StreamRecorder(
        index=index,
        store=store,
        retention=retention,
        reactor=clock,
        clock=clock.seconds,
    )
    return recorder, index, store, clock


def record(recorder, index, key, clock, instances=INSTANCES):
    """Record a stream, as the index of an instance does that writes its record."""
    index.record(key, RECORD, clock.seconds())
    recorder.add(make_key(key), RECORD, instances)


def make_key(content):
    return StreamKey(content, RECORD.request_id)


def keep(*contents):
    return {make_key(each): RECORD for each in contents}


def start_lookup(recorder, content):
    """Return what is found; None for nothing, an empty list while nothing is known."""
    found = []

    def record_found(lookup):
        found.extend(lookup.records or [None])

    looking = recorder.find(content, RECORD.request_id, COPY_MAX_AGE_S)
    ensureDeferred(looking).addCallback(record_found)
    return found


def test_changes_are_written_in_batches_and_nothing_is_written_without_changes():
    recorder, index, store, clock = build_recorder()
    for number in range(20):
        record(recorder, index, f"k{number}", clock)
        clock.advance(0.02)
    clock.advance(WRITE_INTERVAL_S)
    assert [len(each) for each in store.writes] == [20]
    clock.advance(10 * WRITE_INTERVAL_S)
    assert len(store.writes) == 1


def test_one_read_serves_all_callers_that_return_together():
    recorder, _, store, clock = build_recorder()
    store.segments[0] = keep("a")
    assert start_lookup(recorder, "a") == [RECORD]
    assert start_lookup(recorder, "b") == [None]
    assert store.read_count == 1
    clock.advance(READ_INTERVAL_S)
    start_lookup(recorder, "a")
    assert store.read_count == 2


def test_record_is_used_without_its_copy_once_that_has_expired():
    recorder, _, store, clock = build_recorder()
    store.segments[0] = keep("a")
    store.age_s = COPY_MAX_AGE_S - 1.0
    assert start_lookup(recorder, "a") == [RECORD]
    clock.advance(1.5)
    assert start_lookup(recorder, "a") == [RECORD._replace(copy=None)]
    assert store.read_count == 1


def test_record_is_not_used_for_longer_than_a_stream_lasts():
    recorder, _, store, clock = build_recorder()
    store.segments[0] = keep("a")
    store.age_s = MIN_RETENTION_S - 1.0
    assert start_lookup(recorder, "a") == [RECORD._replace(copy=None)]
    clock.advance(1.5)
    store.age_s += 1.5
    assert start_lookup(recorder, "a") == [None]


def test_store_failure_means_that_nothing_is_known():
    recorder, index, store, clock = build_recorder()
    store.is_down = True
    assert start_lookup(recorder, "a") == [None]
    record(recorder, index, "a", clock)
    clock.advance(WRITE_INTERVAL_S)
    assert store.writes == []


def test_records_are_written_once_the_store_is_back():
    recorder, index, store, clock = build_recorder()
    record(recorder, index, "a", clock)
    clock.advance(WRITE_INTERVAL_S)
    store.is_down = True
    record(recorder, index, "b", clock)
    clock.pump([WRITE_INTERVAL_S] * 4)
    assert store.writes == [keep("a")]
    store.is_down = False
    clock.advance(WRITE_INTERVAL_S)
    assert store.writes[1:] == [keep("a", "b")]


def begin_streams(recorder, index, clock, duration_s):
    """Record a stream a second, and return their keys."""
    keys = [f"k{number}" for number in range(round(duration_s))]
    for key in keys:
        record(recorder, index, key, clock)
        clock.advance(1.0)
    clock.advance(WRITE_INTERVAL_S)
    return keys


def find_all(store, keys, retention=None):
    """Return which of the streams an instance knows that has just started."""
    recorder, *_ = build_recorder(store, retention)
    return [key for key in keys if start_lookup(recorder, key) != [None]]


def test_records_outlast_the_longest_stream_that_a_route_allows():
    # Guards against callers being refused who come back to streams that began long
    # ago: the store kept those of the last 15 s, of routes with any timeout.
    for timeout_s in (5.0, 25.0, 120.0):
        retention = StreamRetention()
        retention.apply(make_stream_routes(timeout_s), 0.0)
        recorder, index, store, clock = build_recorder(retention=retention)
        keys = begin_streams(recorder, index, clock, timeout_s)
        assert find_all(store, keys, retention) == keys


def test_records_that_no_stream_can_need_any_more_are_removed():
    recorder, index, store, clock = build_recorder()
    begin_streams(recorder, index, clock, 5 * MIN_RETENTION_S)
    kept_s = MIN_RETENTION_S + 2 * SEGMENT_SPAN_S + 2 * WRITE_INTERVAL_S
    assert sum(map(len, store.segments.values())) <= kept_s


def test_any_number_of_streams_is_recorded():
    # Guards against the newest streams pushing out of the store those that are open
    # for longer: it held 256 of an instance.
    recorder, index, store, clock = build_recorder()
    keys = [f"k{number}" for number in range(3000)]
    for key in keys:
        record(recorder, index, key, clock)
    clock.advance(WRITE_INTERVAL_S)
    assert find_all(store, keys) == keys


def test_written_records_are_not_written_again():
    recorder, index, store, clock = build_recorder()
    begin_streams(recorder, index, clock, MIN_RETENTION_S)
    for written in store.writes:
        assert len(written) <= SEGMENT_SPAN_S + 2 * WRITE_INTERVAL_S


def test_records_are_written_again_after_a_restore_of_the_store():
    recorder, index, store, clock = build_recorder()
    keys = begin_streams(recorder, index, clock, 8.0)
    older = dict(store.segments)
    later = begin_streams(recorder, index, clock, 20.0)
    store.restore(older)
    clock.advance(WRITE_INTERVAL_S)
    assert find_all(store, {*keys, *later}) == list({*keys, *later})


def test_records_of_an_instance_that_is_gone_are_written_by_its_successor():
    # A stream whose recorder died before its write is known to the other replicas.
    recorder, index, store, clock = build_recorder()
    index.record("early", RECORD, clock.seconds())
    record(recorder, index, "late", clock, frozenset({"n1"}))
    clock.advance(WRITE_INTERVAL_S)
    index.record("next", RECORD, clock.seconds())
    record(recorder, index, "last", clock, frozenset({"n1", "n2"}))
    clock.advance(WRITE_INTERVAL_S)
    keys = ["early", "late", "next", "last"]
    assert find_all(store, keys) == keys


def test_a_restarted_instance_keeps_the_records_of_its_predecessor():
    recorder, index, store, clock = build_recorder()
    keys = begin_streams(recorder, index, clock, 8.0)
    successor, its_index, _, its_clock = build_recorder(store)
    new = begin_streams(successor, its_index, its_clock, 3.0)
    assert find_all(store, [*keys, *new]) == [*keys, *new]
    assert [
        key for key in keys if its_index.find(key, None, its_clock.seconds())
    ] == keys


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
    successor.record_store.segments = lost.record_store.segments
    return successor, references


def test_callers_resume_from_copies_after_the_loss_of_all_instances():
    # Replays the death of all instances at once: no instance knows where the copies
    # of the open runs are, and all prompts were read again.
    successor, references = lose_all_instances()
    bodies = resume_streams(successor, references, LAST_EVENT)
    assert bodies == [event(LAST_EVENT + 1)] * STREAM_COUNT


def test_a_stream_that_its_server_has_ended_may_be_taken_up():
    # Guards against refusing a caller that did not receive the end of its stream,
    # beside two software versions: the instance forgot the stream when it had sent it.
    harness = ForwardingHarness(engines=4, versions=("v1", "v2"))
    harness.open_caller().request("/stream/a", "first")
    server, _, _ = harness.take_request()
    server.receive(stream_head("first") + chunk(event(1)) + chunk(event(2)))
    server.receive(STREAM_END)
    harness.advance(1.0)
    caller = harness.open_caller()
    caller.request("/stream/a", "second", Last_Event_Id="1", Resumes="first")
    harness.advance(0.1)
    engine, _, _ = harness.take_request()
    version = harness.state.backends.find(engine_id(harness, server)).software_version
    assert harness.state.backends.find(engine_id(harness, engine)).software_version == (
        version
    )


def engine_id(harness, server):
    return next(
        each.server_id
        for each in harness.state.backends
        if each.entry.address == server.address
    )
