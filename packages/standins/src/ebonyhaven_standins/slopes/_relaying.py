"""Processor time and memory of a node that relays streams."""

from __future__ import annotations

import pathlib
import random
from typing import Any

from twisted.internet import defer, task

from ebonyhaven_standins.caller import Caller, CompletionRequest, HistoryWriter
from ebonyhaven_standins.cluster import Cluster
from ebonyhaven_standins.scenario import (
    ANALYSIS,
    Deployment,
    ServerSpec,
    start_deployment,
)
from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._process_usage import (
    read_processor_s,
    read_resident_bytes,
)
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

STREAMS_PER_BATCH = 48
ENGINE_COUNT = 4
TOKEN_COUNTS = (25, 50, 100, 200)
REPETITIONS = 2
OPEN_STREAM_COUNTS = (0, 32, 64, 96, 128)
OPENING_TIMEOUT_S = 30.0
PROMPT_CHARACTERS = 400
DECODE_STEP_MS = 50
_NODE_NAME = "n1"


def _make_deployment(engines: int, *options: str) -> Deployment:
    return Deployment(
        region="r1",
        instances={_NODE_NAME: "dc-a"},
        engines=[
            ServerSpec(name=f"s{number}", data_centre="dc-a", options=options)
            for number in range(engines)
        ],
        workspaces=["studio-a"],
    )


def _make_request(number: int, tokens: int) -> CompletionRequest:
    prompt = f"File {number} of {tokens}. ".ljust(PROMPT_CHARACTERS, "x")
    return CompletionRequest(
        workspace="studio-a",
        request_class=ANALYSIS,
        prompt=prompt,
        max_tokens=tokens,
    )


def _make_caller(reactor: Any, cluster: Cluster) -> Caller:
    return Caller(
        reactor=reactor,
        bootstrap_addresses=[cluster.addresses[_NODE_NAME]],
        history=HistoryWriter(pathlib.Path("/dev/null")),
        rng=random.Random(1),
    )


def measure_relaying() -> list[Measurement]:
    """Measure processor time per token and per request, at the engines' token rate.

    Both values come from one fit: the slope and the intercept of the processor time
    per request against the length of the answers.
    """
    points: list[Point] = []

    async def run(reactor: Any) -> None:
        with Cluster() as cluster:
            start_deployment(cluster, _make_deployment(ENGINE_COUNT))
            await _run_batch(reactor, cluster, TOKEN_COUNTS[0])
            for tokens in TOKEN_COUNTS * REPETITIONS:
                processor_s = await _run_batch(reactor, cluster, tokens)
                points.append(Point(tokens, 1e6 * processor_s / STREAMS_PER_BATCH))

    _run_reactor(run)
    points.sort()
    request_points = list(points)
    return [
        make_measurement("token_cpu", points),
        make_measurement("request_cpu", request_points),
    ]


async def _run_batch(reactor: Any, cluster: Cluster, tokens: int) -> float:
    process_id = cluster.child(_NODE_NAME).process_id
    caller = _make_caller(reactor, cluster)
    before = read_processor_s(process_id)
    number = random.getrandbits(32)
    requests = [_make_request(number + i, tokens) for i in range(STREAMS_PER_BATCH)]
    records = await defer.gatherResults([caller.complete(item) for item in requests])
    processor_s = read_processor_s(process_id) - before
    if any(record["outcome"] != "completed" for record in records):
        raise RuntimeError("a request of the benchmark did not complete")
    return processor_s


def measure_streams() -> list[Measurement]:
    """Measure the resident memory per open stream."""
    points: list[Point] = []
    options = ("--capacity", "64", "--step-ms", str(DECODE_STEP_MS))
    options += ("--full-step-ms", str(DECODE_STEP_MS))

    async def run(reactor: Any) -> None:
        with Cluster() as cluster:
            start_deployment(cluster, _make_deployment(ENGINE_COUNT, *options))
            process_id = cluster.child(_NODE_NAME).process_id
            caller = _make_caller(reactor, cluster)
            opened = 0
            for count in OPEN_STREAM_COUNTS:
                for number in range(opened, count):
                    caller.complete(_make_request(number, 10_000))
                opened = count
                await _wait_for_streams(reactor, caller, count)
                points.append(Point(count, read_resident_bytes(process_id)))

    _run_reactor(run)
    return [make_measurement("stream_memory", points)]


async def _wait_for_streams(reactor: Any, caller: Caller, count: int) -> None:
    deadline = reactor.seconds() + OPENING_TIMEOUT_S
    while sum(bool(record["tokens"]) for record in caller.open_records) < count:
        if reactor.seconds() > deadline:
            raise RuntimeError(
                f"{count} streams did not open within {OPENING_TIMEOUT_S} s"
            )
        await task.deferLater(reactor, 0.1)


def _run_reactor(run: Any) -> None:
    try:
        task.react(lambda reactor: defer.Deferred.fromCoroutine(run(reactor)))
    except SystemExit as error:
        if error.code:
            raise
