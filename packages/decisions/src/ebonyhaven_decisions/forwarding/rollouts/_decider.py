"""Which stage of a roll-out comes next."""

from __future__ import annotations

import math
from typing import NamedTuple

from ebonyhaven_decisions.forwarding.rollouts._exposure import ExposureLimits
from ebonyhaven_decisions.forwarding.rollouts._stages import (
    RolloutOrder,
    RolloutStage,
    RolloutState,
)
from ebonyhaven_decisions.forwarding.rollouts._verdicts import (
    VersionQuality,
    VersionVerdict,
)

MAX_VALIDITY_S = 2.5  # of a stage, so that a lost decider ends the exposure soon
RENEWAL_PART = 0.4  # of the validity that is left when a stage is renewed
COMMIT_S = 0.3  # for the last write before the time limit
FIRST_PART = 0.8  # of the allowed share, until the rate of requests is known
OBSERVED_PART = 0.4  # of the exposure at most; the rest is for the hand-over
OBSERVED_REQUESTS = 60.0  # at least, unless that is more than the part
HANDOVER_ROOM_S = 1.0  # for which the rest should last
TOTAL_PART = 0.9  # of the exposure, as counts of other instances come late
MAX_OBSERVED_SHARE = 0.5  # the versions are compared over the same span
HANDOVER_S = 1.8  # until short requests have ended and all instances have said so
MAX_HANDOVER_PART = 0.5  # of the time from the order to its limit
SETTLING_S = 0.4  # until the stage of a hand-over has reached all instances
NEWS_LAG_S = 1.0  # age of the counts of other instances
RAISE_AFTER_S = 2.0  # before, the rate of requests isn't known
MIN_RATE = 4.0  # requests per second, as few may become many
SHARE_STEP = 1.5  # least factor between the shares of two stages


class RolloutView(NamedTuple):
    """What is known of a roll-out when its next stage is decided.

    Parameters
    ----------
    order : RolloutOrder
    stage : RolloutStage or None
        Newest known one of the service, maybe of an earlier order.
    verdict : VersionVerdict
    active : int or None
        Requests in flight at servers of the old versions; None if unknown.
    old_versions : tuple of str
        Versions of ready servers that may serve, without the new one.
    has_old, has_new : bool
        Whether servers of other versions, and of the new one, are ready.
    longest_s : float
        Longest time that a request of the service may take, seconds.
    is_withdrawn : bool
        Whether the order was taken back.
    """

    order: RolloutOrder
    stage: RolloutStage | None
    verdict: VersionVerdict
    active: int | None
    old_versions: tuple[str, ...]
    has_old: bool
    has_new: bool
    longest_s: float
    is_withdrawn: bool = False


def compute_validity_s(limits: ExposureLimits) -> float:
    """Return for how long a stage holds unless it is renewed, seconds.

    Parameters
    ----------
    limits : ExposureLimits
    """
    return min(MAX_VALIDITY_S, limits.rollback_s / 2)


def decide_stage(
    view: RolloutView, limits: ExposureLimits, *, decider: str, now: float
) -> RolloutStage | None:
    """Return the stage to write next, or None if the present one goes on.

    Parameters
    ----------
    view : RolloutView
    limits : ExposureLimits
    decider : str
        Name of the instance that decides.
    now : float
        Seconds of the store's clock.
    """
    stage = view.stage
    if stage is None or not stage.order.is_same(view.order):
        return _begin(view, limits, decider, now)
    if stage.state is not RolloutState.IN_PROGRESS:
        return None
    writer = _StageWriter(stage, limits, decider, now)
    reason = _find_revert_reason(view, stage, now)
    if reason:
        return writer.end(RolloutState.REVERTED, reason)
    if now >= stage.valid_until_s or stage.decider != decider:
        return writer.renew()  # act on news only while the stage is one's own
    advance = _finish if is_handover(stage) else _observe
    return advance(view, stage, writer, now) or writer.renew_if_due()


def is_handover(stage: RolloutStage) -> bool:
    """Return whether all new requests of a service go to the new version.

    Parameters
    ----------
    stage : RolloutStage
    """
    return stage.state is RolloutState.IN_PROGRESS and stage.share >= 1.0


def compute_handover_at(view: RolloutView, limits: ExposureLimits, now: float) -> float:
    """Return when all new requests should go to the new version, if it is sound.

    It is as late as the requests at the old servers permit, since a version may turn
    bad late, and never so early that one that is bad under load would get more than
    it may.

    Parameters
    ----------
    view : RolloutView
    limits : ExposureLimits
    now : float
        Seconds of the store's clock.

    Returns
    -------
    float
        Seconds of the store's clock.
    """
    order, verdict = view.order, view.verdict
    rate = _estimate_rate(view, now)
    allowed = TOTAL_PART * limits.compute_allowed(rate * order.duration_s)
    allowed_s = max(0.0, allowed - verdict.exposed) / rate
    needed_s = min(max(HANDOVER_S, view.longest_s), allowed_s)
    return order.limit_s - min(needed_s, order.duration_s * MAX_HANDOVER_PART)


def _begin(
    view: RolloutView, limits: ExposureLimits, decider: str, now: float
) -> RolloutStage | None:
    order, earlier = view.order, view.stage
    if view.is_withdrawn:
        return None
    reason = "ordered"
    if earlier is not None and earlier.state is RolloutState.IN_PROGRESS:
        reason = f"ordered; the order of {earlier.order.version} is superseded"
    return RolloutStage(
        order=order,
        state=RolloutState.IN_PROGRESS,
        number=1,
        share=min(MAX_OBSERVED_SHARE, FIRST_PART * limits.share),
        started_at_s=now,
        valid_until_s=now + compute_validity_s(limits),
        decider=decider,
        reason=reason,
        old_versions=view.old_versions,
    )


def _find_revert_reason(
    view: RolloutView, stage: RolloutStage, now: float
) -> str | None:
    verdict = view.verdict
    if view.is_withdrawn:
        return "the order was taken back"
    if verdict.quality is VersionQuality.BAD:
        return verdict.reason
    if is_handover(stage):
        return None if view.has_new else "no server of the new version is left"
    return _find_limit_reason(view, now)


def _find_limit_reason(view: RolloutView, now: float) -> str | None:
    """Return why a version under observation is given up at the time limit."""
    if now < view.order.limit_s - COMMIT_S:
        return None
    if not view.has_new:
        return "no server of the new version by the time limit"
    if view.verdict.quality is VersionQuality.SOUND and now < view.order.limit_s:
        return None
    return f"undecided at the time limit: {view.verdict.reason}"


def _observe(
    view: RolloutView, stage: RolloutStage, writer: _StageWriter, now: float
) -> RolloutStage | None:
    """Return the hand-over once it is due, or another share."""
    if not view.has_old and view.has_new and not stage.old_versions:
        return writer.end(RolloutState.COMPLETED, "no server of another version")
    is_sound = view.verdict.quality is VersionQuality.SOUND
    if is_sound and now >= compute_handover_at(view, writer.limits, now):
        return writer.move(1.0, view.verdict.reason)
    share = _choose_share(view, stage, writer.limits, now)
    if share is None:
        return None
    return writer.move(share, _describe_counts(view.verdict))


def _finish(
    view: RolloutView, stage: RolloutStage, writer: _StageWriter, now: float
) -> RolloutStage | None:
    """Return the end of a hand-over once nothing runs at the old servers.

    What callers wait for there counts more than the time limit.
    """
    age_s = now - stage.started_at_s
    if age_s < SETTLING_S:
        return None
    if view.active == 0:
        reason = f"nothing runs at the old servers after {age_s:.1f} s"
        return writer.end(RolloutState.COMPLETED, reason)
    if age_s > max(HANDOVER_S, view.longest_s) + MAX_VALIDITY_S:
        reason = f"requests at the old servers have timed out after {age_s:.1f} s"
        return writer.end(RolloutState.COMPLETED, reason)
    return None


def _choose_share(
    view: RolloutView, stage: RolloutStage, limits: ExposureLimits, now: float
) -> float | None:
    """Return another share if the present one is far from what is allowed."""
    verdict, order = view.verdict, view.order
    rate = _estimate_rate(view, now)
    allowed = _compute_observed(limits.compute_allowed(rate * order.duration_s), rate)
    left_s = compute_handover_at(view, limits, now) - now
    if left_s <= NEWS_LAG_S:
        return None
    share = (allowed - verdict.exposed) / (rate * left_s)
    share = min(MAX_OBSERVED_SHARE, max(0.0, share))
    if share <= stage.share / SHARE_STEP and stage.share > 0.0:
        return share
    is_known = now - order.ordered_at_s >= RAISE_AFTER_S and view.has_new
    is_settled = now - stage.started_at_s >= NEWS_LAG_S
    if is_known and is_settled and share >= max(stage.share, 0.01) * SHARE_STEP:
        return share
    return None


def _compute_observed(allowed: float, rate: float) -> float:
    """Return how much of the allowed exposure is for the time before the hand-over."""
    spared = TOTAL_PART * allowed - rate * HANDOVER_ROOM_S
    return min(OBSERVED_PART * allowed, max(OBSERVED_REQUESTS, spared))


def _estimate_rate(view: RolloutView, now: float) -> float:
    """Return the requests per second of a service, rather too many than too few."""
    elapsed_s = max(NEWS_LAG_S, now - view.order.ordered_at_s - NEWS_LAG_S)
    return max(MIN_RATE, view.verdict.requests / elapsed_s)


def _describe_counts(verdict: VersionVerdict) -> str:
    return (
        f"{verdict.exposed} of {verdict.requests} requests, "
        f"{verdict.bad_answers} of {verdict.answers} answers bad"
    )


class _StageWriter:
    """Derives the stages that may follow a present one."""

    __slots__ = ("_decider", "_now", "_stage", "limits")

    def __init__(
        self, stage: RolloutStage, limits: ExposureLimits, decider: str, now: float
    ):
        self._stage = stage
        self.limits = limits
        self._decider = decider
        self._now = now

    def end(self, state: RolloutState, reason: str) -> RolloutStage:
        share = 1.0 if state is RolloutState.COMPLETED else 0.0
        return self._follow(state, share, reason, valid_until_s=self._now)

    def move(self, share: float, reason: str) -> RolloutStage:
        valid_until_s = self._now + compute_validity_s(self.limits)
        return self._follow(
            RolloutState.IN_PROGRESS, share, reason, valid_until_s=valid_until_s
        )

    def renew(self) -> RolloutStage:
        return self._stage._replace(
            valid_until_s=self._now + compute_validity_s(self.limits),
            decider=self._decider,
        )

    def renew_if_due(self) -> RolloutStage | None:
        left_s = self._stage.valid_until_s - self._now
        is_due = left_s < RENEWAL_PART * compute_validity_s(self.limits)
        return self.renew() if is_due and not math.isinf(left_s) else None

    def _follow(
        self, state: RolloutState, share: float, reason: str, *, valid_until_s: float
    ) -> RolloutStage:
        return self._stage._replace(
            state=state,
            number=self._stage.number + 1,
            share=share,
            started_at_s=self._now,
            valid_until_s=valid_until_s,
            decider=self._decider,
            reason=reason,
        )
