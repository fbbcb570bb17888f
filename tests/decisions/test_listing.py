from __future__ import annotations

import random

from ebonyhaven_decisions import (
    GossipEntry,
    Listing,
    ListingReadSchedule,
    choose_readers,
)

WALL_CLOCK_S = 1_000_000.0
NAMES = [f"n{index}" for index in range(40)]


def read(listing: Listing, values, *, now, started_at=None, publish=True) -> bool:
    return listing.merge_read(
        values,
        started_at=now if started_at is None else started_at,
        now=now,
        wall_s=WALL_CLOCK_S + now,
        publish=publish,
    )


def gossip(source: Listing, target: Listing, now: float) -> bool:
    changes = [target.merge_entry(e, now) for e in source.table.collect(10_000)]
    return any(changes)


def test_change_reaches_an_instance_that_does_not_read_the_list():
    reader, other = Listing(), Listing()
    assert read(reader, {"s1": ["live"], "s2": ["live"]}, now=0.0)
    assert gossip(reader, other, 0.1)
    assert read(reader, {"s1": ["leaving"]}, now=3.0)
    assert gossip(reader, other, 3.1)
    assert other.values() == {"s1": ["leaving"]} == reader.values()
    assert other.is_consistent()
    assert other.compute_age(WALL_CLOCK_S + 3.0) == 0.0


def test_list_is_complete_only_after_all_entries_arrived():
    reader, other = Listing(), Listing()
    assert not other.is_complete()
    read(reader, {"s1": ["live"], "s2": ["live"]}, now=0.0)
    assert reader.is_complete()
    entries = {entry.key: entry for entry in reader.table.entries()}
    other.merge_entry(entries["s1"], 0.1)
    assert not other.is_complete()
    other.merge_entry(entries[""], 0.2)
    assert not other.is_complete()
    other.merge_entry(entries["s2"], 0.3)
    assert other.is_complete()


def test_unchanged_list_is_not_sent_again():
    reader = Listing()
    read(reader, {"s1": ["live"]}, now=0.0)
    while reader.table.collect(1000):
        pass
    assert not read(reader, {"s1": ["live"]}, now=3.0)
    assert reader.table.collect(1000) == []


def test_entry_observed_by_several_readers_is_not_sent_again():
    first, second = Listing(), Listing()
    read(first, {"s1": ["live"]}, now=0.0, publish=False)
    read(second, {"s1": ["live"]}, now=1.0, publish=False)
    while second.table.collect(1000):
        pass
    assert not gossip(first, second, 1.1)
    assert second.table.collect(1000) == []
    read(first, {"s1": ["live"]}, now=2.0, publish=False)
    later = GossipEntry("s1", int((WALL_CLOCK_S + 2) * 1000), ["live"])
    assert not second.merge_entry(later, 2.0)
    assert second.table.collect(1000) == []


def test_read_started_before_an_update_does_not_revert_it():
    listing = Listing()
    read(listing, {"s1": ["live"]}, now=0.0)
    update = GossipEntry("s1", int((WALL_CLOCK_S + 5) * 1000), ["leaving"])
    listing.merge_entry(update, 5.0)
    assert not read(listing, {"s1": ["live"]}, now=5.1, started_at=4.9)
    assert listing.values() == {"s1": ["leaving"]}


def test_own_read_replaces_an_entry_from_a_fast_clock():
    listing = Listing()
    update = GossipEntry("s1", int((WALL_CLOCK_S + 900) * 1000), ["live"])
    listing.merge_entry(update, 0.0)
    assert read(listing, {"s1": ["leaving"]}, now=3.0)
    assert listing.table.get("s1").version > update.version


def test_missed_update_makes_the_list_inconsistent():
    reader, other = Listing(), Listing()
    read(reader, {"s1": ["live"]}, now=0.0)
    gossip(reader, other, 0.1)
    read(reader, {"s1": ["leaving"]}, now=12.0)
    other.merge_entry(reader.table.get(""), 12.1)
    assert not other.is_consistent()
    for entry in reader.entries():
        other.merge_entry(entry, 12.2)
    assert other.is_consistent()


def test_tombstone_of_a_process_is_removed_after_its_time_to_live():
    listing = Listing()
    read(listing, {"s1": ["live"]}, now=0.0)
    read(listing, {}, now=3.0)
    assert listing.values() == {}
    read(listing, {}, now=4000.0)
    assert len(listing) == 0


def measure_read_rate(names, *, seconds: int, age_s: float = 1.0, down=()) -> float:
    """Return the reads per second of all instances, polled every 1.5 s."""
    schedules = [
        ListingReadSchedule(name=name, rng=random.Random(name)) for name in names
    ]
    live = [name for name in names if name not in down]
    reads = 0
    for step in range(int(seconds / 1.5)):
        now = step * 1.5
        for name, schedule in zip(names, schedules, strict=True):
            due = schedule.is_due(live, now=now, wall_s=WALL_CLOCK_S + now, age_s=age_s)
            reads += due and name in live
    return reads / seconds


def test_all_instances_read_in_small_clusters_and_the_rate_is_bounded_in_large_ones():
    assert measure_read_rate(NAMES[:9], seconds=150) == 9 / 1.5
    assert measure_read_rate(NAMES, seconds=240) <= 2.0
    assert measure_read_rate([f"m{i}" for i in range(100)], seconds=120) <= 3.0


def test_other_instances_read_when_the_last_read_is_too_old():
    normal = measure_read_rate(NAMES, seconds=150)
    assert measure_read_rate(NAMES, seconds=150, age_s=60.0) >= normal + 1.0


def test_dead_readers_are_replaced():
    readers = choose_readers(NAMES, WALL_CLOCK_S)
    assert len(readers) == 2
    remaining = [name for name in NAMES if name not in readers]
    assert len(choose_readers(remaining, WALL_CLOCK_S)) == 2
