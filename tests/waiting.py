"""Polls conditions in tests."""

from __future__ import annotations

import time
from collections.abc import Callable

TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02


def wait_until(condition: Callable[[], bool], *, timeout_s: float = TIMEOUT_S) -> float:
    """Poll until a condition is true.

    Parameters
    ----------
    condition : callable
        Predicate without arguments.
    timeout_s : float
        Seconds after which the wait fails.

    Returns
    -------
    float
        Seconds until the condition was true.

    Raises
    ------
    AssertionError
        If the condition was not true in time.
    """
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < timeout_s, "condition not met in time"
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started
