"""Least-squares fits of measurements at several sizes."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import TypedDict


class Fit(TypedDict):
    """Least-squares line through measurements.

    ``against`` is the independent variable, ``"size"`` or ``"log2(size)"``;
    ``r_squared`` is the share of the variance that the line explains;
    ``extrapolated`` is the value of the line at the target size.
    """

    against: str
    slope: float
    intercept: float
    r_squared: float
    extrapolated: float


def fit_line(
    sizes: Sequence[int],
    values: Sequence[float],
    *,
    target_size: int,
    logarithmic: bool,
) -> Fit:
    """Fit a line to measurements and extrapolate it to a target size.

    Parameters
    ----------
    sizes : sequence of int
    values : sequence of float
        One value per size.
    target_size : int
        Size to extrapolate to.
    logarithmic : bool
        Whether to fit against the binary logarithm of the size.

    Returns
    -------
    Fit
    """
    transform = math.log2 if logarithmic else float
    positions = [transform(size) for size in sizes]
    slope, intercept = statistics.linear_regression(positions, values)
    is_constant = len(set(values)) == 1
    correlation = 1.0 if is_constant else statistics.correlation(positions, values)
    return Fit(
        against="log2(size)" if logarithmic else "size",
        slope=slope,
        intercept=intercept,
        r_squared=round(correlation**2, 3),
        extrapolated=intercept + slope * transform(target_size),
    )
