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

PLACE = RunCopyLocation("e-1", "10.0.0.1:9001", "r1")
INSTANCES = [f"n{number}" for number in range(12)]


def test_all_instances_name_the_same_keepers():
    keepers = choose_index_instances("abc", INSTANCES)
    assert len(set(keepers)) == INDEX_REPLICAS
    assert choose_index_instances("abc", reversed(INSTANCES)) == keepers


def test_loss_of_an_instance_moves_only_its_own_part():
    keepers = choose_index_instances("abc", INSTANCES)
    left = [name for name in INSTANCES if name != keepers[0]]
    assert choose_index_instances("abc", left)[: INDEX_REPLICAS - 1] == keepers[1:]


def test_runs_are_spread_over_the_instances():
    chosen = {
        name
        for key in range(40)
        for name in choose_index_instances(str(key), INSTANCES)
    }
    assert chosen == set(INSTANCES)


def test_a_copy_is_known_until_it_is_taken_back():
    places = RunCopyIndex(30.0)
    places.record("abc", PLACE, 100.0)
    assert places.find("abc", 101.0) == PLACE
    assert places.find("other", 101.0) is None
    places.record("abc", None, 102.0)
    assert places.find("abc", 102.0) is None


def test_old_statements_and_those_beyond_the_limit_are_dropped():
    places = RunCopyIndex(30.0)
    places.record("old", PLACE, 100.0)
    assert places.find("old", 130.1) is None
    for number in range(MAX_INDEX_ENTRIES + 5):
        places.record(str(number), PLACE, 131.0)
    assert len(places) == MAX_INDEX_ENTRIES
    assert places.find("0", 131.0) is None
    assert places.find(str(MAX_INDEX_ENTRIES), 131.0) == PLACE
