"""Waiting for conditions with a generous deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

DEADLINE_S = 60.0
PAUSE_S = 0.02


def wait_until(
    condition: Callable[[], bool], *, deadline_s: float = DEADLINE_S
) -> float:
    """Poll until a condition holds and return the seconds that it took."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < deadline_s, "not reached in time"
        time.sleep(PAUSE_S)
    return time.monotonic() - started
