"""Processor time of control messages, scheduling decisions and metrics scrapes."""

from __future__ import annotations

import random
import time
from typing import Any

from ebonyhaven_decisions import (
    ClassTargets,
    Locality,
    SchedulingAlgorithm,
    WorkItem,
    build_scheduler,
    derive_policies,
)
from prometheus_client import CollectorRegistry, generate_latest
from twisted.internet import defer, task

from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._memory import (
    NOW_S,
    WORKSPACE_COUNTS,
    make_server,
    observe_workspaces,
)
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

MESSAGE_COUNTS = (500, 1000, 2000, 4000)
DECISION_COUNTS = (500, 1000, 2000, 4000)
BACKEND_SERVERS = 730
MESSAGES_PER_ITERATION = 4
HEARTBEAT_PAYLOAD = [0, 1234567890, {}]


def measure_messages() -> list[Measurement]:
    """Measure the processor time of a heartbeat, sent and received in one process."""
    points: list[Point] = []

    async def run(reactor: Any) -> None:
        from ebonyhaven_node._channel_metrics import ChannelMetrics
        from ebonyhaven_node._channels import Channels
        from ebonyhaven_node._frames import Frame, FrameKind

        received: list[object] = []
        addresses = [allocate_address(), allocate_address()]
        sender, receiver = (
            Channels(
                reactor=reactor,
                address=address,
                metrics=ChannelMetrics(CollectorRegistry()),
                rng=random.Random(1),
            )
            for address in addresses
        )
        receiver.subscribe(FrameKind.HEARTBEAT, received.append)
        frame = Frame(
            FrameKind.HEARTBEAT, "instance-0001", 1_796_330_000_000, HEARTBEAT_PAYLOAD
        )
        for count in (100, *MESSAGE_COUNTS):
            received.clear()
            before = time.process_time()
            for sent in range(0, count, MESSAGES_PER_ITERATION):
                for _ in range(MESSAGES_PER_ITERATION):
                    sender.send(addresses[1], frame)
                while len(received) < sent + MESSAGES_PER_ITERATION:
                    await task.deferLater(reactor, 0)
            points.append(Point(count, 1e6 * (time.process_time() - before)))
        sender.close()
        receiver.close()

    try:
        task.react(lambda reactor: defer.Deferred.fromCoroutine(run(reactor)))
    except SystemExit as error:
        if error.code:
            raise
    return [make_measurement("message_cpu", points[1:])]


def measure_routing() -> list[Measurement]:
    """Measure the processor time to admit, queue and route a request."""
    targets = {
        "look-up": ClassTargets(500, 62, 1000),
        "analysis": ClassTargets(8000, 100, 2000, 60000),
    }
    points = []
    for count in (100, *DECISION_COUNTS):
        scheduler = build_scheduler(
            SchedulingAlgorithm.FAIR,
            derive_policies(targets),
            locality=Locality("data-centre-0", "region-0"),
            random_source=random.Random(1),
            now=NOW_S,
        )
        table = scheduler.dispatcher.table
        table.replace([make_server(number) for number in range(BACKEND_SERVERS)])
        before = time.process_time()
        for number in range(count):
            _schedule_request(scheduler, number)
        points.append(Point(count, 1e6 * (time.process_time() - before)))
    return [make_measurement("routing_cpu", points[1:])]


def _schedule_request(scheduler: Any, number: int) -> None:
    now = NOW_S + number / 20.0
    item = WorkItem(
        item_id=str(number),
        workspace=f"workspace-{number % 920:04d}",
        class_name="look-up" if number % 12 else "analysis",
        model="model-0",
        prompt_tokens=100,
        max_tokens=100,
        arrival=now,
    )
    scheduler.submit(item, now)
    for dispatch in scheduler.collect_decisions(now).dispatches:
        scheduler.dispatcher.record_first_token(dispatch.item.item_id, now + 0.1)
        scheduler.dispatcher.record_end(dispatch.item.item_id, now + 0.2)


def measure_scrape() -> list[Measurement]:
    """Measure the processor time to render the metrics, per workspace."""
    from ebonyhaven_node._metrics import RelayMetrics

    points = []
    for count in WORKSPACE_COUNTS:
        registry = CollectorRegistry()
        observe_workspaces(RelayMetrics(registry), count)
        generate_latest(registry)
        before = time.process_time()
        generate_latest(registry)
        points.append(Point(count, 1e6 * (time.process_time() - before)))
    return [make_measurement("scrape_cpu", points)]
