"""Tests of a store that came back from an older copy."""

from __future__ import annotations

from ebonyhaven_adapter._listed_entries import RESTORE_CONFIRMATION_S
from ebonyhaven_adapter._table_follower import RETRY_INTERVAL_S

from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    make_rows,
    make_store_error,
    start_with_complete_state,
)


def restore_store(store, version=11, **servers):
    """Let the poll in progress return after a restore, then the table be read."""
    store.push("servers", make_rows(version, era=1))
    store.push("servers", make_rows(version, era=1, **servers))


def test_restore_during_a_poll_causes_the_table_to_be_read_again():
    _, store, state, source = start_with_complete_state()
    restore_store(store, s_1=SERVER)
    assert ("table", "servers", None) in store.calls
    assert store.calls[-1] == ("changes", "servers", 11)
    assert source.read_version() == (7, 1, 11)
    store.push(
        "servers", make_rows(12, era=1, s_2={**SERVER, "address": "10.0.0.2:80"})
    )
    assert state.backends.find("s-2") is not None  # 12 was given out before


def test_server_that_the_restored_store_lacks_is_used_until_it_had_time_to_return():
    clock, store, state, _ = start_with_complete_state()
    restore_store(store)
    assert state.backends.find("s-1").is_usable(clock.seconds())
    clock.advance(RESTORE_CONFIRMATION_S)
    assert state.backends.find("s-1") is None


def test_server_that_writes_its_entry_again_stays():
    clock, store, state, _ = start_with_complete_state()
    restore_store(store)
    clock.advance(1.0)
    store.push("servers", make_rows(13, era=1, s_1=SERVER))
    clock.advance(RESTORE_CONFIRMATION_S)
    assert state.backends.find("s-1") is not None


def test_server_that_left_does_not_return_with_a_restored_store():
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(14, s_1={**SERVER, "state": "draining"}))
    clock.advance(0.3)
    restore_store(store, s_1=SERVER)
    assert not state.backends.find("s-1").is_usable(clock.seconds())


def test_server_that_was_removed_does_not_return_with_a_restored_store():
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(14, s_1=None))
    clock.advance(0.3)
    restore_store(store, s_1=SERVER)
    assert state.backends.find("s-1") is None
    store.push("servers", make_rows(15, era=1, s_1={**SERVER, "born": 3000}))
    assert state.backends.find("s-1") is not None


def leave_then_restore():
    """Return a source that read the restored table with a server that had left."""
    clock, store, state, source = start_with_complete_state()
    store.push("servers", make_rows(14, s_1=None))
    clock.advance(0.3)
    restore_store(store, s_1=SERVER)
    assert state.backends.find("s-1") is None
    return clock, store, state, source


def test_server_that_left_does_not_return_with_a_second_read_of_a_restored_store():
    _, store, state, _ = leave_then_restore()
    store.push("servers", make_store_error(status=410))
    store.push("servers", make_rows(11, era=1, s_1=SERVER))
    assert state.backends.find("s-1") is None


def test_server_that_left_does_not_return_with_a_read_after_the_state_of_a_peer():
    clock, store, state, source = start_with_complete_state()
    store.push("servers", make_rows(14, s_1={**SERVER, "state": "draining"}))
    clock.advance(0.3)
    entry = ["s-1", 1000, "engines", "10.0.0.1:80", "dc-a", 4, "ready", "v1"]
    source.merge([1, None, [1, 11], [entry]])
    restore_store(store, s_1=SERVER)
    backend = state.backends.find("s-1")
    assert backend is None or not backend.is_usable(clock.seconds())


def test_server_that_left_does_not_return_with_the_newer_state_of_a_peer():
    _, _, state, source = leave_then_restore()
    entry = ["s-1", 1000, "engines", "10.0.0.1:80", "dc-a", 4, "ready", "v1"]
    source.merge([1, None, [1, 12], [entry]])
    assert state.backends.find("s-1") is None


def test_server_that_was_removed_returns_once_it_writes_its_entry_again():
    clock, store, state, _ = leave_then_restore()
    store.push("servers", make_rows(13, era=1, s_1=SERVER))
    assert state.backends.find("s-1").is_usable(clock.seconds())
    clock.advance(0.3)
    store.push("servers", make_store_error(status=410))
    store.push("servers", make_rows(13, era=1, s_1=SERVER))
    assert state.backends.find("s-1").is_usable(clock.seconds())


def test_server_that_the_restored_store_shows_as_leaving_leaves():
    # Guards against a known entry that counts as newer than the leave.
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(14, s_1=None))
    clock.advance(0.3)
    store.push("servers", make_rows(15, s_1=SERVER))
    clock.advance(0.3)
    restore_store(store, s_1={**SERVER, "state": "draining"})
    assert not state.backends.find("s-1").is_usable(clock.seconds())


def test_leave_known_before_a_restore_outlasts_several_states_of_peers():
    # Guards against a leave that is taken for one of the new era.
    clock, store, state, source = start_with_complete_state()
    store.push("servers", make_rows(14, s_1={**SERVER, "state": "draining"}))
    entry = ["s-1", 1000, "engines", "10.0.0.1:80", "dc-a", 4, "ready", "v1"]
    for version, entries in ((11, []), (12, []), (13, [entry]), (14, [entry])):
        source.merge([1, None, [1, version], entries])
        backend = state.backends.find("s-1")
        assert backend is None or not backend.is_usable(clock.seconds())


def test_time_to_return_after_a_restore_begins_with_the_first_message():
    clock, store, state, source = start_with_complete_state()
    source.apply_changes([1, 10, 11, []])
    clock.advance(RESTORE_CONFIRMATION_S - 0.5)
    restore_store(store)
    assert state.backends.find("s-1") is not None
    clock.advance(0.5)
    assert state.backends.find("s-1") is None


def test_state_for_a_peer_leaves_out_what_a_restored_store_lacks():
    _, store, state, source = start_with_complete_state()
    restore_store(store)
    assert state.backends.find("s-1") is not None
    assert source.export()[3] == []


def test_second_read_of_a_restored_store_leaves_servers_time_to_return():
    clock, store, state, _ = start_with_complete_state()
    restore_store(store)
    store.push("servers", make_store_error(status=410))
    store.push("servers", make_rows(12, era=1))
    assert state.backends.find("s-1") is not None
    clock.advance(RESTORE_CONFIRMATION_S)
    assert state.backends.find("s-1") is None


def test_restored_configuration_is_not_applied_and_does_not_block_later_ones():
    clock, store, state, _ = start_with_complete_state()
    store.push("op", make_rows(9, era=1))
    store.push("op", make_rows(9, era=1, config={**CONFIGURATION, "version": 6}))
    assert state.configuration.version == 7
    again = {**CONFIGURATION, "tenants": [{"name": "studio-b", "apiKeys": ["k2"]}]}
    store.push("op", make_rows(10, era=1, config=again))
    assert state.configuration.version == 7
    assert "k2" in state.configuration.workspaces
    clock.advance(0.3)
    store.push("op", make_rows(11, era=1, config={**CONFIGURATION, "version": 8}))
    assert state.configuration.version == 8


def test_configuration_of_an_older_era_from_a_peer_is_not_applied():
    _, store, state, source = start_with_complete_state()
    store.push("op", make_rows(9, era=1))
    again = {**CONFIGURATION, "tenants": [{"name": "studio-b", "apiKeys": ["k2"]}]}
    store.push("op", make_rows(9, era=1, config=again))
    assert "k2" in state.configuration.workspaces
    source.merge(
        [
            0,
            CONFIGURATION,
            [0, 99],
            [["s-9", 1, "engines", "10.0.0.9:80", "dc-a", 4, "ready"]],
        ]
    )
    assert "k2" in state.configuration.workspaces


def test_server_list_of_an_older_era_from_a_peer_is_not_applied():
    _, store, state, source = start_with_complete_state()
    restore_store(store, s_1=SERVER)
    source.merge([0, None, [0, 99], []])
    assert state.backends.find("s-1") is not None


def test_store_of_an_older_era_is_not_asked_without_a_pause():
    clock, store, state, _ = start_with_complete_state()
    restore_store(store, s_1=SERVER)
    store.responses["servers"].extend([make_rows(13)] * 100)
    calls, pauses = len(store.calls), 5
    store.push("servers", make_rows(13))
    for _ in range(pauses):
        clock.advance(RETRY_INTERVAL_S)
    assert len(store.calls) - calls <= 2 * (pauses + 1)
    assert state.backends.find("s-1") is not None


def test_server_that_expired_before_a_restore_returns_although_a_peer_told_it_first():
    clock, store, state, source = leave_then_restore()
    entry = ["s-1", 1000, "engines", "10.0.0.1:80", "dc-a", 4, "ready", "v1"]
    source.merge([1, None, [1, 13], [entry]])
    store.push("servers", make_rows(13, era=1, s_1=SERVER))
    assert state.backends.find("s-1") is None
    clock.advance(RESTORE_CONFIRMATION_S)
    restore_store(store, version=13, s_1=SERVER)
    assert state.backends.find("s-1").is_usable(clock.seconds())


def test_table_is_read_again_once_if_a_process_stays_away_after_a_restore():
    clock, store, state, _ = leave_then_restore()
    for version in range(12, 22):
        clock.advance(RESTORE_CONFIRMATION_S)
        store.push("servers", make_rows(version, era=1))
        if store.calls[-1][0] == "table":
            copy = make_rows(11, era=1, s_1=SERVER)
            store.push("servers", copy._replace(version=version))
    assert state.backends.find("s-1") is None
    assert store.calls.count(("table", "servers", None)) == 3
