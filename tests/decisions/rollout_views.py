"""Views of roll-outs for tests of what is decided."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding.rollouts import (
    ExposureLimits,
    RolloutOrder,
    RolloutStage,
    RolloutState,
    RolloutView,
    VersionQuality,
    VersionVerdict,
    decide_stage,
)

LIMITS = ExposureLimits(share=0.1, slack=50.0, rollback_s=5.0)
ORDER = RolloutOrder("1.17", "plain", "v2", 12.0, 100.0)


def make_stage(**changes):
    stage = RolloutStage(
        order=ORDER,
        state=RolloutState.IN_PROGRESS,
        number=1,
        share=0.04,
        started_at_s=100.0,
        valid_until_s=102.5,
        decider="n1",
        reason="ordered",
        old_versions=("v1",),
    )
    return stage._replace(**changes)


def make_verdict(quality=VersionQuality.UNDECIDED, requests=0, exposed=0, bad=0):
    return VersionVerdict(quality, exposed, bad, requests, exposed, "figures")


def make_view(**changes):
    view = RolloutView(
        order=ORDER,
        stage=make_stage(),
        verdict=make_verdict(),
        active=None,
        old_versions=("v1",),
        has_old=True,
        has_new=True,
        longest_s=0.0,
    )
    return view._replace(**changes)


class PlayedRollout:
    """Plays a roll-out with a decider that always succeeds with its writes.

    Parameters
    ----------
    rate : float
        Requests per second.
    judge : callable
        Returns the quality at a time since the order, seconds.
    drain_s : float
        Time that requests at the old servers take to end.
    """

    def __init__(self, *, rate, judge, drain_s=0.5, duration_s=12.0, **changes):
        self.order = ORDER._replace(duration_s=duration_s)
        self.stages = []
        self.writes = 0
        self.requests = self.exposed = 0.0
        self._rate, self._judge, self._drain_s = rate, judge, drain_s
        self._changes = changes

    def play(self, seconds=60.0, step_s=0.1):
        now, stage = self.order.ordered_at_s, None
        while now < self.order.ordered_at_s + seconds:
            decided = decide_stage(
                self._make_view(stage, now), LIMITS, decider="n1", now=now
            )
            if decided is not None:
                self.writes += 1
                if stage is None or decided.number != stage.number:
                    self.stages.append(decided)
                stage = decided
            if stage.state is not RolloutState.IN_PROGRESS:
                break
            self.requests += self._rate * step_s
            self.exposed += self._rate * step_s * stage.share
            now += step_s
        self.ended_s = now - self.order.ordered_at_s
        return self

    def _make_view(self, stage, now):
        since_s = now - self.order.ordered_at_s
        verdict = make_verdict(
            self._judge(since_s), int(self.requests), int(self.exposed)
        )
        is_handover = stage is not None and stage.share >= 1.0
        is_drained = is_handover and now - stage.started_at_s >= self._drain_s
        return make_view(
            order=self.order,
            stage=stage,
            verdict=verdict,
            active=0 if is_drained else 3,
            **self._changes,
        )
