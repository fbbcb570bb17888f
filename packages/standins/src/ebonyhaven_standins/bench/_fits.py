"""Lines through measurements over sizes."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import TypedDict


class Fit(TypedDict):
    """Least-squares line through measurements.

    ``against`` is ``"size"`` or ``"log2(size)"``; ``r_squared`` is the share of
    the variance that the line explains.
    """

    against: str
    slope: float
    intercept: float
    r_squared: float
    extrapolated: float


def fit_line(
    sizes: Sequence[int], values: Sequence[float], *, target: int, logarithmic: bool
) -> Fit:
    """Fit a line and extrapolate it.

    Parameters
    ----------
    sizes : sequence of int
    values : sequence of float
        One value a size.
    target : int
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
    constant = len(set(values)) == 1
    correlation = 1.0 if constant else statistics.correlation(positions, values)
    return Fit(
        against="log2(size)" if logarithmic else "size",
        slope=slope,
        intercept=intercept,
        r_squared=round(correlation**2, 3),
        extrapolated=intercept + slope * transform(target),
    )
