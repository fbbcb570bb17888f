"""Sources of the state before a store whose responses a test prepares."""

from __future__ import annotations

import json
from collections import deque

from ebonyhaven_adapter._source import PlatformStateSource
from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_adapter.exceptions import StoreError
from ebonyhaven_node._frames import encode_json
from ebonyhaven_node.forwarding import ForwardingState
from ebonyhaven_node.forwarding.interfaces import ReadGroup
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


class ScriptedStoreClient:
    """Returns prepared responses; a call without one waits for `push`."""

    def __init__(self):
        self.calls = []
        self.responses = {"op": deque(), "servers": deque()}
        self.pending_calls = {}

    async def read_table(self, table, *, timeout_s):
        return await self._respond(table, ("table", table, None))

    def close_idle_connections(self):
        pass

    async def read_changes(self, table, after, *, wait_s, timeout_s):
        return await self._respond(table, ("changes", table, after))

    async def _respond(self, table, call):
        self.calls.append(call)
        if not self.responses[table]:
            self.pending_calls[table] = Deferred()
            return await self.pending_calls[table]
        response = self.responses[table].popleft()
        if isinstance(response, StoreError):
            raise response
        return response

    def push(self, table, response):
        pending_call = self.pending_calls.pop(table, None)
        if pending_call is None:
            self.responses[table].append(response)
        elif isinstance(response, StoreError):
            pending_call.errback(response)
        else:
            pending_call.callback(response)


def make_rows(version, era=0, **contents):
    batch = (
        Row(key.replace("_", "-"), content, version, content is None)
        for key, content in contents.items()
    )
    return RowBatch(tuple(batch), version, False, era)


def make_store_error(status=None, *, is_timeout=False):
    return StoreError(
        step="read", peer="store", reason="test", status=status, is_timeout=is_timeout
    )


def build_source():
    clock, store = Clock(), ScriptedStoreClient()
    state = ForwardingState(clock.seconds)
    source = PlatformStateSource(
        client=store, state=state, reactor=clock, clock=clock.seconds
    )
    return clock, store, state, source


class FixedGroup(ReadGroup):
    """A small group of a fixed size, in which this instance is no reader."""

    def __init__(self, count):
        self._count = count

    def find_rank(self):
        return self._count

    def count_instances(self):
        return self._count

    def shares_configuration(self):
        return False

    def publish_changes(self, payload):
        raise AssertionError(payload)

    def publish_configuration(self, state, change):
        raise AssertionError(state)


def send_between_instances(payload):
    return json.loads(encode_json(payload))


def start_with_complete_state():
    clock, store, state, source = build_source()
    store.push("op", make_rows(10, config=CONFIGURATION))
    store.push("servers", make_rows(12, s_1=SERVER))
    source.start()
    return clock, store, state, source
