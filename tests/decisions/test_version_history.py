from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    BackendState,
    StreamRetention,
    VersionRecord,
    VersionSnapshot,
)
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S
from ebonyhaven_decisions.forwarding._version_history import (
    ENTRY_RETURN_S,
    VersionHistory,
)

from tests.decisions.test_forwarding import build_directory, make_entry


def test_versions_are_remembered_for_as_long_as_a_stream_lasts():
    versions = VersionHistory(StreamRetention())
    versions.record(make_entry("s0", software_version="v1"), 100.0)
    versions.record(make_entry("s1", software_version=None), 101.0)
    assert versions.list_recent("engines", 101.0) == {"v1", None}
    assert versions.list_recent("other", 101.0) == set()
    assert versions.list_recent("engines", 100.5 + MIN_RETENTION_S) == {None}


def test_only_servers_that_did_not_announce_their_end_may_return():
    versions = VersionHistory(StreamRetention())
    leaving = make_entry("s0", software_version="v1", state=BackendState.LEAVING)
    versions.record(leaving, 100.0)
    versions.record(make_entry("s1", software_version="v2"), 100.0)
    assert not versions.may_return("engines", "v1", 100.0)
    assert versions.may_return("engines", "v2", 100.0 + ENTRY_RETURN_S)
    assert not versions.may_return("engines", "v2", 100.1 + ENTRY_RETURN_S)


def test_version_is_inferred_only_while_a_service_has_one():
    directory = build_directory()
    directory.versions.add_earlier([], 10.0)
    assert directory.versions.infer("engines", 10.0) == "v1"
    assert directory.versions.infer("other", 10.0) is None
    directory.put(make_entry("s9", software_version="v2"), 10.0)
    assert directory.versions.infer("engines", 10.0) is None
    directory.remove("s9", 11.0)
    assert directory.versions.infer("engines", 11.0 + MIN_RETENTION_S) is None
    assert directory.versions.infer("engines", 11.1 + MIN_RETENTION_S) == "v1"


def test_version_is_served_by_ready_servers_only():
    directory = build_directory()
    leaving = make_entry("s9", software_version="v2", state=BackendState.LEAVING)
    directory.put(leaving, 10.0)
    assert directory.versions.may_serve("engines", "v1", 10.0)
    assert not directory.versions.may_serve("engines", "v2", 10.0)
    assert not directory.versions.may_serve("engines", "v3", 10.0)
    assert [each.server_id for each in directory.list_usable("engines", 10.0)] == [
        each.server_id for each in directory.list_usable("engines", 10.0, version="v1")
    ]


def take_snapshot(*versions, age_s=0.0, is_complete=True, gone_s=None):
    records = tuple(VersionRecord("engines", each, gone_s) for each in versions)
    return VersionSnapshot(records, is_complete, age_s)


def infer(*snapshots, after_s=0.0):
    """Return the version that a new instance infers; its list shows v1 alone."""
    directory = build_directory()
    directory.versions.record_list_read(10.0)
    directory.versions.add_earlier(snapshots, 10.0)
    return directory.versions.infer("engines", 10.0 + after_s)


def test_past_is_unknown_until_it_was_read_or_followed():
    directory = build_directory()
    directory.versions.record_list_read(10.0)
    assert directory.versions.infer("engines", 10.0) is None
    assert directory.versions.infer("engines", 10.0 + MIN_RETENTION_S) == "v1"
    assert infer() == "v1"  # no instance has ever run


def test_version_that_was_in_use_before_the_start_counts():
    assert infer(take_snapshot("v1")) == "v1"
    assert infer(take_snapshot("v1", "v2")) is None
    assert infer(take_snapshot("v1", "v2"), after_s=MIN_RETENTION_S + 0.1) == "v1"
    gone = take_snapshot("v2", gone_s=20.0, age_s=5.0)
    assert infer(take_snapshot("v1"), gone) is None
    assert infer(take_snapshot("v1"), gone, after_s=5.1) == "v1"


def test_only_the_newest_complete_snapshot_shows_the_past():
    assert infer(take_snapshot("v1", is_complete=False)) is None
    old = take_snapshot("v0", age_s=3600.0)
    assert infer(old, take_snapshot("v1", age_s=40.0)) == "v1"
    assert infer(old) is None
    recent = take_snapshot("v2", age_s=3.0, is_complete=False)
    assert infer(take_snapshot("v1", age_s=40.0), recent) is None


def test_snapshot_passes_on_what_was_read():
    directory = build_directory()
    assert not directory.versions.export(10.0).is_complete
    directory.versions.add_earlier([take_snapshot("v2", gone_s=4.0)], 10.0)
    snapshot = directory.versions.export(12.0)
    assert snapshot.is_complete
    assert VersionRecord("engines", "v2", 6.0) in snapshot.records
