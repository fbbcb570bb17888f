"""Markdown tables of the capacity page."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence

from ebonyhaven_standins.slopes._quantities import Measurement, Reading

SLOPE_HEADER = ("quantity", "value", "unit", "by", "points", "error", "read as")


def format_figure(value: float) -> str:
    """Return a number with three significant digits and thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}"


def render_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table with a header row."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def render_slopes(measurements: Mapping[str, Measurement]) -> str:
    """Return the table of measured quantities in Markdown.

    Parameters
    ----------
    measurements : mapping of str to Measurement
        Measurements by key, in the order of the table's rows.
    """
    return render_table(SLOPE_HEADER, [_render_row(m) for m in measurements.values()])


def replace_tables(text: str, tables: Mapping[str, str]) -> str:
    """Return a page with the text between its table markers replaced.

    Parameters
    ----------
    text : str
        Page with lines ``<!-- NAME:begin -->`` and ``<!-- NAME:end -->``.
    tables : mapping of str to str
        Markdown tables by name.
    """
    for name, table in tables.items():
        pattern = rf"(<!-- {name}:begin -->\n).*?(<!-- {name}:end -->)"
        text = re.sub(
            pattern, lambda m, t=table: f"{m[1]}{t}\n{m[2]}", text, flags=re.DOTALL
        )
    return text


def _render_row(measurement: Measurement) -> tuple[str, ...]:
    quantity, fit = measurement.quantity, measurement.fit
    points = "; ".join(
        f"{format_figure(size)}: {format_figure(value)}"
        for size, value in measurement.points
    )
    reading = quantity.reading.value
    if quantity.reading is Reading.INTERCEPT:
        reading = "intercept"
    return (
        quantity.name,
        format_figure(measurement.value),
        quantity.unit,
        quantity.size_unit,
        points,
        "–" if quantity.reading is Reading.LAST else f"{fit.error_percent:.1f}%",
        reading,
    )
