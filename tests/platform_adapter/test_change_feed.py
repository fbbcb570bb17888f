"""Tests of server changes that one instance reads for others."""

from __future__ import annotations

from ebonyhaven_adapter._server_list import MIN_PUBLISH_INTERVAL_S
from ebonyhaven_decisions.forwarding._change_feed import (
    MAX_FEED_TIMEOUT_S,
    MIN_FEED_TIMEOUT_S,
)

from tests.platform_adapter.test_source import (
    SERVER,
    make_rows,
    make_store_error,
    send_between_instances,
    start_with_complete_state,
)


class FeedHarness:
    """A reader and an instance that it supplies, each with its own store client."""

    def __init__(self):
        self.clock, self.store, self.state, self.reader = start_with_complete_state()
        self.other_clock, self.other_store, self.other_state, self.other = (
            start_with_complete_state()
        )
        self.is_connected = True
        self.published = []
        self.reader.connect_feed(
            is_reader=lambda: True, count_instances=lambda: 2, publish=self._publish
        )
        self.other.connect_feed(
            is_reader=lambda: False, count_instances=lambda: 2, publish=self._fail
        )

    def _publish(self, payload):
        self.published.append(payload)
        if self.is_connected:
            self.other.apply_changes(send_between_instances(payload))

    def _fail(self, payload):
        raise AssertionError(payload)

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
