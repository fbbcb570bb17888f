"""An instance that reads server changes for others, and one that it supplies."""

from __future__ import annotations

from ebonyhaven_node.forwarding._state_feed import MAX_INSTANCES_OF_ONE_READER
from ebonyhaven_node.forwarding.interfaces import ReadGroup

from tests.platform_adapter.state_sources import (
    SERVER,
    make_rows,
    send_between_instances,
    start_with_complete_state,
)


class FakeGroup(ReadGroup):
    """A group in which this instance has a fixed place among the readers."""

    def __init__(self, *, rank, instances=2, publish=lambda _: None):
        self.rank = rank
        self.instances = instances
        self.states = []
        self.changes = []
        self._publish = publish

    def find_rank(self):
        return self.rank

    def count_instances(self):
        return self.instances

    def shares_configuration(self):
        return self.instances > MAX_INSTANCES_OF_ONE_READER

    def publish_changes(self, payload):
        self._publish(payload)

    def publish_configuration(self, state, change):
        if state is not None:
            self.states.append(state)
        if change is not None:
            self.changes.append(change)


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
