"""Figures of a load scenario from what its callers saw."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_standins.bench._open_loop import COMPLETED, LoadRecord

TARGET_SHARE = 0.95
RECOVERY_STEP_S = 1.0


class Limits(NamedTuple):
    """Targets of a class as its callers see them, seconds."""

    first_token_s: float
    gap_s: float


class Window(NamedTuple):
    """Part of a run, seconds after its start."""

    begin_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Length of the window, seconds."""
        return self.end_s - self.begin_s


def find_quantile(values: Iterable[float], share: float) -> float | None:
    """Return the value under which a share of the values lies, or None."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def select(
    records: Iterable[LoadRecord],
    window: Window,
    *,
    class_name: str | None = None,
    workspace: str | None = None,
) -> list[LoadRecord]:
    """Return the requests that arrived in a window."""
    return [
        record
        for record in records
        if window.begin_s <= record["at_s"] < window.end_s
        and class_name in (None, record["class_name"])
        and workspace in (None, record["workspace"])
    ]


def measure_first_token_s(records: Iterable[LoadRecord], share: float) -> float | None:
    """Return a quantile of the time from arrival to first token, seconds.

    Refused requests are left out; `measure_share_in_target` counts them.
    """
    waits = [
        record["first_token_s"] - record["at_s"]
        for record in records
        if record["first_token_s"] is not None
    ]
    found = find_quantile(waits, share)
    return None if found is None else round(found, 4)


def is_in_target(record: LoadRecord, limits: Mapping[str, Limits]) -> bool:
    """Return whether a request was answered whole and in time."""
    if record["outcome"] != COMPLETED or record["first_token_s"] is None:
        return False
    limit = limits[record["class_name"]]
    if record["first_token_s"] - record["at_s"] > limit.first_token_s:
        return False
    if record["tokens"] < 2 or record["ended_s"] is None:
        return True
    streamed_s = record["ended_s"] - record["first_token_s"]
    return streamed_s / (record["tokens"] - 1) <= limit.gap_s


def measure_share_in_target(
    records: Sequence[LoadRecord], limits: Mapping[str, Limits]
) -> float | None:
    """Return the share of the requests answered whole and in time."""
    if not records:
        return None
    kept = sum(is_in_target(record, limits) for record in records)
    return round(kept / len(records), 4)


def measure_goodput(
    records: Iterable[LoadRecord], limits: Mapping[str, Limits], window: Window
) -> float:
    """Return the tokens a second, in a window, of requests in target."""
    tokens = sum(
        _count_tokens(record, window)
        for record in records
        if is_in_target(record, limits)
    )
    return round(tokens / window.length_s, 1)


def measure_service(
    records: Iterable[LoadRecord], window: Window, names: Iterable[str]
) -> dict[str, int]:
    """Return the tokens that each workspace received in a window."""
    served = dict.fromkeys(names, 0)
    for record in records:
        if record["workspace"] in served:
            served[record["workspace"]] += _count_tokens(record, window)
    return served


def compute_jain(values: Sequence[float]) -> float | None:
    """Return Jain's index of the values; 1 when they are equal."""
    squares = sum(value**2 for value in values)
    if not squares:
        return None
    return round(sum(values) ** 2 / (len(values) * squares), 4)


def find_backlogged(demands: Mapping[str, float], capacity: float) -> list[str]:
    """Return those whose demand is over their max-min fair share.

    Parameters
    ----------
    demands : mapping of str to float
        In the unit of `capacity`.
    capacity : float
    """
    left = capacity
    waiting = sorted(demands, key=demands.__getitem__)
    while waiting and demands[waiting[0]] <= left / len(waiting):
        left -= demands[waiting.pop(0)]
    return waiting


def measure_recovery_s(
    records: Sequence[LoadRecord],
    limits: Mapping[str, Limits],
    *,
    fault_s: float,
    end_s: float,
) -> float | None:
    """Return how long after a fault arrivals stay in target again, seconds.

    The end of the last step of `RECOVERY_STEP_S` in which fewer than
    `TARGET_SHARE` of the arrivals were in target; None when that never ended.
    """
    recovered_s = 0.0
    begin_s = fault_s
    while begin_s < end_s:
        window = Window(begin_s, begin_s + RECOVERY_STEP_S)
        share = measure_share_in_target(select(records, window), limits)
        if share is not None and share < TARGET_SHARE:
            recovered_s = window.end_s - fault_s
        begin_s += RECOVERY_STEP_S
    return recovered_s if fault_s + recovered_s < end_s else None


def merge_medians(
    results: Sequence[Mapping[str, object]],
    combine: Callable[[Iterable[float]], float] = statistics.median,
) -> dict[str, object]:
    """Return the median of each figure over several seeds."""
    merged: dict[str, object] = {}
    for key in results[0]:
        values = [result[key] for result in results if result[key] is not None]
        numeric = all(isinstance(value, int | float) for value in values)
        merged[key] = combine(values) if values and numeric else results[0][key]
    return merged


def _count_tokens(record: LoadRecord, window: Window) -> int:
    return sum(
        count
        for at_s, count in record["token_times"]
        if window.begin_s <= at_s < window.end_s
    )
