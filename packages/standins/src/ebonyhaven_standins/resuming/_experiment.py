"""Simulation of streams while data centres lose all their engines in turn."""

from __future__ import annotations

import statistics
from functools import partial
from typing import NamedTuple

from ebonyhaven_standins.resuming._simulation import (
    DATA_CENTRES,
    RecoveryStrategy,
    Simulation,
)

DURATION_S = 40.0
FIRST_CRASH_S = 4.0
CRASH_INTERVAL_S = 6.5
DOWNTIME_S = 1.2
SHORT_GAP_S = 0.2  # a shorter gap is no interruption


class ExperimentResult(NamedTuple):
    """Result of one run of the experiment.

    Parameters
    ----------
    way : str
        Value of the `RecoveryStrategy`.
    per_s : float
        Arrival rate, streams per second.
    streams : int
        Number of streams.
    in_time : float
        Share of the streams that completed without a restart and met the targets for
        the first event and for the gaps between events.
    whole : float
        Share of the streams that completed.
    pause_p50_s, pause_p95_s, pause_max_s : float
        Percentiles and maximum of the longest gap between events, over the streams
        with a gap of more than 0.2 s. Shorter gaps do not count as interruptions.
    moved_tokens : int
        Tokens whose key-value cache was copied between engines.
    read_again_tokens : int
        Prompt tokens that were prefilled again.
    """

    way: str
    per_s: float
    streams: int
    in_time: float
    whole: float
    pause_p50_s: float
    pause_p95_s: float
    pause_max_s: float
    moved_tokens: int
    read_again_tokens: int


def run_experiment(
    strategy: RecoveryStrategy,
    streams_per_s: float,
    *,
    seed: int = 1,
    duration_s: float = DURATION_S,
) -> ExperimentResult:
    """Run the experiment once.

    Parameters
    ----------
    strategy : RecoveryStrategy
    streams_per_s : float
        Mean arrival rate of streams per second.
    seed : int
        Seed of the random number generators.
    duration_s : float
        Simulated seconds in which streams start and data centres crash.

    Returns
    -------
    ExperimentResult
    """
    simulation = Simulation(strategy, seed)
    crash_at, crashes = FIRST_CRASH_S, []
    while crash_at < duration_s:
        data_centre = f"dc-{len(crashes) % DATA_CENTRES}"
        crashes.append(
            (
                crash_at,
                partial(simulation.fleet.crash_data_centre, data_centre, DOWNTIME_S),
            )
        )
        crash_at += CRASH_INTERVAL_S
    simulation.run(
        duration_s=duration_s, read_rate=lambda _: streams_per_s, events=crashes
    )
    return _summarize(simulation, strategy, streams_per_s)


def _summarize(
    simulation: Simulation, strategy: RecoveryStrategy, streams_per_s: float
) -> ExperimentResult:
    streams = simulation.streams
    long_gaps = [item.max_gap_s for item in streams if item.max_gap_s > SHORT_GAP_S]
    gaps = sorted(long_gaps) or [0.0]
    return ExperimentResult(
        way=strategy.value,
        per_s=streams_per_s,
        streams=len(streams),
        in_time=round(statistics.mean(item.meets_targets for item in streams), 3),
        whole=round(statistics.mean(item.is_complete for item in streams), 3),
        pause_p50_s=round(gaps[len(gaps) // 2], 3),
        pause_p95_s=round(gaps[int(0.95 * (len(gaps) - 1))], 3),
        pause_max_s=round(gaps[-1], 3),
        moved_tokens=simulation.fleet.copied_tokens,
        read_again_tokens=simulation.fleet.repeated_prefill_tokens,
    )
