"""Markdown tables of the capacity page."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence

from ebonyhaven_standins.slopes._quantities import Measurement, Reading

SLOPE_HEADER = ("quantity", "value", "unit", "by", "points", "error", "read as")


def format_figure(value: float) -> str:
    """Return a figure with three significant digits, thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}"


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def render_slopes(measurements: Mapping[str, Measurement]) -> str:
    """Return the table of measured rows."""
    return render_table(SLOPE_HEADER, [_render(m) for m in measurements.values()])


def replace_tables(text: str, tables: Mapping[str, str]) -> str:
    """Return a page with the tables between its marks replaced.

    Parameters
    ----------
    text : str
        Page with lines ``<!-- NAME:begin -->`` and ``<!-- NAME:end -->``.
    tables : mapping of str to str
        Tables by name.
    """
    for name, table in tables.items():
        pattern = rf"(<!-- {name}:begin -->\n).*?(<!-- {name}:end -->)"
        text = re.sub(
            pattern, lambda m, t=table: f"{m[1]}{t}\n{m[2]}", text, flags=re.DOTALL
        )
    return text


def _render(measurement: Measurement) -> tuple[str, ...]:
    row, fit = measurement.quantity, measurement.fit
    points = "; ".join(
        f"{format_figure(size)}: {format_figure(value)}"
        for size, value in measurement.points
    )
    reading = row.reading.value
    if row.reading is Reading.INTERCEPT:
        reading = "intercept"
    return (
        row.name,
        format_figure(measurement.value),
        row.unit,
        row.size_unit,
        points,
        "–" if row.reading is Reading.LAST else f"{fit.error_percent:.1f}%",
        reading,
    )
