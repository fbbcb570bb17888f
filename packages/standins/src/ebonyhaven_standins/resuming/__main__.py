"""Plays each way at several loads and writes the results."""

from __future__ import annotations

import json
import logging
import pathlib

import structlog

from ebonyhaven_standins.resuming._experiment import Outcome, Way, play

LOADS_PER_S = (2.0, 5.0, 8.0, 12.0)
RESULTS = pathlib.Path("bench/results/resuming.json")


def main() -> None:
    """Print one line a run and write all of them as JSON."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    outcomes: list[Outcome] = []
    for per_s in LOADS_PER_S:
        for way in Way:
            outcome = play(way, per_s)
            outcomes.append(outcome)
            print(json.dumps(outcome._asdict()), flush=True)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    document = [outcome._asdict() for outcome in outcomes]
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
