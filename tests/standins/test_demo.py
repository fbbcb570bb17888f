from __future__ import annotations

from ebonyhaven_standins.demo import count_unavoidable_unknowns


def make_record(**changes):
    record = {"outcome": "unknown", "repeatable": False, "tokens": []}
    return {**record, **changes}


def test_unavoidable_unknown_is_non_repeatable_and_without_tokens():
    assert count_unavoidable_unknowns([make_record()]) == 1
    assert count_unavoidable_unknowns([make_record(repeatable=True)]) == 0
    assert count_unavoidable_unknowns([make_record(tokens=["a"])]) == 0
    assert count_unavoidable_unknowns([make_record(outcome="failed")]) == 0
    assert count_unavoidable_unknowns([make_record(outcome="completed")]) == 0
