"""What the loss of instances costs the others, on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_decisions import MemberState

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._membership import MembershipSimulation, Traffic
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

INSTANCES = 390
RACK_INSTANCES = 10
SETTLING_S = 3.0
STEP_S = 0.25
CONVERGENCE_LIMIT_S = 30.0
PARTITION_S = 30.0
PARTITION_INSTANCE_COUNTS = (28, 70, 140)
FAILED_STATES = frozenset({MemberState.SUSPECT, MemberState.DEAD})
LIVE_STATES = frozenset({MemberState.LIVE})


class Convergence(NamedTuple):
    """How long news took, and what each running instance sent meanwhile."""

    seconds: float
    messages: float
    bytes_per_s: float


def measure_losses() -> list[Measurement]:
    """Measure the loss of one instance, a rack and a data centre."""
    by_lost = [_measure_loss(names) for names in _choose_lost_instances()]
    sizes = [len(names) for names in _choose_lost_instances()]
    return [
        make_measurement(
            f"loss_{key}",
            [
                Point(size, getattr(spread, field))
                for size, spread in zip(sizes, by_lost, strict=True)
            ],
        )
        for key, field in (
            ("seconds", "seconds"),
            ("messages", "messages"),
            ("bytes", "bytes_per_s"),
        )
    ]


def measure_partition() -> list[Measurement]:
    """Measure two regions that lose each other for half a minute and meet again."""
    points = []
    for count in PARTITION_INSTANCE_COUNTS:
        group = MembershipSimulation(count)
        group.run(SETTLING_S)
        group.partitioned_regions.add(frozenset({"region-0", "region-1"}))
        group.run(PARTITION_S)
        group.partitioned_regions.clear()
        everyone = set(group.members)
        spread = _measure_convergence(
            group,
            lambda g, names: g.count_diverging_views(names, LIVE_STATES),
            everyone,
        )
        points.append(Point(count, spread.seconds))
    return [make_measurement("heal_seconds", points)]


def _choose_lost_instances() -> list[set[str]]:
    members = MembershipSimulation(INSTANCES).members
    centre = [name for name in members if members[name].data_centre.endswith("-3")]
    return [set(centre[:1]), set(centre[:RACK_INSTANCES]), set(centre)]


def _measure_loss(names: set[str]) -> Convergence:
    group = MembershipSimulation(INSTANCES)
    group.run(SETTLING_S)
    group.stopped |= names
    return _measure_convergence(
        group, lambda g, lost: g.count_diverging_views(lost, FAILED_STATES), names
    )


def _measure_convergence(
    group: MembershipSimulation,
    count_left: Callable[[MembershipSimulation, set[str]], int],
    names: set[str],
) -> Convergence:
    running = len(group.members) - len(group.stopped)
    spent: list[Traffic] = []
    while count_left(group, names) and len(spent) * STEP_S < CONVERGENCE_LIMIT_S:
        spent.append(group.run(STEP_S))
    seconds = len(spent) * STEP_S
    messages = sum(item.messages for item in spent) / running
    peak = max((item.bytes for item in spent), default=0) / STEP_S / running
    return Convergence(seconds, messages, peak)
