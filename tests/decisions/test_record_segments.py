from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    RecordSegments,
    RunCopyLocation,
    StreamKey,
    StreamRecord,
    StreamRetention,
)
from ebonyhaven_decisions.forwarding._record_segments import (
    MAX_SEGMENT_BYTES,
    MAX_WRITTEN_SEGMENTS,
    SEGMENT_SPAN_S,
)
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
NEWER_RECORD = RECORD._replace(copy=None)


def write(segments, store, now, *, is_lost=False):
    """Write what is due; return the write."""
    planned = segments.plan_write(now)
    if is_lost:
        segments.reject(planned, now)
        return planned
    store.update(planned.written)
    for number in planned.removed:
        store.pop(number, None)  # the write with it may have been lost
    segments.confirm(planned, now)
    return planned


def make_key(content):
    return StreamKey(content, RECORD.request_id)


def list_contents(records):
    return [key.content for key in records]


def read(store):
    """Return the records of all segments by content of their streams."""
    merged = {}
    for _, records in sorted(store.items()):
        merged.update({key.content: each for key, each in records.items()})
    return merged


def test_a_segment_takes_records_until_it_is_old_or_large():
    segments, store = RecordSegments(StreamRetention()), {}
    segments.add(make_key("a"), RECORD, 100.0)
    write(segments, store, 101.0)
    segments.add(make_key("b"), RECORD, 100.0 + SEGMENT_SPAN_S)
    segments.add(make_key("c"), RECORD, 100.1 + SEGMENT_SPAN_S)
    write(segments, store, 101.0 + SEGMENT_SPAN_S)
    assert [list_contents(each) for each in store.values()] == [["a", "b"], ["c"]]
    large = RECORD._replace(request_id="r" * (MAX_SEGMENT_BYTES // 2))
    segments.add(make_key("d"), large, 102.0 + SEGMENT_SPAN_S)
    segments.add(make_key("e"), large, 102.0 + SEGMENT_SPAN_S)
    write(segments, store, 103.0 + SEGMENT_SPAN_S)
    assert [list_contents(each) for each in store.values()] == [
        ["a", "b"],
        ["c", "d"],
        ["e"],
    ]


def test_a_record_that_fits_into_no_row_keeps_no_other_from_being_written():
    # Guards against one caller with a very long request id making all writes fail.
    segments, store = RecordSegments(StreamRetention()), {}
    segments.add(make_key("a"), RECORD, 100.0)
    segments.add(
        make_key("b"), RECORD._replace(request_id="r" * MAX_SEGMENT_BYTES), 100.0
    )
    segments.add(make_key("c"), RECORD, 100.0)
    write(segments, store, 101.0)
    assert read(store) == {"a": RECORD, "c": RECORD}


def test_a_lost_write_that_comes_late_replaces_nothing():
    segments, store = RecordSegments(StreamRetention()), {}
    segments.add(make_key("a"), RECORD, 100.0)
    lost = write(segments, store, 101.0, is_lost=True)
    segments.add(make_key("a"), NEWER_RECORD, 101.0)
    segments.add(make_key("b"), RECORD, 101.0)
    write(segments, store, 102.0)
    store.update(lost.written)
    assert read(store) == {"a": NEWER_RECORD, "b": RECORD}
    segments.add(make_key("c"), RECORD, 200.0)
    write(segments, store, 200.0)
    segments.add(make_key("d"), RECORD, 201.0)
    write(segments, store, 201.0)
    assert list(read(store)) == ["c", "d"]  # the late one is removed with the others


def test_newer_segments_keep_the_higher_numbers_after_a_lost_write():
    segments, store = RecordSegments(StreamRetention()), {}
    segments.add(make_key("a"), RECORD, 100.0)
    planned = segments.plan_write(101.0)
    segments.add(make_key("a"), NEWER_RECORD, 101.0 + SEGMENT_SPAN_S)
    segments.reject(planned, 102.0)
    write(segments, store, 103.0)
    assert read(store) == {"a": NEWER_RECORD}


def test_records_added_during_a_write_are_written_next():
    segments, store = RecordSegments(StreamRetention()), {}
    segments.add(make_key("a"), RECORD, 100.0)
    planned = segments.plan_write(101.0)
    segments.add(make_key("b"), RECORD, 101.0)
    store.update(planned.written)
    segments.confirm(planned, 101.1)
    assert not segments.is_written
    write(segments, store, 102.0)
    assert read(store) == {"a": RECORD, "b": RECORD}
    assert segments.is_written


def test_a_long_time_without_the_store_is_caught_up_in_several_writes():
    segments, store = RecordSegments(StreamRetention()), {}
    large = RECORD._replace(request_id="r" * (MAX_SEGMENT_BYTES * 3 // 4))
    keys = [f"k{number}" for number in range(2 * MAX_WRITTEN_SEGMENTS + 1)]
    for key in keys:
        segments.add(make_key(key), large, 100.0)
    sizes = [len(write(segments, store, 101.0).written) for _ in range(3)]
    assert sizes == [MAX_WRITTEN_SEGMENTS, MAX_WRITTEN_SEGMENTS, 1]
    assert list(read(store)) == keys


def test_segments_of_the_process_before_are_kept_until_their_streams_are_over():
    segments, store = RecordSegments(StreamRetention()), {7: {make_key("old"): RECORD}}
    segments.add_found(7, age_s=10.0, now=100.0)
    segments.add(make_key("new"), RECORD, 100.0)
    segments.restart({make_key("new"): RECORD}, 100.0)
    write(segments, store, 101.0)
    assert read(store) == {"old": RECORD, "new": RECORD}
    write(segments, store, 90.0 + MIN_RETENTION_S)
    assert read(store) == {"new": RECORD}


def test_restart_replaces_what_was_written_in_one_write():
    segments, store = RecordSegments(StreamRetention()), {}
    for number in range(4):
        segments.add(
            make_key(f"k{number}"), RECORD, 100.0 + 2 * SEGMENT_SPAN_S * number
        )
        write(segments, store, 101.0 + 2 * SEGMENT_SPAN_S * number)
    assert len(store) == 4
    segments.restart({make_key(key): each for key, each in read(store).items()}, 150.0)
    write(segments, store, 150.0)
    assert len(store) == 1
    assert list(read(store)) == ["k0", "k1", "k2", "k3"]
