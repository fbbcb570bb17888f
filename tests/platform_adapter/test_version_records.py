from __future__ import annotations

from ebonyhaven_adapter._store import Row
from ebonyhaven_adapter._version_records import VERSION_TABLE, StoreVersionRecords
from ebonyhaven_decisions.forwarding import VersionRecord, VersionSnapshot
from ebonyhaven_node.forwarding.interfaces import RecordStoreError

from tests.platform_adapter.test_stream_records import FakeStoreClient, run

RECORDS = (VersionRecord("engines", "v1", None), VersionRecord("engines", "v2", 2.5))


def build(client, instance="n1"):
    return StoreVersionRecords(instance=instance, client=client)


def test_snapshots_of_all_instances_are_read_with_their_age():
    client = FakeStoreClient(VERSION_TABLE)
    run(build(client).write(VersionSnapshot(RECORDS, is_complete=True)))
    client.now_s += 3.0
    run(build(client, "n2").write(VersionSnapshot((), is_complete=False)))
    assert run(build(client, "n3").read()) == [
        VersionSnapshot(RECORDS, True, 3.0),
        VersionSnapshot((), False, 0.0),
    ]


def test_rows_of_other_writers_show_no_past():
    client = FakeStoreClient(VERSION_TABLE)
    written = {"written_s": 50.0}
    contents = (
        written,
        {**written, "versions": 3, "is_complete": True},
        {**written, "versions": [["engines"]], "is_complete": True},
        {**written, "versions": [[1, "v1", None]], "is_complete": True},
        {**written, "versions": [["engines", "v1", "long"]], "is_complete": True},
    )
    for number, content in enumerate(contents):
        client.rows[str(number)] = Row(str(number), content, number, False)
    snapshots = run(build(client).read())
    assert snapshots == [VersionSnapshot((), False, 0.0)] * len(contents)


def test_failures_of_the_store_are_reported():
    client = FakeStoreClient(VERSION_TABLE)
    client.is_down = True
    store = build(client)
    snapshot = VersionSnapshot((), is_complete=True)
    for call in (lambda: store.write(snapshot), store.read):
        try:
            run(call())
        except RecordStoreError:
            continue
        raise AssertionError("no error")
