"""A store on a simulated clock, whose connections fall silent while new ones work."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qs, urlsplit

from ebonyhaven_adapter._source import PlatformStateSource
from ebonyhaven_adapter._store import StoreClient
from ebonyhaven_decisions.forwarding import STANDBY_READERS
from ebonyhaven_node.forwarding import ForwardingState
from ebonyhaven_node.forwarding._state_feed import MAX_INSTANCES_OF_ONE_READER
from ebonyhaven_node.forwarding.interfaces import ReadGroup

from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    send_between_instances,
)

LATENCY_S = 0.004  # of the store
TICK_S = 0.01


class TimedStore:
    """Holds a configuration and a server list, and answers after a while."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = 0
        self._version = 0
        self._rows = {}
        self._polls = []
        self.put("op", "config", CONFIGURATION)
        self.put("servers", "s-1", SERVER)

    def put(self, table, key, document):
        self._version += 1
        self._rows[table, key] = (document, self._version)
        polls, self._polls = self._polls, []
        for answer, name, after in polls:
            self._answer_or_wait(answer, name, after, 0.0 if name == table else None)

    def handle(self, target, answer):
        """Answer a call, a poll once there is a change or its time is over."""
        self.calls += 1
        parts = urlsplit(target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        after = int(query.get("after", -1))
        wait_s = int(query.get("waitMs", 0)) / 1000
        self._answer_or_wait(answer, query["tableName"], after, wait_s)

    def _answer_or_wait(self, answer, table, after, wait_s):
        rows = self._list_rows(table, after)
        if rows or wait_s == 0.0:
            self.clock.callLater(LATENCY_S, answer, self._encode(rows))
            return
        poll = (answer, table, after)
        self._polls.append(poll)
        if wait_s is not None:
            self.clock.callLater(wait_s, self._expire, poll)

    def _expire(self, poll):
        if poll in self._polls:
            self._polls.remove(poll)
            answer, table, after = poll
            answer(self._encode(self._list_rows(table, after)))

    def _list_rows(self, table, after):
        return [
            {
                "tableName": table,
                "part": "",
                "key": key,
                "rowVersion": version,
                "value": base64.b64encode(json.dumps(document).encode()).decode(),
            }
            for (name, key), (document, version) in self._rows.items()
            if name == table and version > after
        ]

    def _encode(self, rows):
        body = {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self._version,
            "nowMs": int(self.clock.seconds() * 1000),
        }
        return json.dumps(body).encode()


class TimedConnection:
    """A connection to the store; one that is silent delivers nothing any more."""

    def __init__(self, store, pool):
        self.is_silent = False
        self._store = store
        self._pool = pool
        self._handler = None

    def send(self, request, handler):
        self._handler = handler
        if not self.is_silent:
            self._store.handle(request.target, self._answer)

    def abort(self):
        self._handler = None
        self._pool.connections.discard(self)

    def _answer(self, body):
        handler, self._handler = self._handler, None
        if handler is None or self.is_silent:
            self._handler = handler
            return
        self._pool.idle.append(self)
        handler.accept_head(200, ())
        handler.handle_data(body)
        handler.complete(is_delimited=True)


class TimedPool:
    """Connections of one instance to the store."""

    def __init__(self, store):
        self.idle = []
        self.connections = set()
        self._store = store

    def acquire_idle(self, _):
        return self.idle.pop() if self.idle else None

    def connect(self, _, *, on_connected, on_failed, timeout_s):
        connection = TimedConnection(self._store, self)
        self.connections.add(connection)
        on_connected(connection)

    def close_idle(self, _):
        while self.idle:
            self.idle.pop().abort()

    def silence(self):
        for each in self.connections:
            each.is_silent = True


class TimedInstance(ReadGroup):
    """An instance that follows the store, with its place among the readers."""

    def __init__(self, rank, group):
        self._rank = min(rank, 1 + STANDBY_READERS)
        self._group = group
        self.pool = TimedPool(group.store)
        clock = group.clock
        self.state = ForwardingState(clock.seconds)
        client = StoreClient(
            pool=self.pool, reactor=clock, address="store", clock=clock.seconds
        )
        self.source = PlatformStateSource(
            client=client, state=self.state, reactor=clock, clock=clock.seconds
        )
        self.source.connect_group(self)

    def find_rank(self):
        return self._rank

    def count_instances(self):
        return len(self._group.instances)

    def shares_configuration(self):
        return self.count_instances() > MAX_INSTANCES_OF_ONE_READER

    def publish_changes(self, payload):
        for each in self._group.list_others(self):
            each.source.apply_changes(send_between_instances(payload))

    def publish_configuration(self, state, change):
        if state is None:
            return
        for each in self._group.list_others(self):
            each.source.merge(send_between_instances(state))


class TimedGroup:
    """Instances that follow one store; they exchange no heartbeats."""

    def __init__(self, clock, size):
        self.clock = clock
        self.store = TimedStore(clock)
        self.are_peers_silent = False
        self.instances = []
        self.instances += [TimedInstance(rank, self) for rank in range(size)]
        for number, each in enumerate(self.instances):
            clock.callLater(0.0371 * number, each.source.start)

    def list_others(self, instance):
        if self.are_peers_silent:
            return []
        return [each for each in self.instances if each is not instance]

    def advance(self, seconds):
        self.clock.pump([TICK_S] * round(seconds / TICK_S))

    def change_configuration(self, version):
        self.store.put("op", "config", {**CONFIGURATION, "version": version})

    def list_server(self, server_id):
        self.store.put("servers", server_id, {**SERVER, "address": "10.0.0.2:80"})

    def silence_store(self):
        for each in self.instances:
            each.pool.silence()

    def list_versions(self):
        return {each.state.configuration.version for each in self.instances}
