from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamIndex,
    StreamKey,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
    choose_recorder,
)
from ebonyhaven_decisions.forwarding._stream_index import (
    INDEX_REPLICAS,
    INSTANCES_PER_RECORDER,
    MAX_INDEX_ENTRIES,
)

RECORD = StreamRecord("v1", "r1", RunCopyLocation("e-1", "10.0.0.1:9001", "h-1"))
INSTANCES = [f"n{number}" for number in range(12)]


def make_key(content):
    return StreamKey(content, RECORD.request_id)


def find(index, content, now):
    """Return the record of the only stream of a content; None if there is none."""
    found = index.find(content, RECORD.request_id, now)
    assert index.find(content, None, now) == found
    return found[0] if found else None


def list_unstored(index, now):
    return [key.content for key in index.list_unstored(now)]


def test_all_instances_choose_the_same_index_instances():
    chosen_instances = choose_index_instances("abc", INSTANCES)
    assert len(set(chosen_instances)) == INDEX_REPLICAS
    assert choose_index_instances("abc", reversed(INSTANCES)) == chosen_instances


def test_loss_of_an_instance_keeps_the_other_index_instances():
    chosen_instances = choose_index_instances("abc", INSTANCES)
    for lost in chosen_instances:
        remaining = [name for name in INSTANCES if name != lost]
        kept = {name for name in chosen_instances if name != lost}
        assert kept <= set(choose_index_instances("abc", remaining))


def test_few_instances_record_the_streams_of_many():
    recorders = {choose_recorder(str(key), INSTANCES) for key in range(100)}
    assert len(recorders) == 1
    many = [f"n{number}" for number in range(5 * INSTANCES_PER_RECORDER)]
    recorders = {choose_recorder(str(key), many) for key in range(400)}
    assert 2 <= len(recorders) <= 5
    assert choose_recorder("abc", []) is None


def test_recorder_is_one_of_the_index_instances():
    for key in map(str, range(20)):
        assert choose_recorder(key, INSTANCES) in choose_index_instances(key, INSTANCES)


def test_entries_are_spread_over_all_instances():
    chosen = {
        name
        for key in range(40)
        for name in choose_index_instances(str(key), INSTANCES)
    }
    assert chosen == set(INSTANCES)


def test_record_is_found_without_its_copy_once_that_is_gone():
    index = StreamIndex(StreamRetention())
    index.record("abc", RECORD, 100.0)
    assert find(index, "abc", 101.0) == RECORD
    assert find(index, "other", 101.0) is None
    index.drop_copy(make_key("abc"))
    assert find(index, "abc", 102.0) == RECORD._replace(copy=None)
    assert find(index, "abc", 130.1) is None


def test_expired_and_excess_entries_are_evicted():
    index = StreamIndex(StreamRetention())
    index.record("old", RECORD, 100.0)
    assert find(index, "old", 130.1) is None
    for number in range(MAX_INDEX_ENTRIES + 5):
        index.record(str(number), RECORD, 131.0)
    assert len(index) == MAX_INDEX_ENTRIES
    assert find(index, "0", 131.0) is None
    assert find(index, str(MAX_INDEX_ENTRIES), 131.0) == RECORD


def test_stored_records_are_added_in_order_and_replace_none():
    index = StreamIndex(StreamRetention())
    newer = RECORD._replace(version="v2")
    index.record("a", newer, 100.0)
    ages_s = {"a": 9.0, "b": 5.0, "c": 40.0}
    stored = {make_key(key): (age_s, RECORD) for key, age_s in ages_s.items()}
    index.add_stored(stored, 101.0)
    assert find(index, "a", 101.0) == newer
    assert find(index, "b", 101.0) == RECORD
    assert find(index, "c", 101.0) is None
    for number in range(MAX_INDEX_ENTRIES - 1):
        index.record(str(number), RECORD, 102.0)
    assert find(index, "a", 102.0) == newer  # the oldest is evicted first
    assert find(index, "b", 102.0) is None


def test_unstored_entries_are_listed_until_they_expire():
    index = StreamIndex(StreamRetention())
    for number in range(3):
        index.record(str(number), RECORD, 100.0 + number)
    index.add_stored({make_key(each): (5.0, RECORD) for each in "s1"}, 103.0)
    assert list_unstored(index, 103.0) == ["0", "1", "2"]
    assert list_unstored(index, 130.5) == ["1", "2"]
    index.record("s", RECORD, 131.0)
    assert list_unstored(index, 131.0) == ["1", "2", "s"]
