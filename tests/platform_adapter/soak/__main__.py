"""Command line of the soak."""

from __future__ import annotations

import argparse
import sys

from twisted.internet import task

from tests.platform_adapter.soak._deployment import LARGE, SMALL
from tests.platform_adapter.soak._faults import FAULT_SETS
from tests.platform_adapter.soak._run import run_soak


async def _run(options) -> int:
    failed = 0
    seeds = range(options.seed, options.seed + options.seeds)
    size = LARGE if options.large else SMALL
    if options.instances is not None:
        size = size._replace(instances=options.instances)
    size = size._replace(more_routes=options.more_routes)
    for seed in seeds:
        report = await run_soak(
            seed,
            options.seconds,
            fault_set=options.faults,
            size=size,
            production=options.production,
        )
        failed += bool(report.problems)
        print(f"seed {seed}: {report.statuses}, logs {report.directory}", flush=True)
        for problem in report.problems[:20]:
            print(f"  {problem}", flush=True)
        print(f"  without a complete answer: {report.unanswered}", flush=True)
        print(f"  {len(report.notes)} notes, see traces.txt", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return failed


def main() -> None:
    """Run the soak with some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--faults", choices=sorted(FAULT_SETS), default="standard")
    parser.add_argument(
        "--large", action="store_true", help="six instances in three data centres"
    )
    parser.add_argument("--instances", type=int, help="another number of instances")
    parser.add_argument(
        "--more-routes", type=int, default=0, help="routes that no caller uses"
    )
    parser.add_argument(
        "--production", help="commit whose build runs until it is upgraded"
    )
    options = parser.parse_args()
    failures = []

    async def run(_) -> None:
        failures.append(await _run(options))

    task.react(lambda reactor: task.ensureDeferred(run(reactor)))
    sys.exit(bool(failures[0]))


if __name__ == "__main__":
    main()
