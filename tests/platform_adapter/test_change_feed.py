"""Tests of server changes that one instance reads for others."""

from __future__ import annotations

from ebonyhaven_adapter._listed_entries import RESTORE_CONFIRMATION_S
from ebonyhaven_adapter._shared_reads import (
    MAX_RETRY_INTERVAL_S,
    MIN_PUBLISH_INTERVAL_S,
)
from ebonyhaven_adapter._source import MAX_PUBLISHED_BYTES
from ebonyhaven_adapter._table_follower import RETRY_INTERVAL_S
from ebonyhaven_decisions.forwarding import MessageAges, RecentChanges
from ebonyhaven_decisions.forwarding._change_feed import (
    CLOCK_MEMORY_S,
    MAX_FEED_TIMEOUT_S,
    MAX_RECENT_CHANGES,
    MIN_FEED_TIMEOUT_S,
    STANDBY_DELAY_S,
    STANDBY_READERS,
    find_reader_rank,
)
from ebonyhaven_decisions.forwarding._version_history import VERSION_MEMORY_S
from ebonyhaven_node.forwarding._state_feed import MAX_INSTANCES_OF_ONE_READER
from ebonyhaven_node.forwarding.interfaces import ReadGroup

from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    build_source,
    make_rows,
    make_store_error,
    send_between_instances,
    start_with_complete_state,
)

DRAIN_S = 2.0


class FakeGroup(ReadGroup):
    """A group in which this instance has a fixed place among the readers."""

    def __init__(self, *, rank, instances=2, publish=lambda _: None):
        self.rank = rank
        self.instances = instances
        self.states = []
        self._publish = publish

    def find_rank(self):
        return self.rank

    def count_instances(self):
        return self.instances

    def shares_configuration(self):
        return self.instances > MAX_INSTANCES_OF_ONE_READER

    def publish_changes(self, payload):
        self._publish(payload)

    def publish_state(self, payload):
        self.states.append(payload)


class FeedHarness:
    """A reader and an instance that it supplies, each with its own store client."""

    def __init__(self):
        self.clock, self.store, self.state, self.reader = start_with_complete_state()
        self.other_clock, self.other_store, self.other_state, self.other = (
            start_with_complete_state()
        )
        self.is_connected = True
        self.published = []
        self.group = FakeGroup(rank=0, publish=self._publish)
        self.other_group = FakeGroup(rank=1)
        self.reader.connect_group(self.group)
        self.other.connect_group(self.other_group)

    def _publish(self, payload):
        self.published.append(payload)
        if self.is_connected:
            self.other.apply_changes(send_between_instances(payload))

    def change(self, version, **servers):
        """Let the reader read changes, then pass the time to its next poll."""
        self.store.push("servers", make_rows(version, **servers))
        self.advance(0.35)

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.other_clock.advance(seconds)

    def count_other_polls(self):
        return sum(call[1] == "servers" for call in self.other_store.calls)


def start_fed():
    """Return a harness in which the poll of the other instance has ended."""
    harness = FeedHarness()
    harness.change(13, s_2={**SERVER, "address": "10.0.0.2:80"})
    harness.other_store.push("servers", make_rows(13))
    harness.other_clock.advance(0.0)
    return harness


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


def test_change_that_was_undone_in_the_span_of_a_message_is_read():
    # Guards against a slow reader to which nothing has changed in between.
    harness = start_fed()
    harness.other.apply_changes([0, 13, 15, [[15, "s-1", None]]])
    polls = harness.count_other_polls()
    harness.other.apply_changes([0, 12, 18, []])
    assert harness.count_other_polls() == polls + 1
    harness.other_store.push("servers", make_rows(18, s_1=SERVER))
    assert harness.other_state.backends.find("s-1") is not None


def test_removal_of_a_row_that_names_no_server_does_not_hide_software_versions():
    # Guards against refusing the retries of streams, as a server seems to be missed.
    harness = start_fed()
    harness.advance(VERSION_MEMORY_S)
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


STORE_CLOCK_S = 500.0  # ahead of the clocks of the instances


def start_with_store_clock():
    """Return a harness whose messages tell the time of the store's clock."""
    harness = start_fed()
    harness.advance(MAX_FEED_TIMEOUT_S)
    harness.is_connected = False
    for clock, store in (
        (harness.clock, harness.store),
        (harness.other_clock, harness.other_store),
    ):
        rows = make_rows(14, s_1={**SERVER, "sequence": 14})
        store.push("servers", rows._replace(now_s=clock.seconds() + STORE_CLOCK_S))
    return harness


def publish_unchanged(harness, version):
    """Let the reader publish that there are no changes, and return the message."""
    now_s = harness.clock.seconds() + STORE_CLOCK_S
    rows = make_rows(version, s_1={**SERVER, "sequence": version})
    harness.store.push("servers", rows._replace(now_s=now_s))
    harness.advance(0.35)
    return send_between_instances(harness.published[-1])


def test_messages_that_were_long_on_their_way_do_not_keep_an_instance_from_polling():
    # Guards against an instance behind a slow link that never polls.
    harness = start_with_store_clock()
    delayed = [publish_unchanged(harness, version) for version in range(15, 25)]
    harness.advance(MAX_FEED_TIMEOUT_S)
    polls = harness.count_other_polls()
    for message in delayed:
        harness.other.apply_changes(message)
        harness.other_store.push("servers", make_rows(message[2]))
    assert harness.count_other_polls() == polls + len(delayed)


def test_messages_that_arrive_at_once_keep_an_instance_from_polling():
    harness = start_with_store_clock()
    harness.other.apply_changes(publish_unchanged(harness, 15))
    harness.other_store.push("servers", make_rows(15))
    polls = harness.count_other_polls()
    for version in range(16, 36):
        harness.other.apply_changes(publish_unchanged(harness, version))
    assert harness.count_other_polls() == polls


def test_time_of_a_message_is_no_change_for_an_instance_of_an_earlier_build():
    harness = start_with_store_clock()
    message = publish_unchanged(harness, 15)
    era, after, version, changes = message
    assert (era, after, version) == (0, 14, 15)
    assert all(change[0] <= after and change[2] is None for change in changes)


def test_ages_recover_when_the_clock_of_the_store_starts_anew():
    ages = MessageAges()
    ages.record_read(500.0, 0.0)
    assert ages.measure_age_s(509.0, 10.0) == 1.0
    ages.record_read(509.5, 10.0)  # a late response does not count
    assert ages.measure_age_s(510.0, 10.0) == 0.0
    ages.record_read(1.0, 11.0)
    assert ages.measure_age_s(2.0, 12.0) == 0.0
    assert ages.measure_age_s(None, 12.0) == 0.0


def test_messages_do_not_seem_late_as_clocks_drift():
    drift_share = 1e-4
    for clock_rate in (1 - drift_share, 1 + drift_share):
        ages = MessageAges()
        ages.record_read(500.0, 0.0)
        for now in range(1, 4 * 3600):
            age_s = ages.measure_age_s(500.0 + clock_rate * now, float(now))
            assert age_s <= 3 * CLOCK_MEMORY_S * drift_share
        assert ages.measure_age_s(498.0 + clock_rate * now, float(now)) >= 2.0


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


def test_reader_that_loses_the_store_publishes_nothing():
    harness = start_fed()
    count = len(harness.published)
    harness.store.push("servers", make_store_error())
    harness.advance(2.0)
    assert len(harness.published) == count


def test_standbys_take_over_one_after_the_other():
    # Guards against a whole group that polls the store when its reader is lost.
    polls_at = {}
    for rank in (1, 2, STANDBY_READERS, STANDBY_READERS + 1):
        harness = start_fed()
        harness.other_group.rank = rank
        harness.is_connected = False
        polls = harness.count_other_polls()
        waited_s = 0.0
        while harness.count_other_polls() == polls:
            harness.advance(0.01)
            waited_s += 0.01
        polls_at[rank] = waited_s
    first = polls_at[1]
    assert first <= MAX_FEED_TIMEOUT_S
    for rank, waited_s in polls_at.items():
        assert abs(waited_s - first - (rank - 1) * STANDBY_DELAY_S) < 0.02


def test_standby_passes_on_what_it_reads_while_the_reader_is_silent():
    harness = start_fed()
    third_group = FakeGroup(rank=2)
    third_clock, third_store, third_state, third = start_with_complete_state()
    third.connect_group(third_group)
    third_store.push("servers", make_rows(13))
    third_clock.advance(0.0)
    harness.other_group._publish = lambda payload: third.apply_changes(
        send_between_instances(payload)
    )
    harness.is_connected = False
    harness.advance(MAX_FEED_TIMEOUT_S)
    changed = {**SERVER, "address": "10.0.0.7:80"}
    harness.other_store.push("servers", make_rows(14, s_7=changed))
    assert third_state.backends.find("s-7") is not None


def test_instance_beyond_the_standbys_keeps_its_reads_to_itself():
    harness = start_fed()
    published = []
    harness.other_group.rank = STANDBY_READERS + 1
    harness.other_group._publish = published.append
    harness.is_connected = False
    harness.advance(MAX_FEED_TIMEOUT_S + STANDBY_READERS * STANDBY_DELAY_S)
    harness.other_store.push("servers", make_rows(14, s_2=None))
    assert harness.other_state.backends.find("s-2") is None
    assert not published


def test_order_of_readers_is_the_same_everywhere():
    names = [f"n{number}" for number in range(39)]
    ranks = {name: find_reader_rank(name, reversed(names)) for name in names}
    assert sorted(ranks.values())[: STANDBY_READERS + 2] == [0, 1, 2, 3, 4, 5]
    assert ranks == {name: find_reader_rank(name, names) for name in names}
    assert find_reader_rank("stopped", names) == STANDBY_READERS + 1


class LargeGroup:
    """A reader of the configuration and an instance that it supplies."""

    def __init__(self):
        self.feed = start_fed()
        self.feed.group.instances = self.feed.other_group.instances = 195
        self.feed.other_group.rank = STANDBY_READERS + 1
        self.feed.other_store.push("op", make_rows(13))
        self.version = 13

    def keep_alive(self, seconds):
        """Let the reader publish that there are no changes."""
        for _ in range(round(seconds / 0.35)):
            self.version += 1
            self.feed.change(self.version, s_1={**SERVER, "sequence": self.version})

    def count_other_polls(self):
        return sum(call[1] == "op" for call in self.feed.other_store.calls)


def test_new_configuration_reaches_a_large_group_through_its_reader():
    # Guards against a call of each instance for each new configuration.
    group = LargeGroup()
    group.keep_alive(1.0)
    polls = group.count_other_polls()
    changed = {**CONFIGURATION, "version": 8}
    group.feed.store.push("op", make_rows(20, config=changed))
    (payload,) = group.feed.group.states
    group.feed.other.merge(send_between_instances(payload))
    assert group.feed.other_state.configuration.version == 8
    assert group.feed.other_state.backends.find("s-2") is not None
    group.keep_alive(10.0)
    assert group.count_other_polls() == polls
    assert not group.feed.other.is_unresponsive()


def test_overdue_configuration_is_read_although_a_reader_is_heard():
    group = LargeGroup()
    group.keep_alive(1.0)
    polls = group.count_other_polls()
    group.feed.other.refresh_configuration()
    assert group.count_other_polls() == polls + 1
    changed = {**CONFIGURATION, "version": 8}
    group.feed.other_store.push("op", make_rows(20, config=changed))
    assert group.feed.other_state.configuration.version == 8
    group.keep_alive(3.0)
    assert group.count_other_polls() == polls + 1


def test_instance_polls_the_configuration_when_its_readers_fall_silent():
    group = LargeGroup()
    group.keep_alive(1.0)
    polls = group.count_other_polls()
    group.feed.advance(MAX_FEED_TIMEOUT_S + STANDBY_READERS * STANDBY_DELAY_S)
    assert group.count_other_polls() == polls + 1


def test_large_configuration_is_left_to_the_store():
    group = LargeGroup()
    group.keep_alive(1.0)
    tenants = [
        {"name": f"studio-{number}", "apiKeys": [f"k{number}" * 10]}
        for number in range(MAX_PUBLISHED_BYTES // 40)
    ]
    changed = {**CONFIGURATION, "version": 8, "tenants": tenants}
    group.feed.store.push("op", make_rows(20, config=changed))
    assert group.feed.state.configuration.version == 8
    assert not group.feed.group.states


def test_small_group_polls_the_configuration_itself():
    harness = start_fed()
    polls = sum(call[1] == "op" for call in harness.other_store.calls)
    harness.other_store.push("op", make_rows(14))
    harness.other_clock.advance(0.0)
    assert sum(call[1] == "op" for call in harness.other_store.calls) == polls + 1


def test_calls_in_an_outage_do_not_grow_with_the_instances():
    harness = start_fed()
    calls = {}
    for count in (9, 79, 195, 390):
        for group in (harness.group, harness.other_group):
            group.instances = count
        harness.other_group.rank = STANDBY_READERS + 1
        assert harness.reader._servers.compute_retry_s() == RETRY_INTERVAL_S
        calls[count] = count / harness.other._servers.compute_retry_s()
    assert harness.other._servers.compute_retry_s() <= MAX_RETRY_INTERVAL_S
    assert calls[195] < 3 * calls[79]
