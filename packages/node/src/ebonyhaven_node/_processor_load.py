"""Load of this instance, measured as its share of a processor core."""

from __future__ import annotations

import time
from collections.abc import Callable

SAMPLE_INTERVAL_S = 1.0
SMOOTHING_FACTOR = 0.3


class ProcessorLoad:
    """Smoothed share of one processor core used by this process.

    An instance handles all requests in one thread, so its capacity is exhausted
    when it uses one core fully.

    Parameters
    ----------
    clock, processor_clock : callable
        Return elapsed time and processor time in seconds.
    """

    __slots__ = ("_clock", "_processor_clock", "_sampled_at", "_share", "_used_s")

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        processor_clock: Callable[[], float] = time.process_time,
    ):
        self._clock = clock
        self._processor_clock = processor_clock
        self._sampled_at = clock()
        self._used_s = processor_clock()
        self._share = 0.0

    def read(self) -> float:
        """Return the share, 0 to 1, sampled once per ``SAMPLE_INTERVAL_S`` at most.

        Returns
        -------
        float
        """
        now = self._clock()
        elapsed_s = now - self._sampled_at
        if elapsed_s < SAMPLE_INTERVAL_S:
            return self._share
        used_s = self._processor_clock()
        share = (used_s - self._used_s) / elapsed_s
        self._sampled_at = now
        self._used_s = used_s
        self._share += SMOOTHING_FACTOR * (min(1.0, share) - self._share)
        return self._share
