"""Straight lines through measured points."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple


class Point(NamedTuple):
    """One measurement: a size and what was measured at it."""

    size: float
    value: float


class Fit(NamedTuple):
    """A line, and the standard error of its slope in percent of the slope."""

    slope: float
    intercept: float
    error_percent: float


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through points of at least two sizes.

    Parameters
    ----------
    points : sequence of Point

    Returns
    -------
    Fit
    """
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    residual = sum((value - intercept - slope * size) ** 2 for size, value in points)
    freedom = max(1, len(points) - 2)
    error = math.sqrt(residual / freedom / spread)
    return Fit(slope, intercept, _compute_error_percent(error, slope))


def fit_mean(points: Sequence[Point]) -> Fit:
    """Return the mean of repeated values as intercept, with slope 0.

    Parameters
    ----------
    points : sequence of Point
        Repetitions at one size.

    Returns
    -------
    Fit
        Its error is half the range of the values in percent of the mean.
    """
    values = [point.value for point in points]
    mean = statistics.fmean(values)
    return Fit(0.0, mean, _compute_error_percent((max(values) - min(values)) / 2, mean))


def _compute_error_percent(error: float, value: float) -> float:
    return 100.0 * error / abs(value) if value else 0.0
