"""Tests that the capacity page matches the slopes tool and the measured points."""

from __future__ import annotations

import re

from ebonyhaven_standins.slopes import (
    CAPACITY_LINES,
    QUANTITIES,
    make_measurements,
    read_points,
    render_capacity,
    render_slopes,
)

from tools.doc_blocks import ROOT

PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
POINTS_PATH = ROOT / "bench" / "results" / "slopes.json"


def read_table(name):
    text = PAGE_PATH.read_text()
    found = re.search(
        rf"<!-- {name}:begin -->\n(.*?)<!-- {name}:end -->", text, re.DOTALL
    )
    return found[1].strip()


def split_rows(table):
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in table.splitlines()[2:]
    ]


def test_page_lists_all_quantities_with_units():
    rows = split_rows(read_table("slopes"))
    shown = [(row[0], row[2], row[3]) for row in rows]
    assert shown == [(row.name, row.unit, row.size_unit) for row in QUANTITIES]


def test_page_lists_all_capacity_lines_with_units():
    rows = split_rows(read_table("capacity"))
    shown = [(row[0], row[1], row[4]) for row in rows]
    assert shown == [(line.role, line.name, line.unit) for line in CAPACITY_LINES]


def test_page_figures_match_measured_points():
    measurements = make_measurements(read_points(POINTS_PATH))
    assert read_table("slopes") == render_slopes(measurements)
    assert read_table("capacity") == render_capacity(measurements)


def test_capacity_lines_over_limit_are_marked_and_explained():
    rows_over_limit = [
        row for row in split_rows(read_table("capacity")) if "no" in row[7]
    ]
    values = {
        key: item.value
        for key, item in make_measurements(read_points(POINTS_PATH)).items()
    }
    assert len(rows_over_limit) == sum(
        not line.meets_limit(values) for line in CAPACITY_LINES
    )
    assert not rows_over_limit or "## What does not fit yet" in PAGE_PATH.read_text()
