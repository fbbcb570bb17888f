"""Bounds on the time until silent store connections are found, and on calls."""

from __future__ import annotations

from twisted.internet.task import Clock

from tests.platform_adapter.timed_stores import TimedGroup

CONTACT_S = 3.0
APPLY_S = 2.0
SIZES = (1, 2, 6, 9, 24, 28, 70)
OFFSETS_S = (0.02, 0.4, 0.9, 1.3)  # of the silence after a change
READ_SHARE = 1 / 100  # of the 2,000 calls a second that all instances may make


def start_group(size, offset_s):
    """Return a group whose connections to the store fell silent after a change."""
    group = TimedGroup(Clock(), size)
    group.advance(5.0)
    group.change_configuration(8)
    group.advance(offset_s)
    group.silence_store()
    return group


def test_change_is_in_force_in_time_whenever_store_connections_fall_silent():
    for size in SIZES:
        for offset_s in OFFSETS_S:
            group = start_group(size, offset_s)
            group.advance(CONTACT_S - APPLY_S)
            group.change_configuration(9)
            group.advance(APPLY_S)
            assert group.list_versions() == {9}, (size, offset_s)


def test_change_is_in_force_in_time_whenever_all_connections_fall_silent():
    for size in SIZES:
        for offset_s in OFFSETS_S:
            group = start_group(size, offset_s)
            group.are_peers_silent = True
            group.advance(CONTACT_S - APPLY_S)
            group.change_configuration(9)
            group.advance(APPLY_S)
            assert group.list_versions() == {9}, (size, offset_s)


def test_server_list_is_known_in_time_whenever_all_connections_fall_silent():
    for size in SIZES:
        for offset_s in OFFSETS_S:
            group = start_group(size, offset_s)
            group.are_peers_silent = True
            group.advance(CONTACT_S - APPLY_S)
            group.list_server("s-2")
            group.advance(APPLY_S)
            unaware = [
                rank
                for rank, each in enumerate(group.instances)
                if each.state.backends.find("s-2") is None
            ]
            assert not unaware, (size, offset_s)


def test_instances_together_make_few_calls_without_changes():
    for size in SIZES:
        group = TimedGroup(Clock(), size)
        group.advance(5.0)
        before = group.store.calls
        group.advance(60.0)
        assert group.store.calls - before <= READ_SHARE * 2000 * 60.0, size
