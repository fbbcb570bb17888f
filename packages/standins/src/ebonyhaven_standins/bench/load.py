"""Latency targets under load and faults, for fair scheduling and two baselines.

Each scenario runs on real node processes and engine stand-ins, once per scheduling
algorithm, with the same requests. ``python -m ebonyhaven_standins.bench.load``
prints one JSON line per result; ``--full`` runs more loads and seeds.
"""

from __future__ import annotations

import json
import pathlib
import random
import sys
from collections.abc import Iterator, Sequence
from typing import Any

import attrs

from ebonyhaven_standins.bench import _load_measures as measures
from ebonyhaven_standins.bench._load_deployments import (
    ENGINE_CAPACITY_STREAMS,
    ENGINE_COUNT,
    FULL_BATCH_DECODE_STEP_MS,
    DeploymentUnderTest,
    list_engine_names,
    start_cluster,
)
from ebonyhaven_standins.bench._load_measures import LatencyTargets, Window
from ebonyhaven_standins.bench._load_plans import (
    plan_analyses,
    plan_look_ups,
)
from ebonyhaven_standins.bench._open_loop import (
    LoadRecord,
)
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    LOOK_UP,
)

SCHEDULING_ALGORITHMS = ("fair", "round_robin", "least_connections")
CAPACITY_TOKENS_PER_S = (
    ENGINE_COUNT * ENGINE_CAPACITY_STREAMS / (FULL_BATCH_DECODE_STEP_MS / 1000.0)
)
# The first-token targets are the sums of first_token_ms and may_wait_ms of `CLASSES`.
LATENCY_TARGETS = {
    LOOK_UP: LatencyTargets(0.5, 0.062),
    ANALYSIS: LatencyTargets(5.0, 0.1),
}
LOOK_UP_RATE_PER_S = 12.5
LOOK_UP_TOKENS_PER_S = LOOK_UP_RATE_PER_S * 16  # mean of `LOOK_UP_TOKENS_RANGE`
SMALL_WORKSPACE = "small-a"
LARGE_WORKSPACE = "large-a"
SMALL_WORKSPACE_LOAD_SHARE = 0.03
LARGE_WORKSPACE_LOAD_SHARE = 1.0
DRAIN_S = 25.0
WARM_UP_S = 6.0
SHORT_LOADS = (0.8, 2.0)
FULL_LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)


@attrs.frozen(kw_only=True)
class LoadBenchOptions:
    """Extent of a run of the load benchmark.

    Parameters
    ----------
    loads : sequence of float
        Offered loads, as shares of the capacity.
    seeds : sequence of int
    phase_s : float
        Length of each measured phase, seconds.
    scheduling_algorithms : sequence of str
    """

    loads: Sequence[float] = SHORT_LOADS
    seeds: Sequence[int] = (1,)
    phase_s: float = 14.0
    scheduling_algorithms: Sequence[str] = SCHEDULING_ALGORITHMS


def measure_load(
    deployment: DeploymentUnderTest, load: float, seed: int, phase_s: float
) -> dict[str, Any]:
    """Measure look-ups alone, then with analyses up to the offered load.

    Parameters
    ----------
    deployment : DeploymentUnderTest
    load : float
        Offered load of both classes, as a share of the capacity.
    seed : int
    phase_s : float
        Length of each phase, seconds.
    """
    rng = random.Random(seed)
    end_s = phase_s + WARM_UP_S + phase_s
    plan = plan_look_ups(LOOK_UP_RATE_PER_S, begin_s=0, end_s=end_s, rng=rng)
    analysis_tokens_per_s = load * CAPACITY_TOKENS_PER_S - LOOK_UP_TOKENS_PER_S
    plan += plan_analyses(analysis_tokens_per_s, begin_s=phase_s, end_s=end_s, rng=rng)
    records = deployment.run_plan(plan)
    alone = Window(1.0, phase_s)
    window = Window(phase_s + WARM_UP_S, end_s)
    demands = _sum_demands(records, window)
    backlogged = measures.find_backlogged(demands, CAPACITY_TOKENS_PER_S)
    served = measures.measure_served_tokens(records, window, backlogged)
    look_ups_alone = measures.select_records(records, alone, class_name=LOOK_UP)
    look_ups = measures.select_records(records, window, class_name=LOOK_UP)
    analyses = measures.select_records(records, window, class_name=ANALYSIS)
    alone_s = measures.measure_first_token_s(look_ups_alone, 0.95)
    look_up_p95_s = measures.measure_first_token_s(look_ups, 0.95)
    goodput = measures.measure_goodput(records, LATENCY_TARGETS, window)
    return {
        "scenario": "load",
        "generator_lag_p95_s": deployment.lag_p95_s,
        "load": load,
        "requests": len(look_ups) + len(analyses),
        "look_up_p95_alone_s": alone_s,
        "look_up_p95_s": look_up_p95_s,
        "look_up_ratio": _compute_ratio(look_up_p95_s, alone_s),
        "look_ups_in_target": measures.compute_in_target_share(
            look_ups, LATENCY_TARGETS
        ),
        "analysis_p95_s": measures.measure_first_token_s(analyses, 0.95),
        "analyses_in_target": measures.compute_in_target_share(
            analyses, LATENCY_TARGETS
        ),
        "goodput_tokens_per_s": goodput,
        "goodput_of_offered": round(
            goodput / min(load, 1.0) / CAPACITY_TOKENS_PER_S, 4
        ),
        "backlogged": len(backlogged) if load > 1.0 else 0,
        "jain": measures.compute_jain_index(list(served.values()))
        if load > 1.0
        else None,
        "attempts_a_request": _compute_mean_attempts(look_ups + analyses),
    }


def measure_large_workspace(
    deployment: DeploymentUnderTest, seed: int, phase_s: float
) -> dict[str, Any]:
    """Measure a small workspace alone, then together with a large one.

    The large workspace requests the whole capacity: ten times an equal share of the
    ten workspaces.
    """
    rng = random.Random(seed)
    end_s = phase_s + WARM_UP_S + phase_s
    plan = plan_analyses(
        CAPACITY_TOKENS_PER_S,
        begin_s=0,
        end_s=end_s,
        rng=rng,
        workspace_shares={SMALL_WORKSPACE: SMALL_WORKSPACE_LOAD_SHARE},
    )
    plan += plan_analyses(
        CAPACITY_TOKENS_PER_S,
        begin_s=phase_s,
        end_s=end_s,
        rng=rng,
        workspace_shares={LARGE_WORKSPACE: LARGE_WORKSPACE_LOAD_SHARE},
    )
    records = deployment.run_plan(plan)
    alone = measures.select_records(
        records, Window(1.0, phase_s), workspace=SMALL_WORKSPACE
    )
    window = Window(phase_s + WARM_UP_S, end_s)
    beside_large = measures.select_records(records, window, workspace=SMALL_WORKSPACE)
    alone_s = measures.measure_first_token_s(alone, 0.95)
    small_p95_s = measures.measure_first_token_s(beside_large, 0.95)
    return {
        "scenario": "large_workspace",
        "generator_lag_p95_s": deployment.lag_p95_s,
        "requests": len(beside_large),
        "small_p95_alone_s": alone_s,
        "small_p95_s": small_p95_s,
        "small_ratio": _compute_ratio(small_p95_s, alone_s),
        "small_in_target": measures.compute_in_target_share(
            beside_large, LATENCY_TARGETS
        ),
    }


def measure_loss(
    deployment: DeploymentUnderTest, seed: int, phase_s: float, load: float = 0.6
) -> dict[str, Any]:
    """Measure the recovery after a third of the engines are killed at once."""
    rng = random.Random(seed)
    fault_s = WARM_UP_S + 2.0
    end_s = fault_s + phase_s
    plan = plan_look_ups(LOOK_UP_RATE_PER_S, begin_s=0, end_s=end_s, rng=rng)
    plan += plan_analyses(
        load * CAPACITY_TOKENS_PER_S - LOOK_UP_TOKENS_PER_S,
        begin_s=0,
        end_s=end_s,
        rng=rng,
    )
    killed = rng.sample(list_engine_names(), ENGINE_COUNT // 3)

    def kill(cluster: Cluster) -> None:
        for name in killed:
            cluster.kill(name)

    records = deployment.run_plan(plan, [(fault_s, kill)])
    running = [
        record
        for record in records
        if record["at_s"] < fault_s and (record["ended_s"] or end_s) > fault_s
    ]
    after = measures.select_records(records, Window(fault_s, end_s))
    completed = sum(record["outcome"] == measures.COMPLETED for record in running)
    return {
        "scenario": "third_lost",
        "generator_lag_p95_s": deployment.lag_p95_s,
        "load": load,
        "requests": len(after),
        "in_target_after": measures.compute_in_target_share(after, LATENCY_TARGETS),
        "recovery_s": measures.measure_recovery_s(
            records, LATENCY_TARGETS, fault_s=fault_s, end_s=end_s
        ),
        "running_at_loss": len(running),
        "running_completed": completed,
        "attempts_a_request": _compute_mean_attempts(after),
    }


def run_load_bench(options: LoadBenchOptions) -> Iterator[dict[str, Any]]:
    """Run all scenarios with each scheduling algorithm and yield their results.

    Parameters
    ----------
    options : LoadBenchOptions

    Yields
    ------
    dict
        Figures of one scenario, with ``scheduling`` and ``seed``.
    """
    for seed in options.seeds:
        for scheduling in options.scheduling_algorithms:
            for result in _run_algorithm(options, scheduling, seed):
                yield {"scheduling": scheduling, "seed": seed, **result}


def _run_algorithm(
    options: LoadBenchOptions, scheduling: str, seed: int
) -> Iterator[dict[str, Any]]:
    with Cluster() as cluster:
        start_cluster(cluster, scheduling, seed)
        deployment = DeploymentUnderTest(cluster, seed)
        for load in options.loads:
            yield measure_load(deployment, load, seed, options.phase_s)
        yield measure_large_workspace(deployment, seed, options.phase_s)
        yield measure_loss(deployment, seed, options.phase_s)


def _sum_demands(records: Sequence[LoadRecord], window: Window) -> dict[str, float]:
    demands: dict[str, float] = {}
    for record in measures.select_records(records, window):
        asked = record["max_tokens"] / window.length_s
        demands[record["workspace"]] = demands.get(record["workspace"], 0.0) + asked
    return demands


def _compute_ratio(value: float | None, by: float | None) -> float | None:
    return round(value / by, 3) if value is not None and by else None


def _compute_mean_attempts(records: Sequence[LoadRecord]) -> float | None:
    if not records:
        return None
    return round(sum(record["attempts"] for record in records) / len(records), 3)


def main(arguments: Sequence[str]) -> None:
    """Run the load benchmark and print one JSON line per result."""
    is_full = "--full" in arguments
    options = LoadBenchOptions(
        loads=FULL_LOADS if is_full else SHORT_LOADS,
        seeds=range(1, 6) if is_full else (1,),
    )
    results = []
    for result in run_load_bench(options):
        print(json.dumps(result), flush=True)
        results.append(result)
    if "--out" in arguments:
        path = pathlib.Path(arguments[arguments.index("--out") + 1])
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
