from __future__ import annotations

import pathlib
from unittest import mock

from ebonyhaven_adapter import _server_list
from ebonyhaven_adapter._servers import decode_backend_entry
from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_adapter._table_follower import RETRY_INTERVAL_S
from structlog.testing import capture_logs
from twisted.internet.defer import CancelledError

from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    build_source,
    make_rows,
    make_store_error,
    send_between_instances,
    start_with_complete_state,
)


def test_state_is_complete_once_both_tables_were_read():
    _, store, state, source = start_with_complete_state()
    assert state.is_complete
    assert state.configuration.workspaces["k1"].name == "studio-a"
    assert state.backends.find("s-1").entry.started_ms == 1000
    assert source.read_version() == (7, 0, 12)
    assert ("changes", "op", 10) in store.calls


def test_changes_are_applied_and_polling_continues_from_them():
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(15, s_1={**SERVER, "state": "draining"}))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    clock.advance(0.3)
    assert store.calls[-1] == ("changes", "servers", 15)
    store.push("servers", make_rows(16, s_1=None))
    assert state.backends.find("s-1") is None


def test_leave_of_a_listed_server_is_logged_and_told():
    # Guards against an entry that was overwritten before it was compared.
    _, store, state, _ = start_with_complete_state()
    told = []
    state.observe(lambda: told.append("change"))
    with capture_logs() as lines:
        store.push("servers", make_rows(15, s_1={**SERVER, "state": "draining"}))
    assert [line["state"] for line in lines] == ["leaving"]
    assert told == ["change"]


def test_observer_that_fails_does_not_stop_the_following():
    # Guards against a list that is read anew forever, or no longer followed.
    clock, store, state, _ = start_with_complete_state()

    def fail():
        raise RecursionError

    state.observe(fail)
    leaving = {**SERVER, "state": "draining"}
    listed = {**SERVER, "address": "10.0.0.2:80"}
    store.push("servers", make_rows(15, s_1=leaving, s_2=listed))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    assert state.backends.find("s-2") is not None
    clock.advance(0.3)
    assert store.calls[-1] == ("changes", "servers", 15)


def test_row_whose_decoding_fails_names_no_server():
    # Guards against a list of which no row after a bad one is applied.
    clock, store, state, _ = start_with_complete_state()

    def decode(server_id, document):
        if server_id == "s-9":
            raise RecursionError
        return decode_backend_entry(server_id, document)

    leaving = {**SERVER, "state": "draining"}
    with mock.patch.object(_server_list, "decode_backend_entry", decode):
        store.push("servers", make_rows(15, s_9=SERVER, s_1=leaving))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    clock.advance(0.3)
    assert store.calls[-1] == ("changes", "servers", 15)


def test_failure_within_a_call_is_retried_from_the_version_that_is_known():
    # Guards against a list that is no longer followed after one failed call.
    clock, store, state, _ = start_with_complete_state()
    for failure in (RecursionError(), CancelledError()):
        store.pending_calls.pop("servers").errback(failure)
        clock.advance(RETRY_INTERVAL_S)
        assert store.calls[-1] == ("changes", "servers", 12)
    store.push("servers", make_rows(15, s_1=None))
    assert state.backends.find("s-1") is None


def test_stopped_source_does_not_poll_again():
    clock, store, _, source = start_with_complete_state()
    calls = len(store.calls)
    source.stop()
    clock.advance(10.0)
    assert len(store.calls) == calls


def test_missing_history_triggers_an_immediate_table_read():
    _, store, state, _ = start_with_complete_state()
    store.push("servers", make_store_error(status=410))
    assert store.calls[-1] == ("table", "servers", None)
    store.push("servers", make_rows(30, s_2={**SERVER, "address": "10.0.0.2:80"}))
    assert state.backends.find("s-1") is None
    assert state.backends.find("s-2") is not None


def test_table_older_than_what_is_known_is_left_out():
    # Guards against a stale read after the history was dropped.
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(15, s_1={**SERVER, "state": "draining"}))
    clock.advance(0.3)
    store.push("servers", make_store_error(status=410))
    store.push("servers", make_rows(14, s_1=SERVER))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    assert store.calls[-1] == ("changes", "servers", 15)


def test_tables_that_are_all_too_old_are_not_read_without_a_pause():
    # Guards against hundreds of calls a second while reads of the table are stale.
    clock, store, _, _ = start_with_complete_state()
    for _ in range(200):
        store.responses["servers"].append(make_rows(13, s_1=SERVER))
        store.responses["servers"].append(make_store_error(status=410))
    calls = len(store.calls)
    store.push("servers", make_store_error(status=410))
    clock.pump([0.1] * 10)
    tables = store.calls[calls:].count(("table", "servers", None))
    assert tables <= 2 + 1.0 / RETRY_INTERVAL_S


def test_store_failure_keeps_the_state_and_is_retried_after_a_delay():
    clock, store, state, source = start_with_complete_state()
    assert not source.is_unresponsive()
    store.push("op", make_store_error())
    assert source.is_unresponsive()
    calls = len(store.calls)
    clock.advance(0.2)
    assert len(store.calls) == calls
    clock.advance(0.3)
    assert len(store.calls) == calls + 1
    assert state.is_complete
    store.push("op", make_rows(11))
    assert not source.is_unresponsive()


def test_configuration_is_read_over_a_new_connection_on_request():
    clock, store, state, source = start_with_complete_state()
    silent_poll = store.pending_calls.pop("op")
    source.refresh_configuration()
    assert silent_poll.called  # cancelled, which closes its connection
    assert store.calls[-1] == ("changes", "op", 10)
    store.push("op", make_rows(20, config={**CONFIGURATION, "version": 8}))
    assert state.configuration.version == 8
    assert not source.is_unresponsive()


def test_older_configuration_is_never_applied():
    clock, store, state, _ = start_with_complete_state()
    store.push("op", make_rows(20, config={**CONFIGURATION, "version": 6}))
    assert state.configuration.version == 7
    clock.advance(0.3)
    store.push("op", make_rows(21, config={**CONFIGURATION, "version": 9}))
    assert state.configuration.version == 9


def test_only_server_is_not_used_beyond_its_drain_time_if_a_response_was_late():
    # Guards against counting from when a response arrives, not from when it was given.
    store_ahead_s, drain_s = 500.0, 2.0
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(12)._replace(now_s=store_ahead_s))
    answered_at = clock.seconds()
    clock.advance(0.7)
    late = make_rows(13)._replace(now_s=store_ahead_s + answered_at)
    store.push("servers", late)
    store.push("servers", make_rows(14, s_1=None)._replace(now_s=store_ahead_s + 0.7))
    assert state.backends.find("s-1") is None
    assert not state.backends.list_usable(SERVER["service"], answered_at + drain_s)


def test_malformed_entries_are_ignored_and_valid_entries_applied():
    clock, store, state, _ = start_with_complete_state()
    malformed = {
        "s_2": None,
        "s_3": {**SERVER, "slots": "many"},
        "s_4": {**SERVER, "state": "resting"},
        "s_5": {**SERVER, "address": "nowhere"},
        "s_6": {"service": "engines"},
        "s_7": ["not", "an", "object"],
        "s_8": {**SERVER, "born": "yesterday"},
    }
    malformed_rows = [
        Row(key.replace("_", "-"), document, 20, False)
        for key, document in malformed.items()
    ]
    valid_row = Row("s-9", {**SERVER, "address": "10.0.0.9:80"}, 20, False)
    store.push("servers", RowBatch((*malformed_rows, valid_row), 20, False))
    listed = {backend.server_id for backend in state.backends}
    assert listed == {"s-1", "s-9"}


def test_server_is_removed_when_its_entry_becomes_malformed():
    _, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(20, s_1={**SERVER, "slots": True}))
    assert state.backends.find("s-1") is None


def test_restart_with_the_same_id_is_a_new_process():
    clock, store, state, _ = start_with_complete_state()
    before = state.backends.find("s-1")
    before.record_unreachable(clock.seconds())
    store.push("servers", make_rows(20, s_1={**SERVER, "born": 2000, "sequence": 1}))
    after = state.backends.find("s-1")
    assert after is not before
    assert after.is_usable(clock.seconds())


def test_peer_state_is_merged_only_where_it_is_newer():
    _, _, state, source = start_with_complete_state()
    exported = send_between_instances(source.export())
    _, _, other_state, other = build_source()
    other.merge(exported)
    assert other_state.is_complete
    assert other.read_version() == (7, 0, 12)
    newer = [0, {**CONFIGURATION, "version": 8}, [0, 11], []]
    source.merge(newer)
    assert state.configuration.version == 8
    assert state.backends.find("s-1") is not None  # 11 is older than 12


def test_peer_gets_only_what_it_lacks():
    _, _, _, source = start_with_complete_state()
    newest = source.read_version()
    _, document, list_version, entries = source.export(newest)
    assert (document, entries) == (None, [])
    _, document, list_version, entries = source.export(newest._replace(servers=5))
    assert document is None
    assert list_version == [0, 12]
    assert len(entries) == 1
    _, document, _, entries = source.export(newest._replace(configuration=6))
    assert document == CONFIGURATION
    assert entries == []


def test_new_entry_at_an_address_makes_the_old_entry_unusable():
    clock, store, state, _ = start_with_complete_state()
    store.push("servers", make_rows(20, s_2=SERVER))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    assert state.backends.find("s-2").is_usable(clock.seconds())


def test_removal_that_a_whole_read_showed_is_newer_than_the_state_of_a_peer():
    # Guards against the version of a list that does not count what is missing in it.
    _, _, state, source = start_with_complete_state()
    _, store, other_state, other = build_source()
    store.push("op", make_rows(10, config=CONFIGURATION))
    rows = make_rows(9, s_2={**SERVER, "address": "10.0.0.2:80"})
    store.push("servers", rows._replace(version=20))
    other.start()
    other.merge(send_between_instances(source.export()))
    assert other_state.backends.find("s-1") is None
    assert other_state.backends.find("s-2") is not None


def test_platform_names_occur_only_in_the_adapter():
    root = pathlib.Path(__file__).resolve().parents[2]
    names = ("X-Attempt-Id", "x-attempt-id", "X-Kv-Backup", "kv-from", "rows-feed")
    names += ("apiKeys", "pathPrefix", "X-Server-Stamp", "nodeName")
    sources = [
        path
        for folder in ("packages", "tools")
        for path in (root / folder).rglob("*.py")
        if "build" not in path.parts
    ]
    assert len(sources) > 100
    for path in sources:
        text = path.read_text()
        found = [name for name in names if name in text]
        assert not found, (path, found)
