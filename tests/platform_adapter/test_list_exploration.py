"""Short seeded run of the exploration; many seeds are run by hand."""

from __future__ import annotations

import logging

import structlog

from tests.platform_adapter.list_exploration._worlds import (
    CALM_INTERVAL_S,
    FAULTS,
    explore,
)

SEEDS = range(1, 9)
SECONDS = 20.0


def explore_quietly(seed, duration_s=SECONDS, **options):
    configuration = structlog.get_config()
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)
    try:
        return explore(seed, duration_s=duration_s, **options)
    finally:
        structlog.configure(**configuration)


def test_instances_in_touch_learn_of_leaves_in_time_and_for_good():
    findings = {seed: explore_quietly(seed).findings for seed in SEEDS}
    assert not any(findings.values()), findings


def test_leaves_are_learned_in_time_under_each_kind_of_failure():
    for fault in FAULTS:
        world = explore_quietly(101, faults=(fault,))
        assert not world.findings, (fault, world.findings)


def test_servers_that_lapsed_before_a_restore_are_used_again():
    for seed in (10, 14):
        world = explore_quietly(
            seed,
            duration_s=80.0,
            faults=("restore_store",),
            fault_interval_s=CALM_INTERVAL_S,
        )
        assert not world.findings, (seed, world.findings)


def test_leaves_are_learned_at_all_instances_while_nothing_fails():
    world = explore_quietly(201, faults=())
    assert not world.findings
    assert len(world.delays_s) > 10
