"""Deployment of the load benchmark, and the plans that are sent to it."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from ebonyhaven_standins.bench._load_plans import (
    INSTANCE_COUNT,
    WORKSPACE_LOAD_SHARES,
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

ENGINE_COUNT = 20
ENGINE_CAPACITY_STREAMS = 8
MIN_DECODE_STEP_MS = 40.0  # with one stream
FULL_BATCH_DECODE_STEP_MS = 56.0
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
SETTLING_TIME_S = 3.0
RUN_TIMEOUT_S = 180.0


class DeploymentUnderTest:
    """A started deployment that sends plans to its instances.

    Parameters
    ----------
    cluster : Cluster
    seed : int

    Attributes
    ----------
    lag_p95_s : float
        95th percentile of the timer delay in the load generator during the last
        plan, seconds. It limits the accuracy of the figures of that plan.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self._seed = seed
        self._plan_count = 0
        self.lag_p95_s = 0.0

    def run_plan(
        self,
        plan: Sequence[PlannedRequest],
        actions: Sequence[tuple[float, Callable[[Cluster], None]]] = (),
    ) -> list[LoadRecord]:
        """Send the requests of a plan and return their records.

        Parameters
        ----------
        plan : sequence of PlannedRequest
        actions : sequence of tuple of float and callable
            Seconds after the start, and a function that is called at that time.
        """
        folder = self.cluster.folder
        self._plan_count += 1
        plan_path = folder / f"plan{self._plan_count}.json"
        out_path = folder / f"records{self._plan_count}.json"
        addresses = [self.cluster.addresses[name] for name in list_instance_names()]
        # A reused idempotency key would match a finished run of an earlier plan.
        seed = 1000 * self._seed + self._plan_count
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
                child.wait(RUN_TIMEOUT_S)
            finally:
                child.kill()
        content = json.loads(out_path.read_text())
        self.lag_p95_s = content["lag_p95_s"]
        return content["records"]


def start_cluster(cluster: Cluster, scheduling: str, seed: int) -> None:
    """Start the deployment of the benchmark and wait until it has settled.

    Parameters
    ----------
    cluster : Cluster
    scheduling : str
        Scheduling algorithm of the nodes.
    seed : int
    """
    engines = [
        ServerSpec(
            name=name,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            options=(
                "--capacity",
                str(ENGINE_CAPACITY_STREAMS),
                "--step-ms",
                str(MIN_DECODE_STEP_MS),
                "--full-step-ms",
                str(FULL_BATCH_DECODE_STEP_MS),
                "--max-waiting",
                "256",
            ),
        )
        for index, name in enumerate(list_engine_names())
    ]
    instances = {
        name: DATA_CENTRES[index % len(DATA_CENTRES)]
        for index, name in enumerate(list_instance_names())
    }
    deployment = _LoadDeployment(
        region="sk-west",
        instances=instances,
        engines=engines,
        workspaces=tuple(WORKSPACE_LOAD_SHARES),
        seed=seed,
        node_settings={"scheduling": scheduling},
    )
    start_deployment(cluster, deployment)
    time.sleep(SETTLING_TIME_S)


@attrs.frozen(kw_only=True)
class _LoadDeployment(Deployment):
    def make_declaration(self) -> dict[str, Any]:
        return {**super().make_declaration(), "classes": CLASSES}


def list_engine_names() -> list[str]:
    """Return the names of all engines."""
    return [f"s{number:02d}" for number in range(ENGINE_COUNT)]


def list_instance_names() -> list[str]:
    """Return the names of all instances."""
    return [f"n{number + 1}" for number in range(INSTANCE_COUNT)]
