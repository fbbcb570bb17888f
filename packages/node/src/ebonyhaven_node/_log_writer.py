"""Log lines that never hold up the process that writes them."""

from __future__ import annotations

import logging
import os
import time
from collections import deque
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog
from prometheus_client import CollectorRegistry, Gauge

MAX_BUFFER_BYTES = 256 * 1024  # a second or so of lines at the highest rate
ROUTINE_LINES_PER_S = 400  # per process; a busy instance needs about a tenth
DRAIN_INTERVAL_S = 0.5  # lines that wait also leave with the next line
ROUTINE_LEVELS = frozenset({"debug", "info"})


class BoundedLogWriter:
    """Writes lines to a descriptor without waiting for its reader.

    Lines that the reader does not take are kept up to a bound and then dropped;
    the next line that gets through tells how many.

    Parameters
    ----------
    descriptor : int
        It is made non-blocking.
    max_bytes : int
        Bound on what is kept.
    """

    def __init__(self, descriptor: int, *, max_bytes: int = MAX_BUFFER_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._untold = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take one line, or drop it.

        Parameters
        ----------
        text : str
            With its line end.
        """
        if self._untold and self._waiting_bytes < self._max_bytes // 2:
            count, self._untold = self._untold, 0
            self._keep(f'{{"event": "log_lines_dropped", "count": {count}}}\n')
        self._keep(text)
        self.drain()

    def flush(self) -> None:
        """Do nothing; lines leave as soon as the reader takes them."""

    def drain(self) -> None:
        """Hand over as much as the reader takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # nobody reads any more
                self._drop_all()
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _keep(self, text: str) -> None:
        data = text.encode()
        if self._waiting_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            self._untold += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _drop_all(self) -> None:
        self.dropped += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0


class RoutineLogLimiter:
    """Processor of structlog that bounds routine lines a second.

    Warnings and errors always pass; they are what explains a failure.

    Parameters
    ----------
    lines_per_s : int
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        lines_per_s: int = ROUTINE_LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = -1
        self._count = 0
        self.dropped = 0
        self._untold = 0

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or drop it if there were too many this second."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._count = second, 0
        if method in ROUTINE_LEVELS and self._count >= self._lines_per_s:
            self.dropped += 1
            self._untold += 1
            raise structlog.DropEvent
        self._count += 1
        if self._untold:
            event["routine_lines_dropped"], self._untold = self._untold, 0
        return event


class LogOutput:
    """Lines that were not written, whatever the reason.

    Parameters
    ----------
    writer : BoundedLogWriter
    limit : RoutineLogLimiter
    """

    def __init__(self, writer: BoundedLogWriter, limit: RoutineLogLimiter):
        self._writer = writer
        self._limit = limit

    def count(self) -> int:
        """Return the lines lost since the start of the process."""
        return self._writer.dropped + self._limit.dropped

    def drain(self) -> None:
        """Hand over what waits for the reader."""
        self._writer.drain()

    def register_metric(self, registry: CollectorRegistry) -> None:
        """Show the count as a metric.

        Parameters
        ----------
        registry : CollectorRegistry
        """
        lost = Gauge(
            "ebonyhaven_log_lines_lost",
            "Log lines that were not written since the start.",
            registry=registry,
        )
        lost.set_function(self.count)


def configure_logs(descriptor: int) -> LogOutput:
    """Let structlog write JSON lines to a descriptor, bounded and without waiting.

    Parameters
    ----------
    descriptor : int
        It is made non-blocking.

    Returns
    -------
    LogOutput
        To be drained now and then.
    """
    writer = BoundedLogWriter(descriptor)
    limit = RoutineLogLimiter()
    structlog.configure(
        processors=[
            limit,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=writer),
        cache_logger_on_first_use=True,
    )
    return LogOutput(writer, limit)
