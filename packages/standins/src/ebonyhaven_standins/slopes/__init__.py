"""Measures what each peer, server, workspace, stream and token costs."""

from __future__ import annotations

from ebonyhaven_standins.slopes._capacity import LINES, Line, render_capacity
from ebonyhaven_standins.slopes._fits import Fit, Point, average, fit_line
from ebonyhaven_standins.slopes._rows import ROWS, Measurement, Row
from ebonyhaven_standins.slopes._running import (
    MEASURES,
    make_measurements,
    print_measurement,
    read_points,
    run_all,
)
from ebonyhaven_standins.slopes._tables import (
    format_figure,
    render_slopes,
    replace_tables,
)

__all__ = [
    "LINES",
    "MEASURES",
    "ROWS",
    "Fit",
    "Line",
    "Measurement",
    "Point",
    "Row",
    "average",
    "fit_line",
    "format_figure",
    "make_measurements",
    "print_measurement",
    "read_points",
    "render_capacity",
    "render_slopes",
    "replace_tables",
    "run_all",
]
