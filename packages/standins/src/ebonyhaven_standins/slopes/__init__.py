"""Resource costs per peer, backend server, workspace, stream and token.

Each benchmark measures a cost at several sizes and fits a line. The results are then
extrapolated to the target scale and compared with its limits.
"""

from __future__ import annotations

from ebonyhaven_standins.slopes._benchmarks import (
    BENCHMARKS,
    make_measurements,
    print_points,
    read_points,
    run_benchmarks,
)
from ebonyhaven_standins.slopes._capacity import (
    CAPACITY_LINES,
    CapacityLine,
    render_capacity,
)
from ebonyhaven_standins.slopes._fits import Fit, Point, fit_line, fit_mean
from ebonyhaven_standins.slopes._quantities import QUANTITIES, Measurement, Quantity
from ebonyhaven_standins.slopes._tables import (
    format_figure,
    render_slopes,
    replace_tables,
)

__all__ = [
    "BENCHMARKS",
    "CAPACITY_LINES",
    "QUANTITIES",
    "CapacityLine",
    "Fit",
    "Measurement",
    "Point",
    "Quantity",
    "fit_line",
    "fit_mean",
    "format_figure",
    "make_measurements",
    "print_points",
    "read_points",
    "render_capacity",
    "render_slopes",
    "replace_tables",
    "run_benchmarks",
]
