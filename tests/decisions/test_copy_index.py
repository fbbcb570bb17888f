from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    RunCopyIndex,
    RunCopyLocation,
    choose_index_instances,
)
from ebonyhaven_decisions.forwarding._copy_index import (
    INDEX_REPLICAS,
    MAX_INDEX_ENTRIES,
)

LOCATION = RunCopyLocation("e-1", "10.0.0.1:9001", "r1")
INSTANCES = [f"n{number}" for number in range(12)]


def test_all_instances_choose_the_same_index_instances():
    chosen_instances = choose_index_instances("abc", INSTANCES)
    assert len(set(chosen_instances)) == INDEX_REPLICAS
    assert choose_index_instances("abc", reversed(INSTANCES)) == chosen_instances


def test_loss_of_an_instance_keeps_the_other_index_instances():
    chosen_instances = choose_index_instances("abc", INSTANCES)
    remaining = [name for name in INSTANCES if name != chosen_instances[0]]
    assert (
        choose_index_instances("abc", remaining)[: INDEX_REPLICAS - 1]
        == chosen_instances[1:]
    )


def test_entries_are_spread_over_all_instances():
    chosen = {
        name
        for key in range(40)
        for name in choose_index_instances(str(key), INSTANCES)
    }
    assert chosen == set(INSTANCES)


def test_copy_is_found_until_its_entry_is_removed():
    index = RunCopyIndex(30.0)
    index.record("abc", LOCATION, 100.0)
    assert index.find("abc", 101.0) == LOCATION
    assert index.find("other", 101.0) is None
    index.record("abc", None, 102.0)
    assert index.find("abc", 102.0) is None


def test_expired_and_excess_entries_are_evicted():
    index = RunCopyIndex(30.0)
    index.record("old", LOCATION, 100.0)
    assert index.find("old", 130.1) is None
    for number in range(MAX_INDEX_ENTRIES + 5):
        index.record(str(number), LOCATION, 131.0)
    assert len(index) == MAX_INDEX_ENTRIES
    assert index.find("0", 131.0) is None
    assert index.find(str(MAX_INDEX_ENTRIES), 131.0) == LOCATION
