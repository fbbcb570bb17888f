"""Least-squares fits and means of measured points."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple


class Point(NamedTuple):
    """One measured value and the size at which it was measured."""

    size: float
    value: float


class Fit(NamedTuple):
    """A straight line.

    ``error_percent`` is the standard error of the slope in percent of the slope. For
    a line from `fit_mean`, it is half the range of the values in percent of the mean.
    """

    slope: float
    intercept: float
    error_percent: float


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through points.

    Parameters
    ----------
    points : sequence of Point
        Points of at least two different sizes.

    Returns
    -------
    Fit
    """
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(sizes)
    squared_deviation = sum((size - mean) ** 2 for size in sizes)
    squared_residual = sum(
        (value - intercept - slope * size) ** 2 for size, value in points
    )
    degrees_of_freedom = max(1, len(points) - 2)
    standard_error = math.sqrt(
        squared_residual / degrees_of_freedom / squared_deviation
    )
    return Fit(slope, intercept, _compute_error_percent(standard_error, slope))


def fit_mean(points: Sequence[Point]) -> Fit:
    """Return a horizontal line at the mean of repeated values.

    Parameters
    ----------
    points : sequence of Point
        Repetitions at one size.

    Returns
    -------
    Fit
        ``intercept`` is the mean, ``slope`` is 0, and ``error_percent`` is half the
        range of the values in percent of the mean.
    """
    values = [point.value for point in points]
    mean = statistics.fmean(values)
    return Fit(0.0, mean, _compute_error_percent((max(values) - min(values)) / 2, mean))


def _compute_error_percent(error: float, value: float) -> float:
    return 100.0 * error / abs(value) if value else 0.0
