from __future__ import annotations

from ebonyhaven_node._byte_budgets import ByteBudget


def test_shares_together_stay_within_the_budget():
    budget = ByteBudget(10)
    first, second = budget.open_share(), budget.open_share()
    assert first.grow(6)
    assert not second.grow(5)
    assert second.grow(4)
    assert budget.used_bytes == 10
    first.close()
    first.close()
    assert budget.used_bytes == 4
    assert second.grow(6)


def test_share_that_does_not_fit_keeps_what_it_had():
    budget = ByteBudget(10)
    share = budget.open_share()
    assert share.grow(9)
    assert not share.grow(2)
    assert share.size_bytes == 9
