from __future__ import annotations

import pathlib
from collections import deque

from ebonyhaven_adapter._source import PlatformSource
from ebonyhaven_adapter._store import Row, Rows
from ebonyhaven_adapter.exceptions import StoreError
from ebonyhaven_node.forwarding import ForwardingState
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

CONFIGURATION = {
    "version": 7,
    "routes": [],
    "services": [],
    "limits": {},
    "tenants": [{"name": "studio-a", "apiKeys": ["k1"]}],
}
SERVER = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1000,
}


class FakeStore:
    """Answers reads from a script; a call without an entry waits."""

    def __init__(self):
        self.calls = []
        self.answers = {"op": deque(), "servers": deque()}
        self.waiting = {}

    async def read_table(self, table, *, timeout_s):
        return await self._answer(table, ("table", table, None))

    async def read_changes(self, table, after, *, wait_s, timeout_s):
        return await self._answer(table, ("changes", table, after))

    async def _answer(self, table, call):
        self.calls.append(call)
        if not self.answers[table]:
            self.waiting[table] = Deferred()
            return await self.waiting[table]
        answer = self.answers[table].popleft()
        if isinstance(answer, StoreError):
            raise answer
        return answer

    def push(self, table, answer):
        waiting = self.waiting.pop(table, None)
        if waiting is None:
            self.answers[table].append(answer)
        elif isinstance(answer, StoreError):
            waiting.errback(answer)
        else:
            waiting.callback(answer)


def rows(version, **contents):
    made = (
        Row(key.replace("_", "-"), content, version, content is None)
        for key, content in contents.items()
    )
    return Rows(tuple(made), version, False)


def lose(status=None):
    return StoreError(step="read", peer="store", reason="test", status=status)


def build():
    clock, store = Clock(), FakeStore()
    state = ForwardingState(clock.seconds)
    source = PlatformSource(client=store, state=state, reactor=clock)
    for follower in (source._operator, source._servers):
        follower._clock = clock.seconds
        follower.answered_at = clock.seconds()
    return clock, store, state, source


def start_complete():
    clock, store, state, source = build()
    store.push("op", rows(10, config=CONFIGURATION))
    store.push("servers", rows(12, s_1=SERVER))
    source.start()
    return clock, store, state, source


def test_state_is_complete_once_both_tables_were_read():
    _, store, state, source = start_complete()
    assert state.is_complete
    assert state.configuration.workspaces["k1"].name == "studio-a"
    assert state.backends.find("s-1").entry.started_ms == 1000
    assert source.read_version() == (7, 12)
    assert ("changes", "op", 10) in store.calls


def test_changes_are_applied_and_the_feed_goes_on_behind_them():
    clock, store, state, _ = start_complete()
    store.push("servers", rows(15, s_1={**SERVER, "state": "draining"}))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    clock.advance(0.3)
    assert store.calls[-1] == ("changes", "servers", 15)
    store.push("servers", rows(16, s_1=None))
    assert state.backends.find("s-1") is None


def test_history_that_is_gone_leads_to_reading_the_table_at_once():
    _, store, state, _ = start_complete()
    store.push("servers", lose(status=410))
    assert store.calls[-1] == ("table", "servers", None)
    store.push("servers", rows(30, s_2={**SERVER, "address": "10.0.0.2:80"}))
    assert state.backends.find("s-1") is None
    assert state.backends.find("s-2") is not None


def test_lost_store_keeps_the_state_and_is_tried_again_with_pauses():
    clock, store, state, source = start_complete()
    assert not source.is_behind()
    store.push("op", lose())
    assert source.is_behind()
    calls = len(store.calls)
    clock.advance(0.2)
    assert len(store.calls) == calls
    clock.advance(0.3)
    assert len(store.calls) == calls + 1
    assert state.is_complete
    store.push("op", rows(11))
    assert not source.is_behind()


def test_older_configuration_is_never_put_in_force():
    clock, store, state, _ = start_complete()
    store.push("op", rows(20, config={**CONFIGURATION, "version": 6}))
    assert state.configuration.version == 7
    clock.advance(0.3)
    store.push("op", rows(21, config={**CONFIGURATION, "version": 9}))
    assert state.configuration.version == 9


def test_entries_of_other_writers_name_no_server_and_the_rest_holds():
    clock, store, state, _ = start_complete()
    bad = {
        "s_2": None,
        "s_3": {**SERVER, "slots": "many"},
        "s_4": {**SERVER, "state": "resting"},
        "s_5": {**SERVER, "address": "nowhere"},
        "s_6": {"service": "engines"},
        "s_7": ["not", "an", "object"],
        "s_8": {**SERVER, "born": "yesterday"},
    }
    made = [Row(key.replace("_", "-"), each, 20, False) for key, each in bad.items()]
    good = Row("s-9", {**SERVER, "address": "10.0.0.9:80"}, 20, False)
    store.push("servers", Rows((*made, good), 20, False))
    listed = {each.server_id for each in state.backends}
    assert listed == {"s-1", "s-9"}


def test_entry_that_becomes_unreadable_names_no_server_any_more():
    _, store, state, _ = start_complete()
    store.push("servers", rows(20, s_1={**SERVER, "slots": True}))
    assert state.backends.find("s-1") is None


def test_restart_under_the_same_id_is_another_process():
    clock, store, state, _ = start_complete()
    before = state.backends.find("s-1")
    before.record_unreachable(clock.seconds())
    store.push("servers", rows(20, s_1={**SERVER, "born": 2000, "sequence": 1}))
    after = state.backends.find("s-1")
    assert after is not before
    assert after.is_usable(clock.seconds())


def test_peer_state_is_taken_only_where_it_is_newer():
    _, _, state, source = start_complete()
    exported = source.export()
    _, _, other_state, other = build()
    other.merge(exported)
    assert other_state.is_complete
    assert other.read_version() == (7, 12)
    newer = [{**CONFIGURATION, "version": 8}, 11, {}]
    source.merge(newer)
    assert state.configuration.version == 8
    assert state.backends.find("s-1") is not None  # 11 is older than 12


def test_new_entry_at_the_address_keeps_work_from_the_old_one():
    clock, store, state, _ = start_complete()
    store.push("servers", rows(20, s_2=SERVER))
    assert not state.backends.find("s-1").is_usable(clock.seconds())
    assert state.backends.find("s-2").is_usable(clock.seconds())


def test_package_of_the_adapter_is_the_only_one_with_the_platforms_names():
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
