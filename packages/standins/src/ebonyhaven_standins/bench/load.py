"""Targets under load and faults, beside two baselines.

Each scenario runs on real node processes and engine stand-ins, once for each way of
scheduling, with the same requests. ``python -m ebonyhaven_standins.bench.load``
prints one JSON line a result; ``--full`` runs more loads and seeds.
"""

from __future__ import annotations

import json
import pathlib
import random
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import attrs

from ebonyhaven_standins.bench import _load_measures as measures
from ebonyhaven_standins.bench._load_measures import Limits, Window
from ebonyhaven_standins.bench._load_plans import (
    INSTANCES,
    WORKSPACE_LOADS,
    plan_analyses,
    plan_look_ups,
)
from ebonyhaven_standins.bench._open_loop import (
    START_DELAY_S,
    LoadRecord,
    PlannedRequest,
)
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    LOOK_UP,
    Deployment,
    ServerSpec,
    start_deployment,
)

SCHEDULINGS = ("fair", "round_robin", "least_connections")
ENGINES = 20
CAPACITY = 8
STEP_MS = 40.0
FULL_STEP_MS = 56.0
CAPACITY_TOKENS_PER_S = ENGINES * CAPACITY / (FULL_STEP_MS / 1000.0)
DATA_CENTRES = ("ba-petrzalka", "ba-ruzinov", "tt-hall")
CLASSES = {
    LOOK_UP: {
        "first_token_ms": 500,
        "gap_ms": 62,
        "resume_ms": 1000,
        "may_wait_ms": 0,
    },
    ANALYSIS: {
        "first_token_ms": 2000,
        "gap_ms": 100,
        "resume_ms": 2000,
        "may_wait_ms": 3000,
        "default": True,
    },
}
LIMITS = {LOOK_UP: Limits(0.5, 0.062), ANALYSIS: Limits(5.0, 0.1)}
LOOK_UP_RATE_PER_S = 12.5
LOOK_UP_TOKENS_PER_S = LOOK_UP_RATE_PER_S * 16
SMALL = "small-a"
LARGE = "large-a"
SMALL_SHARE = 0.03
LARGE_SHARE = 1.0
DRAIN_S = 25.0
WARM_UP_S = 6.0
SETTLE_S = 3.0
RUN_DEADLINE_S = 180.0
SHORT_LOADS = (0.8, 2.0)
FULL_LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)


@attrs.frozen(kw_only=True)
class LoadBench:
    """Sizes of a run of the bench.

    Parameters
    ----------
    loads : sequence of float
        Shares of the capacity.
    seeds : sequence of int
    phase_s : float
        Length of one phase, seconds.
    schedulings : sequence of str
    """

    loads: Sequence[float] = SHORT_LOADS
    seeds: Sequence[int] = (1,)
    phase_s: float = 14.0
    schedulings: Sequence[str] = SCHEDULINGS


class Deployed:
    """A started deployment that sends plans to its instances.

    Parameters
    ----------
    cluster : Cluster
    seed : int

    Attributes
    ----------
    lag_p95_s : float
        Delay of timers in the load generator during the last plan, seconds; it
        bounds how exact the figures of that plan are.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self._seed = seed
        self._plans = 0
        self.lag_p95_s = 0.0

    def send(
        self,
        plan: Sequence[PlannedRequest],
        actions: Sequence[tuple[float, Callable[[Cluster], None]]] = (),
    ) -> list[LoadRecord]:
        """Send a plan and return what became of its requests.

        Parameters
        ----------
        plan : sequence of PlannedRequest
        actions : sequence of tuple of float and callable
            Seconds after the start, and what is done to the processes then.
        """
        folder = self.cluster.folder
        self._plans += 1
        plan_path = folder / f"plan{self._plans}.json"
        out_path = folder / f"records{self._plans}.json"
        addresses = [self.cluster.addresses[name] for name in _name_instances()]
        # Keys that were used by an earlier plan would find its finished runs.
        seed = 1000 * self._seed + self._plans
        content = {"addresses": addresses, "seed": seed, "requests": plan}
        plan_path.write_text(json.dumps(content))
        command = [sys.executable, "-m", "ebonyhaven_standins.bench._open_loop"]
        child = subprocess.Popen(
            [*command, str(plan_path), str(out_path)],
            stdout=subprocess.PIPE,
            text=True,
        )
        with child:
            try:
                child.stdout.readline()
                started_at = time.monotonic() + START_DELAY_S
                for at_s, act in actions:
                    time.sleep(max(0.0, started_at + at_s - time.monotonic()))
                    act(self.cluster)
                child.wait(RUN_DEADLINE_S)
            finally:
                child.kill()
        content = json.loads(out_path.read_text())
        self.lag_p95_s = content["lag_p95_s"]
        return content["records"]


def measure_load(
    deployed: Deployed, load: float, seed: int, phase_s: float
) -> dict[str, Any]:
    """Measure look-ups alone, then with analyses up to a load.

    Parameters
    ----------
    deployed : Deployed
    load : float
        Share of the capacity.
    seed : int
    phase_s : float
        Length of each phase, seconds.
    """
    source = random.Random(seed)
    loaded_s = phase_s + WARM_UP_S + phase_s
    plan = plan_look_ups(LOOK_UP_RATE_PER_S, begin_s=0, end_s=loaded_s, source=source)
    analysis_tokens_per_s = load * CAPACITY_TOKENS_PER_S - LOOK_UP_TOKENS_PER_S
    plan += plan_analyses(
        analysis_tokens_per_s, begin_s=phase_s, end_s=loaded_s, source=source
    )
    records = deployed.send(plan)
    alone = Window(1.0, phase_s)
    window = Window(phase_s + WARM_UP_S, loaded_s)
    demands = _sum_demands(records, window)
    backlogged = measures.find_backlogged(demands, CAPACITY_TOKENS_PER_S)
    served = measures.measure_service(records, window, backlogged)
    look_ups_alone = measures.select(records, alone, class_name=LOOK_UP)
    look_ups = measures.select(records, window, class_name=LOOK_UP)
    analyses = measures.select(records, window, class_name=ANALYSIS)
    alone_s = measures.measure_first_token_s(look_ups_alone, 0.95)
    saturated_s = measures.measure_first_token_s(look_ups, 0.95)
    goodput = measures.measure_goodput(records, LIMITS, window)
    return {
        "scenario": "load",
        "generator_lag_p95_s": deployed.lag_p95_s,
        "load": load,
        "requests": len(look_ups) + len(analyses),
        "look_up_p95_alone_s": alone_s,
        "look_up_p95_s": saturated_s,
        "look_up_ratio": _divide(saturated_s, alone_s),
        "look_ups_in_target": measures.measure_share_in_target(look_ups, LIMITS),
        "analysis_p95_s": measures.measure_first_token_s(analyses, 0.95),
        "analyses_in_target": measures.measure_share_in_target(analyses, LIMITS),
        "goodput_tokens_per_s": goodput,
        "goodput_of_offered": round(
            goodput / min(load, 1.0) / CAPACITY_TOKENS_PER_S, 4
        ),
        "backlogged": len(backlogged) if load > 1.0 else 0,
        "jain": measures.compute_jain(list(served.values())) if load > 1.0 else None,
        "attempts_a_request": _count_attempts(look_ups + analyses),
    }


def measure_large_workspace(
    deployed: Deployed, seed: int, phase_s: float
) -> dict[str, Any]:
    """Measure a small workspace alone, then beside one with ten times its share."""
    source = random.Random(seed)
    loaded_s = phase_s + WARM_UP_S + phase_s
    plan = plan_analyses(
        CAPACITY_TOKENS_PER_S,
        begin_s=0,
        end_s=loaded_s,
        source=source,
        loads={SMALL: SMALL_SHARE},
    )
    plan += plan_analyses(
        CAPACITY_TOKENS_PER_S,
        begin_s=phase_s,
        end_s=loaded_s,
        source=source,
        loads={LARGE: LARGE_SHARE},
    )
    records = deployed.send(plan)
    alone = measures.select(records, Window(1.0, phase_s), workspace=SMALL)
    window = Window(phase_s + WARM_UP_S, loaded_s)
    beside = measures.select(records, window, workspace=SMALL)
    alone_s = measures.measure_first_token_s(alone, 0.95)
    beside_s = measures.measure_first_token_s(beside, 0.95)
    return {
        "scenario": "large_workspace",
        "generator_lag_p95_s": deployed.lag_p95_s,
        "requests": len(beside),
        "small_p95_alone_s": alone_s,
        "small_p95_s": beside_s,
        "small_ratio": _divide(beside_s, alone_s),
        "small_in_target": measures.measure_share_in_target(beside, LIMITS),
    }


def measure_loss(
    deployed: Deployed, seed: int, phase_s: float, load: float = 0.6
) -> dict[str, Any]:
    """Measure how a third of the servers lost at once is got over."""
    source = random.Random(seed)
    fault_s = WARM_UP_S + 2.0
    end_s = fault_s + phase_s
    plan = plan_look_ups(LOOK_UP_RATE_PER_S, begin_s=0, end_s=end_s, source=source)
    plan += plan_analyses(
        load * CAPACITY_TOKENS_PER_S - LOOK_UP_TOKENS_PER_S,
        begin_s=0,
        end_s=end_s,
        source=source,
    )
    lost = source.sample(_name_engines(), ENGINES // 3)

    def kill(cluster: Cluster) -> None:
        for name in lost:
            cluster.kill(name)

    records = deployed.send(plan, [(fault_s, kill)])
    running = [
        record
        for record in records
        if record["at_s"] < fault_s and (record["ended_s"] or end_s) > fault_s
    ]
    after = measures.select(records, Window(fault_s, end_s))
    completed = sum(record["outcome"] == measures.COMPLETED for record in running)
    return {
        "scenario": "third_lost",
        "generator_lag_p95_s": deployed.lag_p95_s,
        "load": load,
        "requests": len(after),
        "in_target_after": measures.measure_share_in_target(after, LIMITS),
        "recovery_s": measures.measure_recovery_s(
            records, LIMITS, fault_s=fault_s, end_s=end_s
        ),
        "running_at_loss": len(running),
        "running_completed": completed,
        "attempts_a_request": _count_attempts(after),
    }


def run_load_bench(bench: LoadBench) -> Iterator[dict[str, Any]]:
    """Run all scenarios and yield one result for each way of scheduling.

    Parameters
    ----------
    bench : LoadBench

    Yields
    ------
    dict
    """
    for seed in bench.seeds:
        for scheduling in bench.schedulings:
            for result in _run_scheduling(bench, scheduling, seed):
                yield {"scheduling": scheduling, "seed": seed, **result}


def _run_scheduling(
    bench: LoadBench, scheduling: str, seed: int
) -> Iterator[dict[str, Any]]:
    with Cluster() as cluster:
        _start(cluster, scheduling, seed)
        deployed = Deployed(cluster, seed)
        for load in bench.loads:
            yield measure_load(deployed, load, seed, bench.phase_s)
        yield measure_large_workspace(deployed, seed, bench.phase_s)
        yield measure_loss(deployed, seed, bench.phase_s)


def _start(cluster: Cluster, scheduling: str, seed: int) -> None:
    engines = [
        ServerSpec(
            name=name,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            options=(
                "--capacity",
                str(CAPACITY),
                "--step-ms",
                str(STEP_MS),
                "--full-step-ms",
                str(FULL_STEP_MS),
                "--max-waiting",
                "256",
            ),
        )
        for index, name in enumerate(_name_engines())
    ]
    instances = {
        name: DATA_CENTRES[index % len(DATA_CENTRES)]
        for index, name in enumerate(_name_instances())
    }
    deployment = _Deployment(
        region="sk-west",
        instances=instances,
        engines=engines,
        workspaces=tuple(WORKSPACE_LOADS),
        seed=seed,
        node_settings={"scheduling": scheduling},
    )
    start_deployment(cluster, deployment)
    time.sleep(SETTLE_S)


@attrs.frozen(kw_only=True)
class _Deployment(Deployment):
    def make_declaration(self) -> dict[str, Any]:
        return {**super().make_declaration(), "classes": CLASSES}


def _name_engines() -> list[str]:
    return [f"s{number:02d}" for number in range(ENGINES)]


def _name_instances() -> list[str]:
    return [f"n{number + 1}" for number in range(INSTANCES)]


def _sum_demands(records: Sequence[LoadRecord], window: Window) -> dict[str, float]:
    demands: dict[str, float] = {}
    for record in measures.select(records, window):
        asked = record["max_tokens"] / window.length_s
        demands[record["workspace"]] = demands.get(record["workspace"], 0.0) + asked
    return demands


def _divide(value: float | None, by: float | None) -> float | None:
    return round(value / by, 3) if value is not None and by else None


def _count_attempts(records: Sequence[LoadRecord]) -> float | None:
    if not records:
        return None
    return round(sum(record["attempts"] for record in records) / len(records), 3)


def main(arguments: Sequence[str]) -> None:
    """Run the bench and print one JSON line a result."""
    is_full = "--full" in arguments
    bench = LoadBench(
        loads=FULL_LOADS if is_full else SHORT_LOADS,
        seeds=range(1, 6) if is_full else (1,),
    )
    results = []
    for result in run_load_bench(bench):
        print(json.dumps(result), flush=True)
        results.append(result)
    if "--out" in arguments:
        path = pathlib.Path(arguments[arguments.index("--out") + 1])
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
