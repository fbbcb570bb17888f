from __future__ import annotations

from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_adapter._stream_records import RECORD_TABLE, StoreStreamRecords
from ebonyhaven_adapter.exceptions import StoreError
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamRecord,
    encode_stream_record,
)
from ebonyhaven_node.forwarding.interfaces import RecordStoreError, StoredRecord
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
NEWER_RECORD = RECORD._replace(copy=RunCopyLocation("e-5", None, "r1"))


class FakeStoreClient:
    """Keeps the rows of one table; fails while ``is_down`` is set."""

    def __init__(self, table=RECORD_TABLE):
        self.table = table
        self.rows = {}
        self.version = 0
        self.now_s = 50.0
        self.is_down = False

    def estimate_now_s(self):
        return self.now_s

    async def write_row(self, table, key, content, *, timeout_s):
        self._check(table)
        self.version += 1
        self.rows[key] = Row(key, content, self.version, False)

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
    run(StoreStreamRecords(instance="n1", client=client).write({"a": RECORD}))
    run(
        StoreStreamRecords(instance="n0", client=client).write(
            {"a": NEWER_RECORD, "b": RECORD}
        )
    )
    client.now_s += 3.0
    assert run(StoreStreamRecords(instance="n3", client=client).read()) == {
        "a": StoredRecord(NEWER_RECORD, 3.0),
        "b": StoredRecord(RECORD, 3.0),
    }


def test_rows_of_other_writers_are_ignored():
    client = FakeStoreClient()
    values = (3, [], ["v1"], ["v1", None], [1, "r1"], ["v1", "r1", "e-1"], [1, 2, 3])
    streams = ([], *({"a": each} for each in values))
    contents = [None, 7, {}, {"written_s": "now", "streams": {}}]
    contents += [{"written_s": 49.0, "streams": each} for each in streams]
    for number, content in enumerate(contents):
        client.rows[str(number)] = Row(str(number), content, number, False)
    assert run(StoreStreamRecords(instance="n1", client=client).read()) == {}
    content = {
        "written_s": 49.0,
        "streams": {"b": encode_stream_record(RECORD), "c": 7},
    }
    client.rows["x"] = Row("x", content, 9, False)
    records = run(StoreStreamRecords(instance="n1", client=client).read())
    assert records == {"b": StoredRecord(RECORD, 1.0)}


def test_store_failure_is_reported():
    client = FakeStoreClient()
    client.is_down = True
    records = StoreStreamRecords(instance="n1", client=client)
    for call in (records.write({"a": RECORD}), records.read()):
        try:
            run(call)
        except RecordStoreError as error:
            assert str(error) == "down"
        else:
            raise AssertionError("no error")
