"""Time and traffic until membership converges after losses, in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_decisions import MemberState

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._membership import MembershipSimulation, Traffic
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

INSTANCES = 390
RACK_INSTANCES = 10
SETTLING_TIME_S = 3.0
STEP_S = 0.25
CONVERGENCE_LIMIT_S = 30.0
PARTITION_S = 30.0
PARTITION_INSTANCE_COUNTS = (28, 70, 140)
FAILED_STATES = frozenset({MemberState.SUSPECT, MemberState.DEAD})
LIVE_STATES = frozenset({MemberState.LIVE})


class Convergence(NamedTuple):
    """Time until all membership views converge, and the traffic until then.

    ``seconds`` is `CONVERGENCE_LIMIT_S` if they do not converge before.
    ``messages`` is the mean number of messages that a running instance sends;
    ``bytes_per_s`` its mean send rate in the busiest `STEP_S` interval.
    """

    seconds: float
    messages: float
    bytes_per_s: float


def measure_losses() -> list[Measurement]:
    """Measure convergence after the loss of an instance, a rack and a data centre."""
    results = [_measure_loss(names) for names in _choose_lost_instances()]
    sizes = [len(names) for names in _choose_lost_instances()]
    return [
        make_measurement(
            f"loss_{key}",
            [
                Point(size, getattr(result, field))
                for size, result in zip(sizes, results, strict=True)
            ],
        )
        for key, field in (
            ("seconds", "seconds"),
            ("messages", "messages"),
            ("bytes", "bytes_per_s"),
        )
    ]


def measure_partition() -> list[Measurement]:
    """Measure the time to converge after a 30 s partition of two regions."""
    points = []
    for count in PARTITION_INSTANCE_COUNTS:
        simulation = MembershipSimulation(count)
        simulation.run(SETTLING_TIME_S)
        simulation.partitioned_regions.add(frozenset({"region-0", "region-1"}))
        simulation.run(PARTITION_S)
        simulation.partitioned_regions.clear()
        all_names = set(simulation.members)
        convergence = _measure_convergence(
            simulation,
            lambda s, names: s.count_diverging_views(names, LIVE_STATES),
            all_names,
        )
        points.append(Point(count, convergence.seconds))
    return [make_measurement("heal_seconds", points)]


def _choose_lost_instances() -> list[set[str]]:
    members = MembershipSimulation(INSTANCES).members
    data_centre_names = [
        name for name in members if members[name].data_centre.endswith("-3")
    ]
    return [
        set(data_centre_names[:1]),
        set(data_centre_names[:RACK_INSTANCES]),
        set(data_centre_names),
    ]


def _measure_loss(names: set[str]) -> Convergence:
    simulation = MembershipSimulation(INSTANCES)
    simulation.run(SETTLING_TIME_S)
    simulation.stopped |= names
    return _measure_convergence(
        simulation, lambda s, lost: s.count_diverging_views(lost, FAILED_STATES), names
    )


def _measure_convergence(
    simulation: MembershipSimulation,
    count_diverging: Callable[[MembershipSimulation, set[str]], int],
    names: set[str],
) -> Convergence:
    running = len(simulation.members) - len(simulation.stopped)
    traffic: list[Traffic] = []
    while (
        count_diverging(simulation, names)
        and len(traffic) * STEP_S < CONVERGENCE_LIMIT_S
    ):
        traffic.append(simulation.run(STEP_S))
    seconds = len(traffic) * STEP_S
    messages = sum(item.messages for item in traffic) / running
    peak = max((item.bytes for item in traffic), default=0) / STEP_S / running
    return Convergence(seconds, messages, peak)
