from __future__ import annotations

from ebonyhaven_decisions import ClassTargets, derive_policies
from hypothesis import given
from hypothesis import strategies as st

from tests.decisions.scheduling import POLICIES

targets = st.builds(
    ClassTargets,
    first_token_ms=st.floats(1, 1e5),
    gap_ms=st.floats(1, 1e3),
    resume_ms=st.floats(1, 1e5),
    may_wait_ms=st.floats(0, 1e6),
)


def test_class_with_tighter_target_is_served_first():
    assert POLICIES["look-up"].rank < POLICIES["analysis"].rank
    assert POLICIES["look-up"].engine_priority == 0
    assert POLICIES["look-up"].reserved_share > 0.0
    assert POLICIES["analysis"].reserved_share == 0.0


def test_changing_a_target_changes_the_order():
    tight = ClassTargets(first_token_ms=100, gap_ms=62, resume_ms=1000)
    loose = ClassTargets(first_token_ms=5000, gap_ms=62, resume_ms=1000)
    assert derive_policies({"a": tight, "b": loose})["a"].rank == 0
    assert derive_policies({"a": loose, "b": tight})["a"].rank == 1


@given(st.dictionaries(st.text(min_size=1, max_size=3), targets, max_size=6))
def test_policies_are_ordered_by_first_token_limit(classes):
    policies = derive_policies(classes)
    assert policies.keys() == classes.keys()
    limits = [policy.first_token_limit_s for policy in policies.values()]
    assert limits == sorted(limits)
    assert sum(policy.reserved_share for policy in policies.values()) <= 0.25 + 1e-9
    for policy in policies.values():
        assert policy.queue_limit_s < policy.first_token_limit_s


def test_no_classes_give_no_policies():
    assert derive_policies({}) == {}
