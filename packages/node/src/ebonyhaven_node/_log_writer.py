"""Log output that never blocks the process."""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog
from prometheus_client import CollectorRegistry, Gauge

MAX_BUFFER_BYTES = 256 * 1024  # about 1 s of lines at the highest rate
MAX_ROUTINE_LINES_PER_S = 400  # per process; a busy instance writes about a tenth
DRAIN_INTERVAL_S = 0.5  # each new line drains the buffer as well
ROUTINE_LEVELS = frozenset({"debug", "info"})


class BoundedLogWriter:
    """Writes lines to a descriptor without blocking.

    Lines are buffered while the descriptor accepts no data, and dropped when the
    buffer is full. Once the buffer is less than half full, the next line is preceded
    by one with the number of dropped lines.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.
    max_bytes : int
        Maximum size of the buffer.
    """

    def __init__(self, descriptor: int, *, max_bytes: int = MAX_BUFFER_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write or buffer a line, or drop it if the buffer is full.

        Parameters
        ----------
        text : str
            Line with its line break.
        """
        if self._unreported_drops and self._buffered_bytes < self._max_bytes // 2:
            count, self._unreported_drops = self._unreported_drops, 0
            self._append(f'{{"event": "log_lines_dropped", "count": {count}}}\n')
        self._append(text)
        self.drain()

    def flush(self) -> None:
        """Do nothing; the buffer is drained on every write and periodically."""

    def drain(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # the reading end is closed
                self._drop_buffer()
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _append(self, text: str) -> None:
        data = text.encode()
        if self._buffered_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _drop_buffer(self) -> None:
        self.dropped += len(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0


class RoutineLogLimiter:
    """Structlog processor that limits the rate of debug and info lines.

    Warnings and errors always pass, because they explain failures.

    Parameters
    ----------
    lines_per_s : int
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        lines_per_s: int = MAX_ROUTINE_LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._current_second = -1
        self._lines_in_second = 0
        self.dropped = 0
        self._unreported_drops = 0

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or drop it if the limit of this second is exceeded."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        if method in ROUTINE_LEVELS and self._lines_in_second >= self._lines_per_s:
            self.dropped += 1
            self._unreported_drops += 1
            raise structlog.DropEvent
        self._lines_in_second += 1
        if self._unreported_drops:
            event["routine_lines_dropped"], self._unreported_drops = (
                self._unreported_drops,
                0,
            )
        return event


class LogOutput:
    """Log output of the process, with the number of dropped lines.

    Parameters
    ----------
    writer : BoundedLogWriter
    limiter : RoutineLogLimiter
    """

    def __init__(self, writer: BoundedLogWriter, limiter: RoutineLogLimiter):
        self._writer = writer
        self._limiter = limiter

    def count_dropped_lines(self) -> int:
        """Return the number of lines dropped since the start of the process."""
        return self._writer.dropped + self._limiter.dropped

    def drain(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._writer.drain()

    def register_metric(self, registry: CollectorRegistry) -> None:
        """Register a metric of the number of dropped lines.

        Parameters
        ----------
        registry : CollectorRegistry
        """
        lost_lines = Gauge(
            "ebonyhaven_log_lines_lost",
            "Log lines that were not written since the start.",
            registry=registry,
        )
        lost_lines.set_function(self.count_dropped_lines)


def configure_logs(descriptor: int) -> LogOutput:
    """Configure structlog to write JSON lines to a descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.

    Returns
    -------
    LogOutput
        Its buffer has to be drained periodically.
    """
    writer = BoundedLogWriter(descriptor)
    limiter = RoutineLogLimiter()
    structlog.configure(
        processors=[
            limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=writer),
        cache_logger_on_first_use=True,
    )
    return LogOutput(writer, limiter)
