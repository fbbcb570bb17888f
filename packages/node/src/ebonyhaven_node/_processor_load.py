"""Load of this instance, as the share of a core that it uses."""

from __future__ import annotations

import time
from collections.abc import Callable

SAMPLE_INTERVAL_S = 1.0
SMOOTHING = 0.3


class ProcessorLoad:
    """Smoothed share of one core that this process uses.

    All requests of an instance share one thread, so a full core is a full
    instance.

    Parameters
    ----------
    clock, processor_clock : callable
        Return seconds of elapsed and of processor time.
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
        """Return the share, 0 to 1; samples at most once a second.

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
        self._share += SMOOTHING * (min(1.0, share) - self._share)
        return self._share
