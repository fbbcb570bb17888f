"""Tests of how a reader passes configurations on, by the bytes that it sends."""

from __future__ import annotations

import json
from collections import Counter

from ebonyhaven_adapter._source import MAX_PUBLISHED_BYTES, PlatformStateSource
from ebonyhaven_decisions.forwarding import find_reader_rank
from ebonyhaven_node import Frame
from ebonyhaven_node._frames import encode_frame
from ebonyhaven_node.forwarding import ForwardingState
from ebonyhaven_node.forwarding._configuration_feed import MAX_LINK_WAIT_S
from ebonyhaven_node.forwarding._state_feed import ServerChangeFeed
from ebonyhaven_node.forwarding._state_synchronization import StateSynchronizer
from twisted.internet.task import Clock

from tests.forwarding.peers import FakeChannels, make_record
from tests.platform_adapter.state_sources import (
    SERVER,
    ScriptedStoreClient,
    make_rows,
)

LINK_BYTES_PER_S = 1_250_000
NAMES = [f"n{number}" for number in range(25)]
NEXT_READER = next(name for name in NAMES if find_reader_rank(name, NAMES) == 1)
READER = next(name for name in NAMES if find_reader_rank(name, NAMES) == 0)
SUPPLIED = next(name for name in NAMES if find_reader_rank(name, NAMES) > 2)
CHANGE_INTERVAL_S = 0.4
APPLY_S = 2.0  # in which a configuration has to be in force
STEP_S = 0.01
# The reader's polls of the server list, which show the others that it is alive.
KEEP_ALIVE_S = 0.35
TENANTS = 460


def make_configuration(version):
    """Return a configuration of nearly the greatest size that is passed on."""
    tenants = [
        {"name": f"studio-{n}", "apiKeys": [f"key-{n * 7919:08x}"], "quota": 100}
        for n in range(TENANTS)
    ]
    tenants[version % TENANTS]["quota"] = version
    return {"version": version, "routes": [], "services": [], "tenants": tenants}


class Link:
    """The link of a reader, which carries one message after the other."""

    def __init__(self, clock):
        self._clock = clock
        self._free_at = 0.0
        self.bytes = 0
        self.longest_wait_s = 0.0

    def carry(self, size, deliver):
        now = self._clock.seconds()
        self.bytes += size
        self._free_at = max(now, self._free_at) + size / LINK_BYTES_PER_S
        self.longest_wait_s = max(self.longest_wait_s, self._free_at - now)
        self._clock.callLater(self._free_at - now, deliver)


class GroupMembership:
    """Membership of one instance of a group."""

    def __init__(self, group, name):
        self._group = group
        self.own = make_record(name)
        self.observers = []

    @property
    def members(self):
        return list(map(make_record, NAMES))

    def add_digest(self, digest):
        pass

    def observe_view(self, observer):
        self.observers.append(lambda _: observer())

    def send_to_all(self, names, kind, payload):
        for name in names:
            self.send(name, kind, payload)

    def send(self, name, kind, payload):
        frame = Frame(kind, self.own.name, self.own.incarnation, payload)
        self._group.send(name, frame)
        return True


class Instance:
    """An instance that follows the store, or is told by the reader."""

    def __init__(self, group, name):
        self.store = ScriptedStoreClient()
        self.state = ForwardingState(group.clock.seconds)
        self.channels = FakeChannels()
        self.source = PlatformStateSource(
            client=self.store,
            state=self.state,
            reactor=group.clock,
            clock=group.clock.seconds,
        )
        self.membership = membership = GroupMembership(group, name)
        ServerChangeFeed(
            source=self.source,
            membership=membership,
            channels=self.channels,
            reactor=group.clock,
            link_bytes_per_s=LINK_BYTES_PER_S,
        )
        StateSynchronizer(
            source=self.source,
            membership=membership,
            channels=self.channels,
            reactor=group.clock,
            clock=group.clock.seconds,
        )
        self.store.push("op", make_rows(10, config=make_configuration(7)))
        self.store.push("servers", make_rows(12, s_1=SERVER))

    @property
    def version(self):
        return self.state.configuration.version


class Group:
    """A reader with a narrow link and the instances that it supplies."""

    def __init__(self, *, are_old=False, knows_members=False):
        self.clock = Clock()
        self.link = Link(self.clock)
        self.are_old = are_old
        self.rows = 20
        self.version = 7
        self.changed_at = {7: 0.0}
        self.known_at = {}
        self.sent_bytes = Counter()
        self.instances = {name: Instance(self, name) for name in NAMES}
        for each in self.instances.values():
            each.source.start()
        if knows_members:
            self.join()
        self.advance(2.0)
        self.bytes_before = self.link.bytes

    @property
    def others(self):
        return [each for name, each in self.instances.items() if name != READER]

    def join(self):
        """Have all instances learn of each other."""
        for each in self.instances.values():
            for observer in each.membership.observers:
                for name in NAMES:
                    if name != each.membership.own.name:
                        observer(make_record(name))

    def send(self, name, frame):
        if self.are_old and len(frame.kind) > 1:
            return  # the release before neither sends nor understands it
        data = encode_frame(frame)
        self.sent_bytes[frame.sender] += len(data)

        def deliver():
            payload = json.loads(data)[-1]
            receiver = self.instances[name]
            receiver.channels.handlers[frame.kind](frame._replace(payload=payload))
            key = name, receiver.version
            self.known_at.setdefault(key, self.clock.seconds())

        if frame.sender == READER:
            self.link.carry(len(data), deliver)
        else:
            self.clock.callLater(STEP_S, deliver)

    def advance(self, seconds):
        for step in range(round(seconds / STEP_S)):
            if step % round(KEEP_ALIVE_S / STEP_S) == 0:
                self.rows += 1
                server = {**SERVER, "sequence": self.rows}
                rows = make_rows(self.rows, s_1=server)
                self.instances[READER].store.push("servers", rows)
            self.clock.advance(STEP_S)

    def advance_silently(self, seconds):
        """Let time pass in which the reader reads nothing."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def change(self, make=make_configuration):
        self.version += 1
        self.rows += 1
        self.changed_at[self.version] = self.clock.seconds()
        rows = make_rows(self.rows, config=make(self.version))
        self.instances[READER].store.push("op", rows)

    def measure_delays_s(self, version):
        """Return how long instances took for a version; those that had it at all."""
        began_at = self.changed_at[version]
        return [
            at - began_at
            for (_, known), at in self.known_at.items()
            if known == version
        ]


def test_configurations_that_follow_each_other_leave_the_link_to_others():
    # Guards against a reader whose connections to servers wait behind copies of each
    # configuration until it takes all servers for lost.
    assert len(json.dumps(make_configuration(100))) > 0.9 * MAX_PUBLISHED_BYTES
    group = Group()
    changes = 50
    for _ in range(changes):
        group.change()
        group.advance(CHANGE_INTERVAL_S)
    sent = group.link.bytes - group.bytes_before
    assert sent < 0.1 * LINK_BYTES_PER_S * changes * CHANGE_INTERVAL_S, sent
    assert group.link.longest_wait_s < 0.1, group.link.longest_wait_s
    delays_s = group.measure_delays_s(group.version)
    assert len(delays_s) == len(group.others)
    assert max(delays_s) < 0.4
    documents = [each.source.export()[1] for each in group.others]
    assert documents == [make_configuration(group.version)] * len(documents)


def test_instances_of_the_release_before_get_configurations_at_half_of_the_link():
    group = Group(are_old=True)
    changes = 50
    for _ in range(changes):
        group.change()
        group.advance(CHANGE_INTERVAL_S)
    group.advance(APPLY_S)
    sent = group.link.bytes - group.bytes_before
    assert sent < 0.6 * LINK_BYTES_PER_S * (changes * CHANGE_INTERVAL_S + APPLY_S)
    message_s = MAX_PUBLISHED_BYTES / LINK_BYTES_PER_S
    assert group.link.longest_wait_s < MAX_LINK_WAIT_S + message_s
    assert {each.version for each in group.others} == {group.version}
    # Each instance is never further behind than the time to apply a configuration.
    for name in NAMES:
        if name == READER:
            continue
        known = sorted(version for each, version in group.known_at if each == name)
        for version, following in zip(known, known[1:], strict=False):
            late_s = group.known_at[name, following] - group.changed_at[version + 1]
            assert late_s < APPLY_S


def test_changes_of_all_keys_are_spread_over_time():
    group = Group()

    def make_other(version):
        configuration = make_configuration(version)
        for number, tenant in enumerate(configuration["tenants"]):
            tenant["apiKeys"] = [f"key-{number * version:08x}"]
        return configuration

    for _ in range(10):
        group.change(make_other)
        group.advance(CHANGE_INTERVAL_S)
    group.advance(APPLY_S)
    assert group.link.longest_wait_s < 0.1, group.link.longest_wait_s
    documents = [each.source.export()[1] for each in group.others]
    assert documents == [make_other(group.version)] * len(documents)


def test_large_configuration_of_which_little_changes_is_passed_on():
    # Guards against a read of the store by each instance for each configuration.
    def make_large(version):
        return {**make_configuration(version), "note": "x" * MAX_PUBLISHED_BYTES}

    group = Group()
    for each in group.instances.values():
        each.store.push("op", make_rows(99, config=make_large(8)))
        each.source.refresh_configuration()
    group.version, group.rows = 8, 100
    calls = [len(each.store.calls) for each in group.others]
    group.change(make_large)
    group.advance(APPLY_S)
    assert {each.version for each in group.others} == {9}
    assert [len(each.store.calls) for each in group.others] == calls


def test_new_reader_passes_on_changes_from_the_start():
    # Guards against whole configurations for all instances after each restart of one.
    group = Group(knows_members=True)
    group.advance_silently(1.2)
    before = group.sent_bytes[NEXT_READER]
    rows = make_rows(group.rows + 1, config=make_configuration(8))
    group.instances[NEXT_READER].store.push("op", rows)
    group.advance_silently(0.5)
    others = [each for name, each in group.instances.items() if name != NEXT_READER]
    assert {each.version for each in others} == {8}
    assert group.sent_bytes[NEXT_READER] - before < len(others) * 500


def test_change_that_was_lost_is_read_from_the_store():
    group = Group()
    lagging = group.instances[SUPPLIED]
    handlers = lagging.channels.handlers
    (kind,) = [each for each in handlers if each == "xc"]
    receive, handlers[kind] = handlers[kind], lambda _: None
    group.change()
    group.advance(CHANGE_INTERVAL_S)
    handlers[kind] = receive
    assert lagging.version == 7
    group.change()
    lagging.store.push("op", make_rows(99, config=make_configuration(9)))
    group.advance(APPLY_S)
    assert lagging.version == 9


def test_change_that_arrives_while_an_older_configuration_is_read_is_not_left_out():
    # The read was answered before the change was written; nothing asks for it again.
    group = Group()
    lagging = group.instances[SUPPLIED]
    assert lagging.source._compute_pause_s() > 0.0
    handlers = lagging.channels.handlers
    receive, handlers["xc"] = handlers["xc"], lambda _: None
    group.change()  # 8, lost
    group.advance(CHANGE_INTERVAL_S)
    handlers["xc"] = receive
    group.change()  # 9, which does not fit
    group.advance(CHANGE_INTERVAL_S)  # the store is being read
    group.change()  # 10, which does not fit either
    group.advance(0.1)
    lagging.store.push("op", make_rows(99, config=make_configuration(9)))
    group.advance(0.1)
    assert lagging.version == 9
    lagging.store.push("op", make_rows(100, config=make_configuration(10)))
    group.advance(APPLY_S)
    assert lagging.version == 10
