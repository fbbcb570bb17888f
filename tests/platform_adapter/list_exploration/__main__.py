"""Explores many seeds: ``python -m tests.platform_adapter.list_exploration``."""

from __future__ import annotations

import argparse
import collections
import logging

import structlog

from tests.platform_adapter.list_exploration._worlds import (
    CALM_INTERVAL_S,
    FAULT_INTERVAL_S,
    FAULTS,
    explore,
)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--faults", default=",".join(FAULTS))
    parser.add_argument("--instances", type=int, default=None)
    parser.add_argument("--calm", action="store_true", help="long after each fault")
    parser.add_argument("--logs", action="store_true")
    options = parser.parse_args()
    faults = tuple(each for each in options.faults.split(",") if each)
    level = logging.INFO if options.logs else logging.CRITICAL
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(level))
    counts, delays_s, calls = collections.Counter(), [], 0
    for seed in range(options.first, options.first + options.seeds):
        world = explore(
            seed,
            duration_s=options.seconds,
            faults=faults,
            instances=options.instances,
            fault_interval_s=CALM_INTERVAL_S if options.calm else FAULT_INTERVAL_S,
        )
        kinds = {finding.kind for finding in world.findings}
        counts.update(kinds)
        delays_s += world.delays_s
        calls += world.store.calls
        for finding in world.findings[:2]:
            print(seed, *finding)
    delays_s.sort()
    print("seeds", options.seeds, "with findings", dict(counts), "calls", calls)
    if delays_s:
        p99 = delays_s[int(0.99 * len(delays_s))]
        print(f"leaves {len(delays_s)} p99 {p99:.2f} max {delays_s[-1]:.2f} s")


main()
