"""Tests of messages of a reader that were long on their way."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import MessageAges
from ebonyhaven_decisions.forwarding._change_feed import (
    CLOCK_MEMORY_S,
    MAX_FEED_TIMEOUT_S,
)

from tests.platform_adapter.fed_instances import start_fed
from tests.platform_adapter.state_sources import (
    SERVER,
    make_rows,
    send_between_instances,
)

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
