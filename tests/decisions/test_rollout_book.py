from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import (
    RolloutBook,
    RolloutState,
    StoredStage,
    decode_stage,
    encode_stage,
)

from tests.decisions.rollout_views import ORDER, make_stage


def test_restored_store_never_takes_back_a_newer_stage():
    book = RolloutBook()
    newer, older = make_stage(number=3, share=1.0), make_stage(number=1)
    assert book.merge_stage(StoredStage(newer, 40), is_row=True)
    assert not book.merge_stage(StoredStage(older, 20), is_row=True)
    assert book.find_stage("plain") == newer
    assert book.read_row_version("plain") == 20  # the next write succeeds on top


def test_order_is_the_same_in_a_later_era():
    book = RolloutBook()
    book.put_order(ORDER)
    book.put_order(ORDER._replace(order_id="2.17", ordered_at_s=150.0))
    assert book.find_order("plain") == ORDER


def test_order_of_a_later_era_counts_though_its_row_version_is_lower():
    book = RolloutBook()
    book.put_order(ORDER)
    later = ORDER._replace(order_id="2.9", version="v3")
    book.put_order(later)
    book.put_order(ORDER)
    assert book.find_order("plain") == later


def test_instance_that_starts_late_measures_from_the_order():
    book = RolloutBook()
    book.put_order(ORDER._replace(ordered_at_s=108.0))
    book.merge_stage(StoredStage(make_stage(), 5))
    assert book.find_order("plain").limit_s == ORDER.limit_s


def test_withheld_stage_isn_t_given_back_by_news_of_the_same_stage():
    book = RolloutBook()
    book.merge_stage(StoredStage(make_stage(), 5))
    book.withhold("plain")
    assert not book.merge_stage(StoredStage(make_stage(), 5))
    assert book.find_stage("plain").share == 0.0


def test_order_that_is_no_longer_in_the_table_was_taken_back():
    book = RolloutBook()
    book.replace_orders([ORDER])
    book.merge_stage(StoredStage(make_stage(), 5))
    book.replace_orders([])
    assert book.is_withdrawn("plain")
    assert book.list_open() == ["plain"]
    book.merge_stage(StoredStage(make_stage(number=2, state=RolloutState.REVERTED), 6))
    assert book.list_open() == []


def test_stages_are_read_as_written():
    stage = make_stage(old_versions=("v0", "v1"))
    assert decode_stage([*encode_stage(stage), "of a later build"]) == stage


def test_odd_stages_are_refused():
    for values in ([], [1, 2], [["x"], *encode_stage(make_stage())[1:]], {"a": 1}):
        try:
            decode_stage(values)
        except (TypeError, ValueError):
            continue
        raise AssertionError(values)
