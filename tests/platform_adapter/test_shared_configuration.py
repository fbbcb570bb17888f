"""Tests of the configuration that readers pass on in a large group."""

from __future__ import annotations

from ebonyhaven_adapter._shared_reads import MAX_RETRY_INTERVAL_S
from ebonyhaven_adapter._source import MAX_PUBLISHED_BYTES
from ebonyhaven_adapter._store import Row, RowBatch
from ebonyhaven_decisions.forwarding._change_feed import (
    MAX_FEED_TIMEOUT_S,
    STANDBY_DELAY_S,
    STANDBY_READERS,
)

from tests.platform_adapter.fed_instances import start_fed
from tests.platform_adapter.state_sources import (
    CONFIGURATION,
    SERVER,
    make_rows,
    make_store_error,
    send_between_instances,
)


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


def test_configurations_that_are_read_together_are_passed_on_once():
    # Guards against a reader that has the store back after some versions, and whose
    # link to callers and servers the copies of each of them block for seconds.
    group = LargeGroup()
    group.keep_alive(1.0)
    versions = [{**CONFIGURATION, "version": number} for number in (8, 9, 10, 11)]
    rows = tuple(
        Row("config", document, 12 + document["version"], False)
        for document in versions
    )
    group.feed.store.push("op", RowBatch(rows, 23, False, 0))
    assert group.feed.state.configuration.version == 11
    (payload,) = group.feed.group.states
    group.feed.other.merge(send_between_instances(payload))
    assert group.feed.other_state.configuration.version == 11


def test_change_is_passed_on_to_instances_that_have_the_configuration_before():
    group = LargeGroup()
    group.keep_alive(1.0)
    changed = {**CONFIGURATION, "version": 8, "limits": {"idleTimeoutMs": 6000}}
    group.feed.store.push("op", make_rows(20, config=changed))
    group.feed.clock.advance(1.0)
    last = {**changed, "version": 9, "tenants": []}
    group.feed.store.push("op", make_rows(21, config=last))
    first, second = map(send_between_instances, group.feed.group.changes)
    assert group.feed.other.merge_change(second) == 9  # has not got the first
    assert group.feed.other_state.configuration.version == 7
    for change, version in ((first, 8), (second, 9), (first, 9), (second, 9)):
        assert group.feed.other.merge_change(change) is None
        assert group.feed.other_state.configuration.version == version
    assert group.feed.other_state.limits.idle_timeout_s == 6.0
    assert not group.feed.other_state.configuration.workspaces
    assert group.feed.other.export()[1] == last


def test_change_that_makes_another_document_is_refused():
    # Guards against an instance whose configuration differs from that of its reader.
    group = LargeGroup()
    group.keep_alive(1.0)
    changed = {**CONFIGURATION, "version": 8, "limits": {"idleTimeoutMs": 6000}}
    group.feed.store.push("op", make_rows(20, config=changed))
    known, version, _, checksum = send_between_instances(group.feed.group.changes[0])
    for edits in ([], None, [["set", ["limits", "x", 0], 1]]):
        try:
            group.feed.other.merge_change([known, version, edits, checksum])
        except (TypeError, ValueError):
            pass
        else:
            raise AssertionError(edits)
        assert group.feed.other_state.configuration.version == 7


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


def test_instance_that_was_supplied_reads_no_version_that_it_missed():
    # Guards against an answer with all configurations since the last read, which takes
    # the link longer than the call may last, and is asked for again and again.
    group = LargeGroup()
    group.keep_alive(1.0)
    for version in range(8, 48):
        document = {**CONFIGURATION, "version": version}
        group.feed.store.push("op", make_rows(12 + version, config=document))
        group.feed.clock.advance(0.4)
        change = send_between_instances(group.feed.group.changes[-1])
        assert group.feed.other.merge_change(change) is None
    group.feed.other.refresh_configuration()
    assert group.feed.other_store.calls[-1] == ("table", "op", None)
    last = {**CONFIGURATION, "version": 48}
    group.feed.other_store.push("op", make_rows(60, config=last))
    group.feed.other.refresh_configuration()
    assert group.feed.other_store.calls[-1] == ("changes", "op", 60)


def test_table_is_read_after_changes_that_did_not_arrive():
    group = LargeGroup()
    group.keep_alive(1.0)
    group.feed.other.refresh_configuration()
    assert group.feed.other_store.calls[-1] == ("changes", "op", 13)
    group.feed.other_store.push("op", make_store_error(is_timeout=True))
    group.feed.advance(MAX_RETRY_INTERVAL_S)
    assert group.feed.other_store.calls[-1] == ("table", "op", None)


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
    assert not group.feed.group.changes


def test_small_group_polls_the_configuration_itself():
    harness = start_fed()
    polls = sum(call[1] == "op" for call in harness.other_store.calls)
    harness.other_store.push("op", make_rows(14))
    harness.other_clock.advance(0.0)
    assert sum(call[1] == "op" for call in harness.other_store.calls) == polls + 1
