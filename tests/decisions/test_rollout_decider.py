from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import (
    RolloutState,
    VersionQuality,
    decide_stage,
)

from tests.decisions.rollout_views import (
    LIMITS,
    ORDER,
    PlayedRollout,
    make_stage,
    make_verdict,
    make_view,
)

SOUND, BAD = VersionQuality.SOUND, VersionQuality.BAD
UNDECIDED = VersionQuality.UNDECIDED


def decide(now, **changes):
    return decide_stage(make_view(**changes), LIMITS, decider="n1", now=now)


def judge_sound(since_s):
    return SOUND if since_s > 3.0 else UNDECIDED


def test_sound_version_is_completed_within_its_time():
    for rate in (2.0, 90.0, 1000.0):
        for duration_s in (8.0, 12.0, 60.0):
            played = PlayedRollout(rate=rate, judge=judge_sound, duration_s=duration_s)
            played.play()
            assert played.stages[-1].state is RolloutState.COMPLETED
            assert played.ended_s <= duration_s + 0.01


def test_exposure_counts_more_than_a_short_time_limit():
    # All requests may go to the new version for half a second before the limit.
    played = PlayedRollout(rate=90.0, judge=judge_sound, duration_s=6.0).play()
    assert played.stages[-1].state is RolloutState.COMPLETED
    assert played.stages[-1].started_at_s <= played.order.limit_s + 0.2


def test_version_never_judged_stays_within_its_exposure_and_is_reverted():
    for rate in (0.5, 5.0, 90.0, 2000.0):
        played = PlayedRollout(rate=rate, judge=lambda _: UNDECIDED).play()
        assert played.stages[-1].state is RolloutState.REVERTED
        assert played.ended_s <= 12.0
        assert played.exposed <= 0.6 * LIMITS.compute_allowed(played.requests)


def test_version_bad_under_load_stays_within_its_exposure():
    # All of the requests are needed to show it, just before the limit.
    for rate in (5.0, 90.0, 2000.0):
        played = PlayedRollout(
            rate=rate, judge=lambda s: BAD if s > 11.9 else judge_sound(s), drain_s=60
        ).play()
        assert played.stages[-2].share == 1.0
        assert played.stages[-1].state is RolloutState.REVERTED
        assert played.exposed <= LIMITS.compute_allowed(played.requests)


def test_version_that_turns_bad_late_is_reverted():
    played = PlayedRollout(
        rate=90.0, judge=lambda s: BAD if s > 10.0 else judge_sound(s)
    ).play()
    assert [each.state for each in played.stages][-1] is RolloutState.REVERTED
    assert all(each.share < 0.5 for each in played.stages)


def test_few_requests_raise_the_share():
    played = PlayedRollout(rate=2.0, judge=judge_sound).play()
    shares = [each.share for each in played.stages if each.share < 1.0]
    assert max(shares) > 0.3


def test_a_stage_is_renewed_seldom():
    played = PlayedRollout(rate=90.0, judge=judge_sound).play()
    assert played.writes <= 14


def test_requests_at_old_servers_end_before_the_completion():
    played = PlayedRollout(
        rate=30.0, judge=judge_sound, drain_s=20.0, longest_s=25.0
    ).play()
    assert played.stages[-1].state is RolloutState.COMPLETED
    assert played.ended_s >= 20.0


def test_handover_waits_while_the_news_of_an_instance_is_missing():
    stage = make_stage(share=1.0, started_at_s=111.0, valid_until_s=113.5)
    verdict = make_verdict(SOUND)
    decided = decide(112.0, stage=stage, verdict=verdict, active=None)
    assert decided is None
    decided = decide(112.0, stage=stage, verdict=verdict, active=0)
    assert decided.state is RolloutState.COMPLETED


def test_lapsed_stage_is_only_renewed():
    stage = make_stage(share=1.0, started_at_s=105.0)
    decided = decide(120.0, stage=stage, verdict=make_verdict(SOUND), active=0)
    assert decided == stage._replace(valid_until_s=122.5)


def test_stage_of_another_decider_is_only_renewed():
    stage = make_stage(share=1.0, started_at_s=99.0, decider="n2")
    decided = decide(101.0, stage=stage, verdict=make_verdict(SOUND), active=0)
    assert decided.state is RolloutState.IN_PROGRESS
    assert (decided.decider, decided.number) == ("n1", stage.number)


def test_version_without_servers_is_reverted_at_the_limit():
    played = PlayedRollout(rate=90.0, judge=lambda _: UNDECIDED, has_new=False)
    played.play()
    assert played.stages[-1].state is RolloutState.REVERTED
    assert "no server" in played.stages[-1].reason
    assert 11.0 < played.ended_s <= 12.0


def test_servers_of_the_new_version_gone_in_the_handover():
    stage = make_stage(share=1.0, started_at_s=101.0)
    decided = decide(101.5, stage=stage, has_new=False, active=0)
    assert decided.state is RolloutState.REVERTED


def test_order_taken_back_is_reverted():
    decided = decide(101.0, is_withdrawn=True)
    assert (decided.state, decided.share) == (RolloutState.REVERTED, 0.0)
    assert decide(101.0, stage=None, is_withdrawn=True) is None


def test_second_order_supersedes_the_first():
    second = ORDER._replace(order_id="1.30", version="v3")
    decided = decide(103.0, order=second)
    assert (decided.order, decided.number) == (second, 1)
    assert decided.state is RolloutState.IN_PROGRESS
    assert "v2" in decided.reason


def test_same_version_ordered_again_after_a_revert_is_observed_again():
    reverted = make_stage(state=RolloutState.REVERTED, number=3)
    again = ORDER._replace(order_id="1.40", ordered_at_s=130.0)
    decided = decide(130.1, order=again, stage=reverted)
    assert (decided.state, decided.number) == (RolloutState.IN_PROGRESS, 1)
    assert decide(130.1, stage=reverted) is None


def test_service_without_other_versions_is_completed_at_once():
    stage = make_stage(old_versions=())
    decided = decide(100.5, stage=stage, old_versions=(), has_old=False)
    assert decided.state is RolloutState.COMPLETED
