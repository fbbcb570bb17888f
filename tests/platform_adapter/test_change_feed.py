"""Tests of server changes that one instance reads for others."""

from __future__ import annotations

from ebonyhaven_adapter._listed_entries import RESTORE_CONFIRMATION_S
from ebonyhaven_adapter._shared_reads import MIN_PUBLISH_INTERVAL_S
from ebonyhaven_decisions.forwarding import RecentChanges
from ebonyhaven_decisions.forwarding._change_feed import (
    MAX_FEED_TIMEOUT_S,
    MAX_RECENT_CHANGES,
    MIN_FEED_TIMEOUT_S,
    STANDBY_READERS,
)
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S

from tests.platform_adapter.fed_instances import FakeGroup, start_fed
from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    build_source,
    make_rows,
    send_between_instances,
)

DRAIN_S = 2.0


def test_changes_reach_an_instance_that_does_not_poll():
    harness = start_fed()
    polls = harness.count_other_polls()
    for version in range(14, 24):
        harness.change(version, s_3={**SERVER, "address": f"10.0.0.3:{version}"})
    entry = harness.other_state.backends.find("s-3").entry
    assert entry.address == "10.0.0.3:23"
    harness.change(24, s_3=None)
    assert harness.other_state.backends.find("s-3") is None
    assert harness.count_other_polls() == polls
    assert harness.other.read_version() == harness.reader.read_version()


def test_only_server_is_not_used_beyond_its_drain_time_if_its_removal_is_told_late():
    # Guards against counting from when an instance hears of a removal, which may have
    # been acknowledged over a second before.
    harness = start_fed()
    harness.change(14, s_2=None)
    harness.is_connected = False
    removed_at = harness.clock.seconds()
    harness.change(15, s_1=None)
    harness.advance(0.65)
    harness.other.apply_changes(send_between_instances(harness.published[-1]))
    assert harness.other_state.backends.find("s-1") is None
    for state in (harness.state, harness.other_state):
        usable = state.backends.list_usable(SERVER["service"], removed_at + DRAIN_S)
        assert not usable


def test_heartbeats_of_servers_are_published_as_versions_only():
    harness = start_fed()
    for version in range(14, 24):
        harness.change(version, s_1={**SERVER, "sequence": version})
    assert all(payload[3] == [] for payload in harness.published[1:])
    assert harness.other.read_version().servers == 13
    for version in range(24, 34):
        harness.store.push("servers", make_rows(version, s_1=SERVER))
        harness.clock.advance(MIN_PUBLISH_INTERVAL_S / 2 + 0.16)
    assert len(harness.published) < 22


def test_instance_polls_when_the_reader_falls_silent():
    harness = start_fed()
    polls = harness.count_other_polls()
    harness.is_connected = False
    harness.advance(MIN_FEED_TIMEOUT_S - 0.4)
    assert harness.count_other_polls() == polls
    harness.advance(MAX_FEED_TIMEOUT_S)
    assert harness.count_other_polls() == polls + 1


def test_instance_polls_after_a_missed_change():
    harness = start_fed()
    polls = harness.count_other_polls()
    harness.is_connected = False
    harness.change(14, s_2=None)
    harness.is_connected = True
    harness.change(15, s_3={**SERVER, "address": "10.0.0.3:80"})
    assert harness.other_state.backends.find("s-3") is None
    harness.advance(MIN_FEED_TIMEOUT_S)
    assert harness.count_other_polls() == polls + 1
    harness.other_store.push(
        "servers",
        make_rows(15, s_2=None, s_3={**SERVER, "address": "10.0.0.3:80"}),
    )
    assert harness.other_state.backends.find("s-2") is None
    assert harness.other_state.backends.find("s-3") is not None


def test_missed_change_is_read_at_once():
    # Guards against a pause that was computed before the gap was found.
    harness = start_fed()
    polls = harness.count_other_polls()
    harness.other.apply_changes([0, 20, 21, []])
    assert harness.count_other_polls() == polls + 1
    harness.other.apply_changes([0, 21, 22, []])
    assert harness.count_other_polls() == polls + 1


def test_message_of_a_newer_era_has_the_store_read_at_once():
    harness = start_fed()
    polls = harness.count_other_polls()
    harness.other.apply_changes([1, 5, 6, []])
    assert harness.count_other_polls() == polls + 1


def learn_from_peer(source, version):
    """Let a source take the state of a peer that knows of servers that leave."""
    entries = [
        ["s-1", 1000, "engines", "10.0.0.1:80", "dc-a", 4, "leaving", "v1"],
        ["s-2", 1000, "engines", "10.0.0.2:80", "dc-a", 4, "ready", "v1"],
    ]
    source.merge([0, None, [0, version], entries])


def test_leave_that_a_reader_learned_from_a_peer_is_not_left_out_for_others():
    # Guards against a message that claims to hold a change which it leaves out.
    harness = start_fed()
    polls = harness.count_other_polls()
    learn_from_peer(harness.reader, 14)
    harness.store.push("servers", make_rows(14, s_1={**SERVER, "state": "draining"}))
    harness.advance(0.35)
    harness.change(15, s_2={**SERVER, "address": "10.0.0.2:80", "sequence": 2})
    harness.advance(0.0)
    is_known = not harness.other_state.backends.find("s-1").is_usable(0.0)
    assert is_known or harness.count_other_polls() == polls + 1


def test_leave_that_is_written_again_is_passed_on_though_a_peer_told_it():
    harness = start_fed()
    learn_from_peer(harness.reader, 14)
    harness.other.apply_changes([0, 13, 14, []])
    harness.store.push("servers", make_rows(15, s_1={**SERVER, "state": "draining"}))
    assert not harness.other_state.backends.find("s-1").is_usable(0.0)


def test_leave_that_a_reader_has_from_a_peer_before_its_own_read_is_read_by_others():
    harness = start_fed()
    clock, store, _, reader = build_source()

    def publish(payload):
        harness.other.apply_changes(send_between_instances(payload))

    reader.connect_group(FakeGroup(rank=0, publish=publish))
    learn_from_peer(reader, 14)
    store.push("op", make_rows(10, config=CONFIGURATION))
    store.push("servers", make_rows(13, s_1=SERVER))
    reader.start()
    polls = harness.count_other_polls()
    store.push("servers", make_rows(15, s_1={**SERVER, "state": "draining"}))
    clock.advance(0.35)
    is_known = not harness.other_state.backends.find("s-1").is_usable(0.0)
    assert is_known or harness.count_other_polls() == polls + 1


def test_leave_after_a_restore_is_passed_on_though_the_reader_knew_of_it():
    harness = start_fed()
    leaving = {**SERVER, "state": "draining"}
    harness.is_connected = False
    harness.store.push("servers", make_rows(14, s_1=leaving))
    harness.is_connected = True
    for store in (harness.store, harness.other_store):
        store.push("servers", make_rows(12, era=1))
        store.push("servers", make_rows(12, era=1, s_1=SERVER))
    harness.advance(MAX_FEED_TIMEOUT_S)
    harness.store.push("servers", make_rows(13, era=1, s_1=leaving))
    assert not harness.other_state.backends.find("s-1").is_usable(0.0)


def test_change_that_was_undone_in_the_span_of_a_message_is_read():
    # Guards against a slow reader to which nothing has changed in between.
    harness = start_fed()
    harness.other.apply_changes([0, 13, 15, [[15, "s-1", None]]])
    polls = harness.count_other_polls()
    harness.other.apply_changes([0, 12, 18, []])
    assert harness.count_other_polls() == polls + 1
    harness.other_store.push("servers", make_rows(18, s_1=SERVER))
    assert harness.other_state.backends.find("s-1") is not None


def test_messages_of_two_readers_are_applied_without_polls():
    harness = start_fed()
    polls = harness.count_other_polls()
    for version in range(14, 24):
        change = [[version, "s-1", None]] if version % 2 else []
        for after in (version - 1, max(13, version - 3)):
            known = [
                [each, "s-1", None] for each in range(after + 1, version) if each % 2
            ]
            harness.other.apply_changes([0, after, version, known + change])
    assert harness.count_other_polls() == polls
    assert harness.other_state.backends.find("s-1") is None


def test_changes_that_are_forgotten_count_as_changes():
    recent = RecentChanges()
    for number in range(MAX_RECENT_CHANGES + 1):
        recent.record(f"s-{number}", number + 1)
    assert recent.has_others(0, {f"s-{each}" for each in range(number + 1)})
    assert not recent.has_others(1, {f"s-{each}" for each in range(number + 1)})
    assert recent.has_others(number, set())
    assert not recent.has_others(number + 1, set())


def test_changes_of_another_era_are_not_applied():
    harness = start_fed()
    version = harness.other.read_version()
    harness.other.apply_changes([1, 13, 20, [[20, "s-1", None]]])
    assert harness.other_state.backends.find("s-1") is not None
    assert harness.other.read_version() == version


def test_changes_that_the_instance_has_read_itself_are_not_applied_again():
    harness = start_fed()
    harness.advance(MAX_FEED_TIMEOUT_S)
    harness.other_store.push("servers", make_rows(20, s_2=None))
    address = "10.0.0.2:80"
    entry = ["s-2", 1000, "engines", address, "dc-a", 4, "ready"]
    harness.other.apply_changes([0, 13, 19, [[19, "s-2", entry]]])
    assert harness.other_state.backends.find("s-2") is None


def test_only_server_is_not_used_beyond_its_drain_time_if_all_readers_are_silent():
    # Guards against taking the silence of readers for an outage of the store.
    harness = start_fed()
    harness.other_group.rank = STANDBY_READERS + 1
    for version in range(14, 24):
        harness.change(version, s_1={**SERVER, "sequence": version})
    harness.change(24, s_2=None)
    harness.is_connected = False
    removed_at = harness.clock.seconds()
    polls = harness.count_other_polls()
    while harness.count_other_polls() == polls:
        harness.advance(0.01)
    harness.other_store.push("servers", make_rows(25, s_1=None))
    assert harness.other_state.backends.find("s-1") is None
    usable = harness.other_state.backends.list_usable(
        SERVER["service"], removed_at + DRAIN_S
    )
    assert not usable


def test_server_that_expired_before_a_restore_returns_at_each_instance():
    # Guards against a return that is no change for the reader, as the copy has it.
    harness = start_fed()
    harness.change(14, s_1=None)
    stores = (harness.store, harness.other_store)
    s_2 = {**SERVER, "address": "10.0.0.2:80"}
    for store in stores:
        store.push("servers", make_rows(12, era=1))
        store.push("servers", make_rows(12, era=1, s_1=SERVER, s_2=s_2))
    harness.advance(MAX_FEED_TIMEOUT_S)
    for store in stores:
        store.push("servers", make_rows(13, era=1, s_2=s_2))
    harness.advance(0.35)
    assert harness.other_state.backends.find("s-1") is None
    harness.store.push("servers", make_rows(14, era=1, s_1=SERVER))
    harness.advance(RESTORE_CONFIRMATION_S)
    harness.other_store.push("servers", make_rows(14, era=1))
    harness.other_store.push("servers", make_rows(14, era=1, s_1=SERVER, s_2=s_2))
    for state in (harness.state, harness.other_state):
        assert state.backends.find("s-1").is_usable(0.0)


def test_removal_of_a_row_that_names_no_server_does_not_hide_software_versions():
    # Guards against refusing the retries of streams, as a server seems to be missed.
    harness = start_fed()
    harness.advance(MIN_RETENTION_S)
    harness.change(14, s_3={**SERVER, "version": None})
    harness.change(15, s_3=None)
    harness.change(16, s_2=None)
    for state, clock in (
        (harness.state, harness.clock),
        (harness.other_state, harness.other_clock),
    ):
        assert state.backends.find("s-2") is None
        assert state.backends.versions.infer("engines", clock.seconds()) == "v1"


def test_server_whose_row_was_unreadable_before_is_removed():
    harness = start_fed()
    harness.change(14, s_3={**SERVER, "version": None})
    harness.change(16, s_3={**SERVER, "address": "10.0.0.3:80"})
    for state in (harness.state, harness.other_state):
        assert state.backends.find("s-3") is not None
    harness.change(17, s_3=None)
    for state in (harness.state, harness.other_state):
        assert state.backends.find("s-3") is None
