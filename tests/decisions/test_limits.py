from __future__ import annotations

from ebonyhaven_decisions import ConcurrencyLimit, RetryBudget
from hypothesis import given
from hypothesis import strategies as st


def test_limit_converges_to_the_batch_size_that_meets_the_target():
    limit = ConcurrencyLimit()
    limit.record_capacity(32)
    for _ in range(100):
        running = int(limit.slots)
        limit.record_pace(
            running=running, pace_ms=20.0 + 2.0 * running, gap_limit_ms=60, capacity=32
        )
    assert 17 <= limit.slots <= 22


def test_limit_is_unchanged_while_the_batch_is_not_busy():
    limit = ConcurrencyLimit()
    limit.record_capacity(16)
    limit.record_pace(running=2, pace_ms=10.0, gap_limit_ms=60.0, capacity=16)
    assert limit.slots == 16


@given(st.lists(st.tuples(st.integers(0, 64), st.floats(0, 1e4)), max_size=50))
def test_limit_stays_between_one_and_capacity(samples):
    limit = ConcurrencyLimit()
    limit.record_capacity(16)
    for running, pace_ms in samples:
        limit.record_pace(
            running=running, pace_ms=pace_ms, gap_limit_ms=60.0, capacity=16
        )
        assert 1.0 <= limit.slots <= 16.0


@given(st.lists(st.booleans(), min_size=200, max_size=400))
def test_retries_are_limited_to_a_tenth_of_the_first_attempts(retry_flags):
    budget = RetryBudget()
    for is_retry in retry_flags:
        if is_retry:
            budget.acquire_retry("look-up", "studio-a")
        else:
            budget.record_first_attempt("look-up", "studio-a")
    assert budget.retries <= 0.1 * budget.attempts + 1.0 + 1e-6


def test_workspaces_have_separate_retry_budgets():
    budget = RetryBudget()
    while budget.acquire_retry("look-up", "studio-a"):
        pass
    assert budget.acquire_retry("look-up", "studio-b")
