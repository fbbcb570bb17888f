"""Forecast of the wait for room at engines, and refusal by it.

Designed for an overload that lasts: streams that wait for most of their timeout and are
refused then have kept their callers from asking again, and were in the way of others.
By Little's law, engines free the memory in use once in the time that a run takes.
"""

from __future__ import annotations

import random
from typing import NamedTuple

RETRY_SPREAD_SHARE = 0.25  # of the forecast, so that callers don't return together
RETRY_RANK_SHARE = 0.25  # of the forecast, for each rank that goes before
MIN_RETRY_AFTER_S = 0.5
# Callers of streams leave before the first event after the longest of these.
PATIENCE_TARGETS = 4.0  # multiple of the target for the first event
PATIENCE_GAPS = 8.0  # multiple of the target for gaps
MIN_PATIENCE_S = 2.0


class WaitForecast(NamedTuple):
    """Forecast of the wait of a stream, and what it rests on.

    Parameters
    ----------
    wait_s : float
        Time until it has room.
    ahead_tokens : int
        Engine memory that goes to streams before it.
    freed_tokens_per_s : float
        Rate at which engine memory is freed.
    """

    wait_s: float
    ahead_tokens: int
    freed_tokens_per_s: float

    def is_in_vain(self, *, remaining_s: float) -> bool:
        """Return whether the stream gets room after the latest time for it.

        Parameters
        ----------
        remaining_s : float
            Time until the latest time at which its caller is still served.
        """
        return self.wait_s > remaining_s


def estimate_freed_tokens_per_s(*, run_tokens: int, run_s: float) -> float | None:
    """Return the rate at which engines free memory, tokens per second.

    Parameters
    ----------
    run_tokens : int
        Memory of all runs on the engines of a service.
    run_s : float
        Average time from sending a request to the end of its stream; 0 if unknown.

    Returns
    -------
    float or None
        None if unknown; nothing is refused then.
    """
    return run_tokens / run_s if run_s > 0.0 and run_tokens > 0 else None


def forecast_wait(
    *, ahead_tokens: int, tokens: int, freed_tokens_per_s: float
) -> WaitForecast:
    """Return when a stream has room.

    Parameters
    ----------
    ahead_tokens : int
        Engine memory that streams before it require, here and at other instances.
    tokens : int
        Engine memory that it requires.
    freed_tokens_per_s : float
        See `estimate_freed_tokens_per_s`.
    """
    wait_s = (ahead_tokens + tokens) / freed_tokens_per_s
    return WaitForecast(wait_s, ahead_tokens, freed_tokens_per_s)


def limit_patience_s(
    *, remaining_s: float, waited_s: float, target_s: float, gap_s: float
) -> float:
    """Return how much longer a caller waits for its first event, seconds.

    Parameters
    ----------
    remaining_s : float
        Time until the latest time at which its stream may start.
    waited_s : float
        Time since the request arrived.
    target_s : float
        Target for the first event; infinite for none.
    gap_s : float
        Target for gaps; 0 for none.
    """
    patience_s = max(MIN_PATIENCE_S, PATIENCE_TARGETS * target_s, PATIENCE_GAPS * gap_s)
    return min(remaining_s, patience_s - waited_s)


def choose_retry_after_s(
    forecast: WaitForecast, *, rank: int, rng: random.Random
) -> float:
    """Return when a refused caller may ask again, seconds.

    That is when it would have been served, later for less urgent ranks, and spread so
    that those who were refused together don't return together.

    Parameters
    ----------
    forecast : WaitForecast
    rank : int
        0 is the most urgent.
    rng : random.Random
    """
    spread = RETRY_RANK_SHARE * rank + RETRY_SPREAD_SHARE * rng.random()
    return max(MIN_RETRY_AFTER_S, forecast.wait_s) * (1.0 + spread)
