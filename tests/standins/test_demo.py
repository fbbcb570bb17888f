from __future__ import annotations

from ebonyhaven_standins.demo import count_unavoidable_unknowns


def make_record(**changes):
    record = {"outcome": "unknown", "repeatable": False, "tokens": []}
    return {**record, **changes}


def test_only_a_request_that_may_not_be_repeated_and_had_no_token_is_undecidable():
    assert count_unavoidable_unknowns([make_record()]) == 1
    assert count_unavoidable_unknowns([make_record(repeatable=True)]) == 0
    assert count_unavoidable_unknowns([make_record(tokens=["a"])]) == 0
    assert count_unavoidable_unknowns([make_record(outcome="failed")]) == 0
    assert count_unavoidable_unknowns([make_record(outcome="completed")]) == 0
