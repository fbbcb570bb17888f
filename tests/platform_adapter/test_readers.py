"""Tests of which instances read server changes, and how often they try."""

from __future__ import annotations

from ebonyhaven_adapter._shared_reads import MAX_RETRY_INTERVAL_S
from ebonyhaven_adapter._table_follower import RETRY_INTERVAL_S
from ebonyhaven_decisions.forwarding._change_feed import (
    MAX_FEED_TIMEOUT_S,
    STANDBY_DELAY_S,
    STANDBY_READERS,
    find_reader_rank,
)

from tests.platform_adapter.fed_instances import FakeGroup, start_fed
from tests.platform_adapter.state_sources import (
    SERVER,
    make_rows,
    make_store_error,
    send_between_instances,
    start_with_complete_state,
)


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
