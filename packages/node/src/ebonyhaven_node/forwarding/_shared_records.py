"""Records in the store that one instance writes and each reads when it starts."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding.interfaces import RecordStoreError

RETRY_INTERVAL_S = 1.0

_log = structlog.get_logger()


class SharedRecorder(abc.ABC):
    """Keeps records in case all instances are lost at once.

    Parameters
    ----------
    name : str
        Of the records, in log events.
    write_delay_s : float
        Time in which changes are batched, seconds.
    reactor : IReactorTime

    Attributes
    ----------
    has_read : bool
        Whether the records of the time before were read.
    """

    def __init__(self, *, name: str, write_delay_s: float, reactor: IReactorTime):
        self.has_read = False
        self._name = name
        self._write_delay_s = write_delay_s
        self._reactor = reactor
        self._is_recorder: Callable[[], bool] = lambda: False
        self._write_timer: Any = None
        self._read_timer: Any = None

    @abc.abstractmethod
    async def read(self) -> None:
        """Add the records of the time before to what is known.

        Raises
        ------
        RecordStoreError
        """

    @abc.abstractmethod
    def is_due(self) -> bool:
        """Return whether there is something to write."""

    @abc.abstractmethod
    async def write(self) -> None:
        """Write the records.

        Raises
        ------
        RecordStoreError
            The write may have been applied nevertheless.
        """

    def start(self, is_recorder: Callable[[], bool]) -> None:
        """Read what is recorded, until that has succeeded once.

        Parameters
        ----------
        is_recorder : callable
            Returns whether this instance is the one that writes.
        """
        self._is_recorder = is_recorder
        self._start_read()

    def stop(self) -> None:
        """Cancel scheduled reads and writes."""
        for timer in (self._write_timer, self._read_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def schedule_write(self) -> None:
        """Write what is new soon, if this instance is the one that writes."""
        self._schedule_write(self._write_delay_s)

    def _schedule_write(self, delay_s: float) -> None:
        if self._write_timer is None or not self._write_timer.active():
            self._write_timer = self._reactor.callLater(delay_s, self._start_write)

    def _start_write(self) -> None:
        if self._is_recorder() and self.is_due():
            writing = ensureDeferred(self.write())
            writing.addErrback(self._handle_write_failure)

    def _handle_write_failure(self, failure: Any) -> None:
        self._log_failure(failure, "write")
        self._schedule_write(RETRY_INTERVAL_S)

    def _start_read(self) -> None:
        reading = ensureDeferred(self.read())
        reading.addCallbacks(self._handle_read, self._handle_read_failure)

    def _handle_read(self, _: None) -> None:
        self.has_read = True
        if self.is_due():
            self.schedule_write()

    def _handle_read_failure(self, failure: Any) -> None:
        self._log_failure(failure, "read")
        self._read_timer = self._reactor.callLater(RETRY_INTERVAL_S, self._start_read)

    def _log_failure(self, failure: Any, step: str) -> None:
        if failure.check(RecordStoreError, CancelledError):
            reason = str(failure.value)
            _log.warning(f"{self._name}_unavailable", step=step, reason=reason)
        else:
            _log.error(f"{self._name}_crashed", error=failure.getTraceback())
