"""Tests of fits, tables, benchmarked quantities and simulated membership."""

from __future__ import annotations

from ebonyhaven_standins.slopes import (
    BENCHMARKS,
    QUANTITIES,
    Point,
    _kept_runs,
    _losses,
    _membership,
    _memory,
    _platform_reads,
    fit_line,
    fit_mean,
    format_figure,
    replace_tables,
)


def test_line_fit_and_its_error():
    fit = fit_line([Point(x, 5.0 + 2.0 * x) for x in (1, 2, 4, 8)])
    assert abs(fit.slope - 2.0) < 1e-9
    assert abs(fit.intercept - 5.0) < 1e-9
    assert fit.error_percent < 1e-6
    noisy = fit_line([Point(1, 1.0), Point(2, 3.0), Point(3, 2.0), Point(4, 4.0)])
    assert noisy.error_percent > 10.0


def test_mean_fit_reports_half_range_as_error():
    fit = fit_mean([Point(0, 9.0), Point(1, 11.0)])
    assert fit.intercept == 10.0
    assert fit.error_percent == 10.0


def test_figures_have_three_significant_digits():
    figures = [0.0, 0.01234, 12.345, 1234.5, 45_678.0]
    assert [format_figure(f) for f in figures] == [
        "0",
        "0.0123",
        "12.3",
        "1,230",
        "45,700",
    ]


def test_only_text_between_table_markers_is_replaced():
    page = "a\n<!-- t:begin -->\nold\n<!-- t:end -->\nb\n"
    assert (
        replace_tables(page, {"t": "new"})
        == "a\n<!-- t:begin -->\nnew\n<!-- t:end -->\nb\n"
    )


def test_every_quantity_has_one_benchmark():
    measured = [key for benchmark in BENCHMARKS.values() for key in benchmark.keys]
    assert sorted(measured) == sorted(quantity.key for quantity in QUANTITIES)


def test_allocated_bytes_grow_with_size():
    builders = (
        _memory.build_membership,
        _memory.build_server_table,
        _memory.build_workspaces,
        _memory.build_metrics,
        _platform_reads.build_listing,
        _kept_runs.build_registry,
    )
    for build in builders:
        points = _memory.measure_allocated_bytes(build, (2, 8))
        assert points[1].value > points[0].value > 0, build


def test_membership_detects_stopped_member():
    simulation = _membership.MembershipSimulation(9)
    simulation.run(2.0)
    name = next(iter(simulation.members))
    simulation.stopped.add(name)
    for _ in range(20):
        simulation.run(1.0)
        if not simulation.count_diverging_views({name}, _losses.FAILED_STATES):
            return
    raise AssertionError("the stopped member was not detected")
