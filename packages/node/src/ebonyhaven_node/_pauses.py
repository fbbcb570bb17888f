"""Detection of pauses of this process."""

from __future__ import annotations

import time

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

TICK_INTERVAL_S = 0.5
PAUSE_THRESHOLD_S = 2.0


class PauseDetector:
    """Detects when the last pause of this process ended.

    If the process is stopped or its reactor is blocked, the next tick of a timer is
    late. `find_pause_end` also detects a tick that is overdue but has not run yet,
    since the reactor may handle input before timers after a pause.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_last_tick_at", "_loop", "_pause_ended_at")

    def __init__(self, reactor: IReactorTime):
        self._last_tick_at = time.monotonic()
        self._pause_ended_at = float("-inf")
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start the timer."""
        self._last_tick_at = time.monotonic()
        self._loop.start(TICK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop the timer."""
        if self._loop.running:
            self._loop.stop()

    def find_pause_end(self) -> float:
        """Return the monotonic time in seconds at which the last pause ended.

        Returns
        -------
        float
            Minus infinity if there was no pause.
        """
        now = time.monotonic()
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self._pause_ended_at = now
        return self._pause_ended_at

    def _tick(self) -> None:
        self.find_pause_end()
        self._last_tick_at = time.monotonic()
