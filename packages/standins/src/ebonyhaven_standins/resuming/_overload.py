"""Simulation of a burst of streams that meets fewer and slower engines."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import NamedTuple

from ebonyhaven_standins.resuming._callers import SimulatedStream
from ebonyhaven_standins.resuming._simulation import RecoveryStrategy, Simulation

DURATION_S = 50.0
USUAL_STREAMS_PER_S = 5.0
BURST_STREAMS_PER_S = 15.0
BURST_START_S, BURST_END_S = 5.0, 15.0
LOSS_S = 5.5
UNLISTED_S = 8.5  # a lost engine stays listed for some heartbeats
LOST_ENGINES = 4
SLOW_START_S, SLOW_END_S = 9.0, 17.0
SLOW_ENGINES = 5
SLOWNESS = 4.0
OVERLOAD_END_S = max(BURST_END_S, SLOW_END_S)
WINDOW_S = 2.0


class OverloadResult(NamedTuple):
    """Result of one run.

    Parameters
    ----------
    streams : int
        Number of streams.
    in_time : float
        Share of the streams that met the targets for first event and gaps.
    whole : float
        Share of the streams that completed.
    windows : tuple of float
        Share in time of the streams that arrived within each `WINDOW_S`.
    read_again_tokens : int
        Prompt tokens that were prefilled again.
    """

    streams: int
    in_time: float
    whole: float
    windows: tuple[float, ...]
    read_again_tokens: int


def run_overload(*, seed: int = 1, duration_s: float = DURATION_S) -> OverloadResult:
    """Run the simulation once.

    Parameters
    ----------
    seed : int
        Seed of the random number generators.
    duration_s : float
        Simulated seconds in which streams start.

    Returns
    -------
    OverloadResult
    """
    simulation = Simulation(RecoveryStrategy.COPY, seed)
    engines = list(simulation.fleet.engines)
    simulation.rng.shuffle(engines)
    lost = engines[:LOST_ENGINES]
    slow = engines[LOST_ENGINES : LOST_ENGINES + SLOW_ENGINES]

    def crash() -> None:
        for engine in lost:
            engine.crash()

    def unlist() -> None:
        for engine in lost:
            simulation.remove_engine(engine.name)

    def set_slowness(slowness: float) -> None:
        for engine in slow:
            engine.slowness = slowness

    simulation.run(
        duration_s=duration_s,
        read_rate=_read_rate,
        events=(
            (LOSS_S, crash),
            (UNLISTED_S, unlist),
            (SLOW_START_S, lambda: set_slowness(SLOWNESS)),
            (SLOW_END_S, lambda: set_slowness(1.0)),
        ),
    )
    return _summarize(simulation, duration_s)


def _read_rate(at_s: float) -> float:
    is_burst = BURST_START_S <= at_s < BURST_END_S
    return BURST_STREAMS_PER_S if is_burst else USUAL_STREAMS_PER_S


def _summarize(simulation: Simulation, duration_s: float) -> OverloadResult:
    streams = simulation.streams
    windows = []
    for number in range(int(duration_s / WINDOW_S)):
        arrived = [
            item
            for item in streams
            if number <= simulation.read_start(item) / WINDOW_S < number + 1
        ]
        windows.append(_share_in_time(arrived))
    return OverloadResult(
        streams=len(streams),
        in_time=_share_in_time(streams),
        whole=round(statistics.mean(item.is_complete for item in streams), 3),
        windows=tuple(windows),
        read_again_tokens=simulation.fleet.repeated_prefill_tokens,
    )


def _share_in_time(streams: Sequence[SimulatedStream]) -> float:
    if not streams:
        return 1.0
    return round(statistics.mean(item.meets_targets for item in streams), 3)
