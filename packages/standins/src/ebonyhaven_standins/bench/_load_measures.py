"""Figures of a load scenario, computed from the records of its callers."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_standins.bench._open_loop import COMPLETED, LoadRecord

RECOVERED_IN_TARGET_SHARE = 0.95
RECOVERY_STEP_S = 1.0


class LatencyTargets(NamedTuple):
    """Latency targets of a request class as measured by callers, seconds."""

    first_token_s: float
    gap_s: float


class Window(NamedTuple):
    """Time interval of a run, seconds after its start; excludes `end_s`."""

    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Length of the window, seconds."""
        return self.end_s - self.begin_s


def compute_quantile(values: Iterable[float], level: float) -> float | None:
    """Return the quantile at a level from 0 to 1; None if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(int(level * len(ordered)), len(ordered) - 1)]


def select_records(
    records: Iterable[LoadRecord],
    window: Window,
    *,
    class_name: str | None = None,
    workspace: str | None = None,
) -> list[LoadRecord]:
    """Return the records of requests that arrived in a window.

    A class name or workspace other than None restricts them further.
    """
    return [
        record
        for record in records
        if window.begin_s <= record["at_s"] < window.end_s
        and class_name in (None, record["class_name"])
        and workspace in (None, record["workspace"])
    ]


def measure_first_token_s(records: Iterable[LoadRecord], level: float) -> float | None:
    """Return a quantile of the time from arrival to first token, seconds.

    Excludes requests without a token; `compute_in_target_share` includes them.
    """
    latencies_s = [
        record["first_token_s"] - record["at_s"]
        for record in records
        if record["first_token_s"] is not None
    ]
    quantile_s = compute_quantile(latencies_s, level)
    return None if quantile_s is None else round(quantile_s, 4)


def is_in_target(
    record: LoadRecord, targets_by_class: Mapping[str, LatencyTargets]
) -> bool:
    """Return whether a request completed within both latency targets of its class.

    The target of the token gap applies to the mean gap of the answer.
    """
    if record["outcome"] != COMPLETED or record["first_token_s"] is None:
        return False
    targets = targets_by_class[record["class_name"]]
    if record["first_token_s"] - record["at_s"] > targets.first_token_s:
        return False
    if record["tokens"] < 2 or record["ended_s"] is None:
        return True
    streamed_s = record["ended_s"] - record["first_token_s"]
    return streamed_s / (record["tokens"] - 1) <= targets.gap_s


def compute_in_target_share(
    records: Sequence[LoadRecord], targets_by_class: Mapping[str, LatencyTargets]
) -> float | None:
    """Return the share of requests that completed within their latency targets."""
    if not records:
        return None
    in_target_count = sum(is_in_target(record, targets_by_class) for record in records)
    return round(in_target_count / len(records), 4)


def measure_goodput(
    records: Iterable[LoadRecord],
    targets_by_class: Mapping[str, LatencyTargets],
    window: Window,
) -> float:
    """Return the tokens per second in a window, counting only requests in target."""
    tokens = sum(
        _count_window_tokens(record, window)
        for record in records
        if is_in_target(record, targets_by_class)
    )
    return round(tokens / window.length_s, 1)


def measure_served_tokens(
    records: Iterable[LoadRecord], window: Window, names: Iterable[str]
) -> dict[str, int]:
    """Return the number of tokens that each named workspace received in a window."""
    served = dict.fromkeys(names, 0)
    for record in records:
        if record["workspace"] in served:
            served[record["workspace"]] += _count_window_tokens(record, window)
    return served


def compute_jain_index(values: Sequence[float]) -> float | None:
    """Return Jain's fairness index: 1 if all values are equal; None if all are 0."""
    squares = sum(value**2 for value in values)
    if not squares:
        return None
    return round(sum(values) ** 2 / (len(values) * squares), 4)


def find_backlogged(demands: Mapping[str, float], capacity: float) -> list[str]:
    """Return the workspaces whose demand exceeds their max-min fair share.

    Parameters
    ----------
    demands : mapping of str to float
        Demand of each workspace, in the unit of `capacity`.
    capacity : float
        Total to be shared.
    """
    remaining = capacity
    unsatisfied = sorted(demands, key=demands.__getitem__)
    while unsatisfied and demands[unsatisfied[0]] <= remaining / len(unsatisfied):
        remaining -= demands[unsatisfied.pop(0)]
    return unsatisfied


def measure_recovery_s(
    records: Sequence[LoadRecord],
    targets_by_class: Mapping[str, LatencyTargets],
    *,
    fault_s: float,
    end_s: float,
) -> float | None:
    """Return the recovery time after a fault, seconds; None without recovery.

    Divides the time after the fault into steps of `RECOVERY_STEP_S`. The recovery
    time ends with the last step in which less than `RECOVERED_IN_TARGET_SHARE` of
    the arrivals were in target. If that step reaches `end_s`, there is no recovery.
    """
    recovered_s = 0.0
    begin_s = fault_s
    while begin_s < end_s:
        window = Window(begin_s, begin_s + RECOVERY_STEP_S)
        share = compute_in_target_share(
            select_records(records, window), targets_by_class
        )
        if share is not None and share < RECOVERED_IN_TARGET_SHARE:
            recovered_s = window.end_s - fault_s
        begin_s += RECOVERY_STEP_S
    return recovered_s if fault_s + recovered_s < end_s else None


def merge_medians(
    results: Sequence[Mapping[str, object]],
    combine: Callable[[Iterable[float]], float] = statistics.median,
) -> dict[str, object]:
    """Return the median of each figure over several seeds.

    Figures that are not numbers are copied from the first result.
    """
    merged: dict[str, object] = {}
    for key in results[0]:
        values = [result[key] for result in results if result[key] is not None]
        numeric = all(isinstance(value, int | float) for value in values)
        merged[key] = combine(values) if values and numeric else results[0][key]
    return merged


def _count_window_tokens(record: LoadRecord, window: Window) -> int:
    return sum(
        count
        for at_s, count in record["token_times"]
        if window.begin_s <= at_s < window.end_s
    )
