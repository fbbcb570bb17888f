"""Memory of finished runs that a node keeps for resubmitted requests."""

from __future__ import annotations

import functools

from ebonyhaven_standins.slopes._fits import Point
from ebonyhaven_standins.slopes._memory import measure_allocated_bytes
from ebonyhaven_standins.slopes._quantities import Measurement, make_measurement

KEY_COUNTS = (50, 100, 200, 400)
TOKEN_COUNTS = (1000, 2000, 4000, 8000)
PROMPT_CHARACTERS = 400
TOKENS_PER_RUN = 0  # the memory of tokens is measured separately


def _build_run(number: int, tokens: int) -> object:
    from ebonyhaven_node._requests import GenerationRequest
    from ebonyhaven_node._runs import Run

    request = GenerationRequest(
        workspace="studio-a",
        class_name="analysis",
        key=f"key-{number:032d}",
        repeatable=True,
        first_submission=False,
        model="dossier",
        prompt=f"File {number}. ".ljust(PROMPT_CHARACTERS, "x"),
        adapter=None,
        max_tokens=tokens,
        last_event=None,
        received=None,
    )
    run = Run(request=request, generation=f"{number:08x}")
    run.append([f"0123456789ab:{offset} " for offset in range(tokens)], server="s1")
    run.complete("length")
    return run


def build_registry(count: int) -> object:
    """Return a registry of ``count`` finished runs without tokens."""
    from ebonyhaven_node._runs import RunRegistry

    registry = RunRegistry()
    for number in range(count):
        registry.add(_build_run(number, TOKENS_PER_RUN))
    return registry


def measure_kept_runs() -> list[Measurement]:
    """Measure the bytes per kept run without its tokens, and per kept token."""
    keys: list[Point] = measure_allocated_bytes(build_registry, KEY_COUNTS)
    tokens = measure_allocated_bytes(functools.partial(_build_run, 1), TOKEN_COUNTS)
    return [
        make_measurement("key_memory", keys),
        make_measurement("token_memory", tokens),
    ]
