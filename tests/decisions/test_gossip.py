from __future__ import annotations

import json

from ebonyhaven_decisions import GossipEntry, GossipTable
from hypothesis import given
from hypothesis import strategies as st

entries = st.builds(
    GossipEntry,
    key=st.sampled_from(["s1", "s2"]),
    version=st.integers(0, 3),
    value=st.integers(0, 3),
)


@given(st.lists(entries), st.randoms(use_true_random=False))
def test_merge_is_order_independent_and_versions_never_decrease(arrivals, rng):
    table = GossipTable(ttl_s=60.0)
    highest: dict[str, int] = {}
    for entry in arrivals:
        table.merge(entry, 0.0)
        highest[entry.key] = max(highest.get(entry.key, 0), entry.version)
        assert table.get(entry.key).version == highest[entry.key]
    shuffled = list(arrivals)
    rng.shuffle(shuffled)
    other = GossipTable(ttl_s=60.0)
    for entry in shuffled:
        other.merge(entry, 0.0)
    assert sorted(other.entries()) == sorted(table.entries())


@given(st.integers(10, 200))
def test_collected_entries_fit_the_budget(budget_bytes):
    table = GossipTable(ttl_s=60.0)
    for index in range(50):
        table.merge(GossipEntry(f"server-{index}", index, [index, 0.5]), 0.0)
    for _ in range(20):
        payload = table.collect(budget_bytes)
        assert len(json.dumps(payload, separators=(",", ":"))) <= budget_bytes


def test_new_entries_have_priority_and_older_ones_are_repeated_in_rotation():
    table = GossipTable(ttl_s=60.0, transmissions=1)
    for index in range(6):
        table.merge(GossipEntry(f"s{index}", 1, 0), 0.0)
    sent = [entry.key for _ in range(4) for entry in table.collect(40)]
    assert set(sent) == {f"s{index}" for index in range(6)}
    table.merge(GossipEntry("s9", 1, 0), 0.0)
    assert table.collect(20)[0].key == "s9"


def test_entries_without_renewal_expire():
    table = GossipTable(ttl_s=60.0)
    table.merge(GossipEntry("s1", 1, 0), 0.0)
    table.merge(GossipEntry("s2", 1, 0), 50.0)
    assert table.expire(61.0) == ["s1"]
    assert table.collect(100) == [GossipEntry("s2", 1, 0)]
