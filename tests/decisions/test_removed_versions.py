from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState
from ebonyhaven_decisions.forwarding._removed_versions import (
    ENTRY_RETURN_S,
    VERSION_MEMORY_S,
    RemovedVersions,
)

from tests.decisions.test_forwarding import build_directory, make_entry


def test_versions_are_remembered_for_as_long_as_a_stream_lasts():
    versions = RemovedVersions()
    versions.record(make_entry("s0", software_version="v1"), 100.0)
    versions.record(make_entry("s1", software_version=None), 101.0)
    assert versions.list_recent("engines", 101.0) == {"v1", None}
    assert versions.list_recent("other", 101.0) == set()
    assert versions.list_recent("engines", 100.5 + VERSION_MEMORY_S) == {None}


def test_only_servers_that_did_not_announce_their_end_may_return():
    versions = RemovedVersions()
    leaving = make_entry("s0", software_version="v1", state=BackendState.LEAVING)
    versions.record(leaving, 100.0)
    versions.record(make_entry("s1", software_version="v2"), 100.0)
    assert not versions.may_return("engines", "v1", 100.0)
    assert versions.may_return("engines", "v2", 100.0 + ENTRY_RETURN_S)
    assert not versions.may_return("engines", "v2", 100.1 + ENTRY_RETURN_S)


def test_version_is_inferred_only_while_a_service_has_one():
    directory = build_directory()
    assert directory.infer_version("engines", 10.0) == "v1"
    assert directory.infer_version("other", 10.0) is None
    directory.put(make_entry("s9", software_version="v2"), 10.0)
    assert directory.infer_version("engines", 10.0) is None
    directory.remove("s9", 11.0)
    assert directory.infer_version("engines", 11.0 + VERSION_MEMORY_S) is None
    assert directory.infer_version("engines", 11.1 + VERSION_MEMORY_S) == "v1"


def test_version_is_served_by_ready_servers_only():
    directory = build_directory()
    leaving = make_entry("s9", software_version="v2", state=BackendState.LEAVING)
    directory.put(leaving, 10.0)
    assert directory.may_serve_version("engines", "v1", 10.0)
    assert not directory.may_serve_version("engines", "v2", 10.0)
    assert not directory.may_serve_version("engines", "v3", 10.0)
    assert [each.server_id for each in directory.list_usable("engines", 10.0)] == [
        each.server_id for each in directory.list_usable("engines", 10.0, version="v1")
    ]
