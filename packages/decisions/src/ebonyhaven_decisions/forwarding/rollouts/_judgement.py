"""Verdict on a new software version from the answers of each route."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding.rollouts._answer_counts import (
    TIMES,
    AnswerSummary,
)
from ebonyhaven_decisions.forwarding.rollouts._comparison import (
    ALARM_RATIO,
    MIN_COMPARED,
    SOUND_RATIO,
    SUSPICIOUS_RATIO,
    add_counts,
    compute_failure_ratio,
    compute_slow_ratio,
)
from ebonyhaven_decisions.forwarding.rollouts._verdicts import VersionQuality

# Share of the service's answers that a route has, and the answers of the new version
# that a verdict on it needs: a version that fails 0.4 of its answers shows a failure
# among 7 with a chance of 0.97. Rare routes would outlast roll-outs.
NEEDED_BY_SHARE = ((0.1, 7), (0.03, 4), (0.0, 1))
# Of the answers before an order, from which on a route is one that callers use: the
# operators ask routes that nobody uses, once at each instance.
MIN_EARLIER_SHARE = 0.03
ALL_ROUTES = "all routes"

_EMPTY = AnswerSummary(0, 0, {})
_Answers = Mapping[str, AnswerSummary]


class _Finding(NamedTuple):
    """Result of one test; `ratio` is the logarithm of a likelihood ratio."""

    ratio: float
    bad_answers: int
    reason: str


def judge_answers(
    *,
    new: Sequence[_Answers],
    old: Sequence[_Answers],
    earlier: Mapping[str, int] | None = None,
) -> tuple[VersionQuality, int, int, str]:
    """Judge a new version.

    Parameters
    ----------
    new, old : sequence of mapping of str to AnswerSummary
        Answers by route, since the order and of the last seconds, in this order.
    earlier : mapping of str to int or None
        Answers by route before the order.

    Returns
    -------
    tuple of (VersionQuality, int, int, str)
        Quality, answers and bad ones of the new version, and the reason.
    """
    total, old_total = new[0], old[0]
    answers = sum(each.answers for each in total.values())
    failures = sum(each.failures for each in total.values())
    worst = max(_list_findings(new, old))
    bad_answers = max(failures, worst.bad_answers)
    if worst.ratio >= ALARM_RATIO:
        return VersionQuality.BAD, answers, bad_answers, worst.reason
    missing = _find_missing(total, old_total, earlier or {})
    if missing is not None:
        return VersionQuality.UNDECIDED, answers, bad_answers, missing
    pooled = compute_failure_ratio(
        failures,
        answers,
        old_failures=sum(each.failures for each in old_total.values()),
        old_answers=sum(each.answers for each in old_total.values()),
    )
    if pooled > SOUND_RATIO or worst.ratio > SUSPICIOUS_RATIO:
        return VersionQuality.UNDECIDED, answers, bad_answers, worst.reason
    reason = f"{failures} of {answers} answers failed, none of its routes is slower"
    return VersionQuality.SOUND, answers, bad_answers, reason


def _list_findings(
    new: Sequence[_Answers], old: Sequence[_Answers]
) -> Iterator[_Finding]:
    for span, answers in enumerate(new):
        for route in (*answers, ALL_ROUTES):
            yield _test_failures(route, answers, old, span)
        for route, summary in answers.items():
            yield from _test_times(route, summary, old[0].get(route, _EMPTY))


def _test_failures(
    route: str, answers: _Answers, old: Sequence[_Answers], span: int
) -> _Finding:
    failed, answered = _count(answers, route)
    ratios = []
    for each in old[: span + 1]:  # a fault of the moment strikes the old version too
        old_failed, old_answered = _count(each, route)
        ratios.append(
            compute_failure_ratio(
                failed, answered, old_failures=old_failed, old_answers=old_answered
            )
        )
    old_failed, old_answered = _count(old[0], route)
    text = (
        f"{failed} of {answered} answers failed on {route}, "
        f"{old_failed} of {old_answered} before"
    )
    return _Finding(min(ratios), failed, text)


def _test_times(
    route: str, summary: AnswerSummary, old: AnswerSummary
) -> Iterator[_Finding]:
    for kind in TIMES:
        for is_loaded in (False, True):
            times = summary.times.get((kind, is_loaded))
            if not times:
                continue
            like: Mapping[int, int] = old.times.get((kind, is_loaded), Counter())
            is_like_load = sum(like.values()) >= MIN_COMPARED
            if not is_like_load:
                other = old.times.get((kind, not is_loaded), Counter())
                like = add_counts(like, other)
            ratio, slow = compute_slow_ratio(
                times, like, is_like_load=is_like_load or not is_loaded
            )
            text = f"{slow} of {sum(times.values())} answers slower on {route}"
            yield _Finding(ratio, slow, text)


def _count(answers: _Answers, route: str) -> tuple[int, int]:
    chosen = answers.values() if route == ALL_ROUTES else [answers.get(route, _EMPTY)]
    return (
        sum(each.failures for each in chosen),
        sum(each.answers for each in chosen),
    )


def _find_missing(
    new: _Answers, old: _Answers, earlier: Mapping[str, int]
) -> str | None:
    """Return which route lacks answers of the new version, if one does.

    A route that was used before the order may be used again.
    """
    by_route = Counter({route: each.answers for route, each in old.items()})
    by_route.update({route: each.answers for route, each in new.items()})
    if not by_route.total():
        return "no answers"
    shares = _compute_shares(by_route)
    for route, share in _compute_shares(earlier).items():
        if share >= MIN_EARLIER_SHARE:
            shares[route] = max(share, shares.get(route, 0.0))
    for route, share in shares.items():
        needed = next(answers for least, answers in NEEDED_BY_SHARE if share >= least)
        has = new.get(route, _EMPTY).answers
        if has < needed:
            return f"{has} of {needed} answers on {route}"
    return None


def _compute_shares(counts: Mapping[str, int]) -> dict[str, float]:
    total = sum(counts.values())
    return {route: count / total for route, count in counts.items() if count}
