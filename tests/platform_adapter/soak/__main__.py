"""Command line of the soak."""

from __future__ import annotations

import argparse
import sys

from twisted.internet import task

from tests.platform_adapter.soak._run import run_soak


async def _run(seeds: range, duration_s: float) -> int:
    failed = 0
    for seed in seeds:
        report = await run_soak(seed, duration_s)
        failed += bool(report.problems)
        print(f"seed {seed}: {report.statuses}, logs {report.directory}", flush=True)
        for problem in report.problems[:20]:
            print(f"  {problem}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return failed


def main() -> None:
    """Run the soak with some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failures = []

    async def run(_) -> None:
        failures.append(await _run(seeds, options.seconds))

    task.react(lambda reactor: task.ensureDeferred(run(reactor)))
    sys.exit(bool(failures[0]))


if __name__ == "__main__":
    main()
