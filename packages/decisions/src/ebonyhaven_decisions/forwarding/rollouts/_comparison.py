"""Statistics that compare the answers of two software versions on one route.

Failures and slow answers are compared by Wald's sequential probability ratio test. It
may be asked after each answer: under its assumptions, the chance that a version no
worse than the old one is ever found worse stays below `FALSE_ALARM_CHANCE` a test.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

FALSE_ALARM_CHANCE = 2e-4
MISS_CHANCE = 0.05
ALARM_RATIO = math.log(1.0 / FALSE_ALARM_CHANCE)
SOUND_RATIO = math.log(MISS_CHANCE)
SUSPICIOUS_RATIO = 3.0  # a version that leans to the bad side isn't called sound

PRIOR_ANSWERS = 30.0  # weight of one failure that is assumed at the old version
RATE_TOLERANCE = 1.5
MIN_FAILURE_RATE = 0.02
MIN_SLOW_RATE = 0.05
BAD_RATE_FACTOR = 3.0
BAD_FAILURE_EXCESS = 0.15
BAD_SLOW_EXCESS = 0.3
MAX_RATE = 0.95

FIRST_BUCKET_S = 0.005
BUCKET_FACTOR = 1.5
BUCKETS = 25  # up to 84 s
SLOW_BUCKETS = 2  # above a quantile of the old version; a factor of 1.5 to 2.25
UNLIKE_LOAD_BUCKETS = 2  # in addition, if the old version had less load
MIN_SLOW_BUCKET = 4  # 25 ms; shorter times hang on the instance as much
QUANTILES = (0.5, 0.9)
MIN_COMPARED = 10  # answers of the old version


def choose_bucket(seconds: float) -> int:
    """Return the index of the bucket that holds a time.

    Parameters
    ----------
    seconds : float

    Returns
    -------
    int
        From 0 to `BUCKETS` - 1.
    """
    if seconds <= FIRST_BUCKET_S:
        return 0
    steps = math.ceil(math.log(seconds / FIRST_BUCKET_S) / math.log(BUCKET_FACTOR))
    return min(BUCKETS - 1, steps)


def compute_failure_ratio(
    failures: int, answers: int, *, old_failures: int, old_answers: int
) -> float:
    """Return how much more likely a bad version makes the failures than a good one.

    Parameters
    ----------
    failures, answers : int
        Of the new version.
    old_failures, old_answers : int
        Of the old version.

    Returns
    -------
    float
        Logarithm of the ratio; see `ALARM_RATIO` and `SOUND_RATIO`.
    """
    rate = RATE_TOLERANCE * (old_failures + 1.0) / (old_answers + PRIOR_ANSWERS)
    return _compute_ratio(
        failures, answers, max(MIN_FAILURE_RATE, rate), BAD_FAILURE_EXCESS
    )


def compute_slow_ratio(
    times: Mapping[int, int], old_times: Mapping[int, int], *, is_like_load: bool
) -> tuple[float, int]:
    """Return the same for slow answers, by the counts of times in each bucket.

    Parameters
    ----------
    times, old_times : mapping of int to int
        Of both versions, by bucket.
    is_like_load : bool
        Whether the servers of both versions had about the same load.

    Returns
    -------
    tuple of (float, int)
        Logarithm of the ratio, and the slow answers of the new version; both 0 if
        there are too few answers of the old version.
    """
    old_answers = sum(old_times.values())
    answers = sum(times.values())
    if old_answers < MIN_COMPARED or not answers:
        return 0.0, 0
    offset = SLOW_BUCKETS + (0 if is_like_load else UNLIKE_LOAD_BUCKETS)
    results = []
    for quantile in QUANTILES:
        bucket = find_quantile(old_times, quantile) + offset
        bucket = max(MIN_SLOW_BUCKET, bucket)
        old_slow = _count_from(old_times, bucket)
        rate = RATE_TOLERANCE * (old_slow + 1.0) / (old_answers + PRIOR_ANSWERS)
        rate = max(MIN_SLOW_RATE, rate)
        slow = _count_from(times, bucket)
        ratio = _compute_ratio(slow, answers, rate, BAD_SLOW_EXCESS)
        results.append((ratio, slow))
    return max(results)


def find_quantile(times: Mapping[int, int], quantile: float) -> int:
    """Return the bucket that holds a quantile of the times.

    Parameters
    ----------
    times : mapping of int to int
        Counts by bucket; at least one.
    quantile : float
        From 0 to 1.
    """
    needed = quantile * sum(times.values())
    seen = 0
    for bucket in sorted(times):
        seen += times[bucket]
        if seen >= needed:
            return bucket
    return BUCKETS - 1


def add_counts(*counts: Mapping[int, int]) -> Counter:
    """Return the sum of counts by bucket.

    Parameters
    ----------
    *counts : mapping of int to int
    """
    total: Counter = Counter()
    for each in counts:
        total.update(each)
    return total


def _count_from(times: Mapping[int, int], bucket: int) -> int:
    return sum(count for each, count in times.items() if each >= bucket)


def _compute_ratio(count: int, answers: int, rate: float, excess: float) -> float:
    rate = min(rate, MAX_RATE - 0.05)
    bad_rate = min(MAX_RATE, max(BAD_RATE_FACTOR * rate, rate + excess))
    count = min(count, answers)
    return count * math.log(bad_rate / rate) + (answers - count) * math.log(
        (1.0 - bad_rate) / (1.0 - rate)
    )
