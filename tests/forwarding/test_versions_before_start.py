"""What a new instance knows of the software versions that began streams."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import VersionRecord, VersionSnapshot
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S
from ebonyhaven_node.forwarding._begun_streams import SEARCH_TIMEOUT_S
from ebonyhaven_node.forwarding._shared_records import RETRY_INTERVAL_S
from ebonyhaven_node.forwarding._stream_records import SEARCH_INTERVAL_S

from tests.forwarding.harness import ForwardingHarness
from tests.forwarding.test_software_versions import (
    VERSIONS,
    retry_stream,
    withdraw_version,
)


def test_new_instance_does_not_take_the_only_listed_version_for_that_of_a_stream():
    # Guards against streams of two versions after the loss of all instances: the list
    # shows only the version that replaced that of the stream.
    harness = ForwardingHarness(engines=6, versions=("v2",), knows_past=False)
    harness.record_store.is_down = True
    retry = retry_stream(harness)
    harness.advance(SEARCH_TIMEOUT_S + SEARCH_INTERVAL_S)
    assert retry.read_answer()[0] == 503
    assert harness.count_waiting() == 0


def test_new_instance_learns_the_version_that_has_left_from_the_store():
    # The last snapshot still shows it listed: it left when no instance was alive.
    records = tuple(VersionRecord("engines", each, None) for each in VERSIONS)
    harness = ForwardingHarness(engines=6, versions=("v2",), knows_past=False)
    harness.version_store.is_down = False
    harness.version_store.snapshots = [VersionSnapshot(records, True, age_s=300.0)]
    harness.advance(RETRY_INTERVAL_S)
    assert retry_stream(harness).read_answer()[0] == 503
    harness.advance(MIN_RETENTION_S)
    retry_stream(harness)
    assert harness.count_waiting() == 1


def test_new_instance_goes_on_with_streams_of_the_only_version_that_was_in_use():
    records = (VersionRecord("engines", "v1", None),)
    harness = ForwardingHarness(engines=6, knows_past=False)
    harness.version_store.is_down = False
    harness.version_store.snapshots = [VersionSnapshot(records, True, age_s=300.0)]
    harness.advance(RETRY_INTERVAL_S)
    retry_stream(harness)
    assert harness.count_waiting() == 1


def test_past_is_known_to_an_instance_that_has_followed_the_list_long_enough():
    harness = ForwardingHarness(engines=6, knows_past=False)
    harness.advance(MIN_RETENTION_S)
    retry_stream(harness)
    assert harness.count_waiting() == 1


def test_versions_are_recorded_as_they_appear_and_leave():
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    harness.advance(1.0)
    assert harness.version_store.write_count == 1
    withdraw_version(harness, "v1")
    harness.gateway._version_recorder.handle_change()
    harness.advance(1.0)
    assert harness.version_store.write_count == 2
    (snapshot,) = harness.version_store.snapshots
    gone = {
        each.version: each.gone_s is not None
        for each in snapshot.records
        if each.service == "engines"
    }
    assert gone == {"v1": True, "v2": False}
    assert snapshot.is_complete
