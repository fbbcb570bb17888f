from __future__ import annotations

from ebonyhaven_decisions import StreamPace, plan_resume
from hypothesis import given
from hypothesis import strategies as st

targets = st.floats(0.5, 10.0)
gaps = st.floats(0.005, 0.1)


@given(target=targets, gap=gaps, continuation=st.floats(0.01, 0.2))
def test_plan_leaves_time_for_the_continuation(target, gap, continuation):
    plan = plan_resume(
        resume_target_s=target,
        pace=StreamPace(gap_s=gap, deviation_s=gap / 4),
        continuation_s=continuation,
    )
    assert plan.suspect_after_s > gap
    sequential_s = plan.suspect_after_s + plan.probe_timeout_s + continuation
    assert plan.prepare_in_parallel == (sequential_s > target)
    assert plan.suspect_after_s + continuation <= target or target < 4 * gap


def test_tight_target_prepares_in_parallel_and_loose_target_probes_first():
    pace = StreamPace(gap_s=0.03, deviation_s=0.01)
    tight = plan_resume(resume_target_s=0.5, pace=pace, continuation_s=0.3)
    loose = plan_resume(resume_target_s=5.0, pace=pace, continuation_s=0.3)
    assert tight.prepare_in_parallel
    assert not loose.prepare_in_parallel
    assert tight.suspect_after_s < loose.suspect_after_s


def test_pace_converges_when_the_batch_slows_down():
    pace = StreamPace(gap_s=0.02, deviation_s=0.0)
    for _ in range(100):
        pace.record_gap(0.06)
    assert abs(pace.gap_s - 0.06) < 0.001


def test_long_prefill_is_not_suspected():
    plan = plan_resume(
        resume_target_s=1.0,
        pace=StreamPace(),
        continuation_s=0.1,
        first_token_expected_s=2.0,
    )
    assert plan.suspect_after_s >= 2 * 2.0
