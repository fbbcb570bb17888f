"""Part of an instance in room that is scarce.

Designed for engines that come back one by one while many instances have streams that
wait: all of them see the same engine with room, and each sends its streams there
before any report tells that it is full. Instances take the room in rounds, each in
proportion to what waits there, so that all together they expect to send what the
engines have room for.
"""

from __future__ import annotations

import math
import random

ROUND_S = 0.25  # until reports tell what was sent in the round before


class ScarceRoom:
    """Places that this instance may take in the present round, for one service."""

    __slots__ = ("_left", "_round_at")

    def __init__(self) -> None:
        self._left = 0
        self._round_at = -math.inf

    def acquire(
        self,
        *,
        places: int,
        waiting_here: int,
        waiting_elsewhere: float,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Take a place for a stream, and return whether it may be sent.

        Parameters
        ----------
        places : int
            Streams that the engines have room for.
        waiting_here : int
            Streams that wait at this instance, with the one that asks.
        waiting_elsewhere : float
            Estimate of those that wait at all others.
        now : float
            Seconds.
        rng : random.Random
        """
        waiting = waiting_here + waiting_elsewhere
        if places >= waiting:
            return True
        if now - self._round_at >= ROUND_S:
            self._round_at = now
            self._left = _round_at_random(places * waiting_here / waiting, rng)
        if self._left <= 0:
            return False
        self._left -= 1
        return True


def count_places(
    *,
    free_tokens: float,
    tokens: int,
    queue_s: float,
    prompt_s: float,
    remaining_s: float,
) -> int:
    """Return how many streams like one that has room an engine could take.

    Parameters
    ----------
    free_tokens : float
        Engine memory that the stream and those like it may use.
    tokens : int
        Engine memory that each requires.
    queue_s : float
        Time to prefill the prompts queued on the engine.
    prompt_s : float
        Time to prefill one prompt.
    remaining_s : float
        Time until the stream misses its target; infinite for none.

    Returns
    -------
    int
        At least 1.
    """
    by_memory = free_tokens / tokens if tokens else math.inf
    by_time = (remaining_s - queue_s) / prompt_s if prompt_s else math.inf
    return max(1, int(min(by_memory, by_time, 1e6)))


def _round_at_random(value: float, rng: random.Random) -> int:
    whole = int(value)
    return whole + (rng.random() < value - whole)
