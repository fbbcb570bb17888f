"""Cost and detection time of membership by number of instances.

Run by ``python -m ebonyhaven_standins.bench.membership [--sizes 3,6,12]
[--processes node|control] [--quiet-s 30] [--kills 5] [--faults-s 60] [--output FILE]``.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import time
from collections.abc import Iterable

from ebonyhaven_decisions import NEIGHBOUR_COUNT

from ebonyhaven_standins.bench._fits import Fit, fit_line
from ebonyhaven_standins.bench._membership_measures import (
    Detection,
    FalseSuspicions,
    IdleCost,
    measure_detection,
    measure_false_suspicions,
    measure_idle_cost,
)
from ebonyhaven_standins.bench._node_sets import ControlNodeSet, FullNodeSet, NodeSet

SIZES = (3, 6, 12, 24, 48)
TARGET_SIZE = 390
SETTLING_TIME_S = 12.0
MESSAGE_LOSS_SHARE = 0.01
MAX_BYTES_PER_S = 2048.0
MAX_CPU_SHARE = 0.014
NODE_SETS = {"control": ControlNodeSet, "node": FullNodeSet}


def fit_costs(costs: list[IdleCost]) -> dict[str, list[Fit]]:
    """Fit each cost against the size and its logarithm.

    Excludes sizes at which an instance has fewer neighbours than at the target
    size.

    Parameters
    ----------
    costs : list of IdleCost

    Returns
    -------
    dict of str to list of Fit
    """
    costs = [cost for cost in costs if cost["size"] > NEIGHBOUR_COUNT]
    if len(costs) < 2:
        return {}
    sizes = [cost["size"] for cost in costs]
    return {
        key: [
            fit_line(
                sizes,
                [cost[key] for cost in costs],
                target_size=TARGET_SIZE,
                logarithmic=logarithmic,
            )
            for logarithmic in (False, True)
        ]
        for key in costs[0]
        if key != "size"
    }


def list_costs_over_limit(fits: dict[str, list[Fit]]) -> list[str]:
    """Return the costs whose extrapolation by either fit exceeds its limit.

    The limit on bytes applies to the sum of both directions.

    Parameters
    ----------
    fits : dict of str to list of Fit

    Returns
    -------
    list of str
    """
    if not fits:
        return []
    worst = {key: max(fit["extrapolated"] for fit in fits[key]) for key in fits}
    over_limit = []
    if worst["sent_bytes_per_s"] + worst["received_bytes_per_s"] > MAX_BYTES_PER_S:
        over_limit.append("bytes_per_s")
    if worst["cpu_share"] > MAX_CPU_SHARE:
        over_limit.append("cpu_share")
    return over_limit


def measure_sizes(
    sizes: Iterable[int],
    *,
    node_set: type[NodeSet],
    idle_s: float,
    kills: int,
    faults_s: float,
    seed: int,
) -> dict[str, object]:
    """Measure cost, detection and false suspicions at each size.

    Parameters
    ----------
    sizes : iterable of int
    node_set : type of NodeSet
        Kind of processes that are started.
    idle_s : float
        Length of the measurement of idle cost, seconds.
    kills : int
        Number of kills at each size; 0 skips the measurement of detection.
    faults_s : float
        Length of the measurement with message loss and pauses, seconds; 0 skips it.
    seed : int

    Returns
    -------
    dict
        Results as a JSON object.
    """
    rng = random.Random(seed)
    costs: list[IdleCost] = []
    detections: list[Detection] = []
    suspicions: list[FalseSuspicions] = []
    for size in sizes:
        with node_set(size) as nodes:
            nodes.wait_for_convergence()
            time.sleep(SETTLING_TIME_S)
            costs.append(measure_idle_cost(nodes, idle_s))
            print(json.dumps(costs[-1]), flush=True)
            if kills:
                detections.append(measure_detection(nodes, kills, rng))
                print(json.dumps(detections[-1]), flush=True)
        if faults_s:
            with node_set(size, loss=MESSAGE_LOSS_SHARE) as nodes:
                nodes.wait_for_convergence()
                suspicions.append(measure_false_suspicions(nodes, faults_s, rng))
                print(json.dumps(suspicions[-1]), flush=True)
    fits = fit_costs(costs)
    return {
        "scenario": "membership",
        "processes": node_set.__name__,
        "costs": costs,
        "fits": fits,
        "beyond_target": list_costs_over_limit(fits),
        "detection": detections,
        "false_suspicions": suspicions,
    }


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--processes", choices=sorted(NODE_SETS), default="node")
    parser.add_argument("--quiet-s", type=float, default=30.0)
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--faults-s", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    result = measure_sizes(
        map(int, options.sizes.split(",")),
        node_set=NODE_SETS[options.processes],
        idle_s=options.quiet_s,
        kills=options.kills,
        faults_s=options.faults_s,
        seed=options.seed,
    )
    if options.output:
        options.output.write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
