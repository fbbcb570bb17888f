from __future__ import annotations

from ebonyhaven_adapter._loss_records import LOSS_TABLE, StoreLossRecords
from ebonyhaven_adapter._store import Row
from ebonyhaven_decisions.forwarding import LossReport
from ebonyhaven_node.forwarding.interfaces import RecordStoreError

from tests.platform_adapter.test_stream_records import FakeStoreClient, run

REPORT = LossReport("i-1/5", "dc-a", 2.0, (("part a", "0123456789abcdef"),))


def test_reports_age_in_the_store():
    client = FakeStoreClient(LOSS_TABLE)
    run(StoreLossRecords(instance="n1", client=client).write([REPORT]))
    client.now_s += 3.0
    reports = run(StoreLossRecords(instance="n2", client=client).read())
    assert reports == [REPORT._replace(age_s=5.0)]


def test_rows_of_other_writers_are_ignored():
    client = FakeStoreClient(LOSS_TABLE)
    contents = (None, 7, {}, {"written_s": "now", "losses": []})
    malformed = ({"written_s": 1.0, "losses": each} for each in (5, [5], [["s"]]))
    for number, content in enumerate((*contents, *malformed)):
        client.rows[str(number)] = Row(str(number), content, number, False)
    assert run(StoreLossRecords(instance="n1", client=client).read()) == []


def test_failures_of_the_store_are_reported():
    client = FakeStoreClient(LOSS_TABLE)
    client.is_down = True
    records = StoreLossRecords(instance="n1", client=client)
    for call in (lambda: records.write([REPORT]), records.read):
        try:
            run(call())
        except RecordStoreError:
            continue
        raise AssertionError("no error")
