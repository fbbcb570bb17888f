"""Noticing that this process was paused."""

from __future__ import annotations

import time

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

TICK_INTERVAL_S = 0.5
PAUSE_THRESHOLD_S = 2.0


class PauseDetector:
    """Tells when this process last woke from a pause.

    A process that was stopped, or whose reactor was blocked, sees its own ticks
    come late. The check also counts a tick that is overdue at the time of asking,
    since input may be handled before timers after a pause.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_last_tick_at", "_loop", "_woke_at")

    def __init__(self, reactor: IReactorTime):
        self._last_tick_at = time.monotonic()
        self._woke_at = float("-inf")
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start to tick."""
        self._last_tick_at = time.monotonic()
        self._loop.start(TICK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stop to tick."""
        if self._loop.running:
            self._loop.stop()

    def find_pause_end(self) -> float:
        """Return the monotonic time of the last wake from a pause, seconds.

        Returns
        -------
        float
            Minus infinity if there was none.
        """
        now = time.monotonic()
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self._woke_at = now
        return self._woke_at

    def _tick(self) -> None:
        self.find_pause_end()
        self._last_tick_at = time.monotonic()
