from __future__ import annotations

from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_adapter._stream_records import RECORD_TABLE, StoreStreamRecords
from ebonyhaven_adapter.exceptions import StoreError
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    SegmentWrite,
    StreamKey,
    StreamRecord,
    encode_stream_record,
)
from ebonyhaven_node.forwarding.interfaces import RecordStoreError, StoredSegment
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
NEWER_RECORD = RECORD._replace(copy=RunCopyLocation("e-5", None, "r1"))


def keep(**records):
    return {StreamKey(key, each.request_id): each for key, each in records.items()}


class FakeStoreClient:
    """Keeps the rows of one table; fails while ``is_down`` is set."""

    def __init__(self, table=RECORD_TABLE):
        self.table = table
        self.rows = {}
        self.version = 0
        self.now_s = 50.0
        self.is_down = False
        self.era_observers = []

    def estimate_now_s(self):
        return self.now_s

    def observe_era(self, observer):
        self.era_observers.append(observer)

    async def write_rows(self, contents, *, removed=(), expected, timeout_s):
        assert not expected
        for table, _ in (*contents, *removed):
            self._check(table)
        self.version += 1
        for (_, key), content in contents.items():
            self.rows[key] = Row(key, content, self.version, False)
        for _, key in removed:
            del self.rows[key]
        return self.version

    async def read_table(self, table, *, timeout_s):
        self._check(table)
        rows = tuple(self.rows.values())
        return RowBatch(rows, self.version, False, now_s=self.now_s)

    def _check(self, table):
        assert table == self.table
        if self.is_down:
            raise StoreError(step="test", peer="store", reason="down")


def run(coroutine):
    results = []
    ensureDeferred(coroutine).addBoth(results.append)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def test_records_of_all_instances_are_read_and_the_newest_row_wins():
    client = FakeStoreClient()
    first = SegmentWrite({0: keep(a=RECORD)}, ())
    second = SegmentWrite({0: keep(a=NEWER_RECORD, b=RECORD)}, ())
    run(StoreStreamRecords(instance="n1", client=client).write(first))
    run(StoreStreamRecords(instance="n0", client=client).write(second))
    client.now_s += 3.0
    assert run(StoreStreamRecords(instance="n3", client=client).read()) == [
        StoredSegment(None, first.written[0], 3.0),
        StoredSegment(None, second.written[0], 3.0),
    ]


def test_segments_of_one_instance_are_replaced_and_removed_by_number():
    client = FakeStoreClient()
    records = StoreStreamRecords(instance="n1", client=client)
    run(records.write(SegmentWrite({9: keep(a=RECORD), 10: keep(b=RECORD)}, ())))
    run(records.write(SegmentWrite({10: keep(c=RECORD)}, (9,))))
    assert run(records.read()) == [StoredSegment(10, keep(c=RECORD), 0.0)]


def test_segments_of_one_write_are_read_in_the_order_of_their_numbers():
    client = FakeStoreClient()
    records = StoreStreamRecords(instance="n1", client=client)
    numbers = [8, 9, 10, 100]
    run(records.write(SegmentWrite({each: keep(a=RECORD) for each in numbers}, ())))
    client.rows = dict(sorted(client.rows.items()))  # as the store returns them
    assert [each.own_number for each in run(records.read())] == numbers


def test_rows_of_the_release_before_are_read():
    client = FakeStoreClient()
    content = {"written_s": 49.0, "streams": {"a": encode_stream_record(RECORD)}}
    client.rows["n1"] = Row("n1", content, 1, False)
    segments = run(StoreStreamRecords(instance="n1", client=client).read())
    assert segments == [StoredSegment(None, keep(a=RECORD), 1.0)]


def write_and_read(records):
    """Return the content of the row with records, and what is read from it."""
    client = FakeStoreClient()
    store = StoreStreamRecords(instance="n1", client=client)
    run(store.write(SegmentWrite({0: records}, ())))
    (segment,) = run(store.read())
    return client.rows["n1/000000000"].content, segment.records


def test_services_of_streams_are_kept():
    records = keep(
        a=RECORD._replace(service="engines-1"),
        b=RECORD._replace(service="engines-2"),
        c=RECORD._replace(service="engines-1"),
        d=RECORD,
    )
    content, found = write_and_read(records)
    assert found == records
    assert content["service"] == "engines-1"
    assert len(content["others"]) == 2


def test_streams_of_one_content_are_kept():
    first = RECORD._replace(service="engines-1")
    records = [first._replace(request_id=f"r{number}") for number in range(4)]
    kept = {each.make_key("a"): each for each in records}
    content, found = write_and_read(kept)
    assert found == kept
    assert content["streams"] == {"a": encode_stream_record(records[-1])}


def test_the_release_before_reads_the_streams_of_a_row():
    # It takes values of two or five elements, and one stream of a content.
    records = keep(a=RECORD._replace(service="engines-1"), b=RECORD._replace(copy=None))
    content, _ = write_and_read(records)
    assert content["streams"] == {
        "a": ["v1", "r1", "e-1", "10.0.0.1:9001", "h-1"],
        "b": ["v1", "r1"],
    }


def test_odd_services_and_other_streams_are_left_out():
    values = encode_stream_record(RECORD)
    odd = [7, [], ["b"], ["b", values, 7], [["b"], "v", None], "abc"]
    for others in (odd, *odd):
        content = {"written_s": 49.0, "streams": {"a": values}, "others": others}
        client = FakeStoreClient()
        client.rows["x"] = Row("x", content, 1, False)
        (segment,) = run(StoreStreamRecords(instance="n1", client=client).read())
        assert segment.records in ({}, keep(a=RECORD))


def test_rows_of_other_writers_are_ignored():
    client = FakeStoreClient()
    values = (3, [], ["v1"], ["v1", None], [1, "r1"], ["v1", "r1", "e-1"], [1, 2, 3])
    streams = ([], *({"a": each} for each in values))
    contents = [None, 7, {}, {"written_s": "now", "streams": {}}]
    contents += [{"written_s": 49.0, "streams": each} for each in streams]
    for number, content in enumerate(contents):
        client.rows[str(number)] = Row(str(number), content, number, False)
    segments = run(StoreStreamRecords(instance="n1", client=client).read())
    assert [each.records for each in segments] == [{}] * len(streams)
    content = {
        "written_s": 49.0,
        "streams": {"b": encode_stream_record(RECORD), "c": 7},
    }
    client.rows["x"] = Row("x", content, 9, False)
    segments = run(StoreStreamRecords(instance="n1", client=client).read())
    assert StoredSegment(None, keep(b=RECORD), 1.0) in segments
    assert sum(len(each.records) for each in segments) == 1


def test_store_failure_is_reported():
    client = FakeStoreClient()
    client.is_down = True
    records = StoreStreamRecords(instance="n1", client=client)
    for call in (records.write(SegmentWrite({0: keep(a=RECORD)}, ())), records.read()):
        try:
            run(call)
        except RecordStoreError as error:
            assert str(error) == "down"
        else:
            raise AssertionError("no error")
