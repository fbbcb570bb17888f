"""Reads that show that the server list holds all changes up to a moment."""

from __future__ import annotations

import structlog
from twisted.internet.defer import Deferred, ensureDeferred

from ebonyhaven_node.forwarding.interfaces import StateSource

_log = structlog.get_logger()


class ListConfirmer:
    """Reads the changes of the server list for requests that depend on all of them.

    An instance that stood still, or was cut off, does not know for how long its list
    has been out of date; only a read that began after a request arrived shows that.

    Parameters
    ----------
    source : StateSource
    """

    __slots__ = ("_is_reading", "_source", "_waiting")

    def __init__(self, source: StateSource):
        self._source = source
        self._waiting: list[Deferred] = []
        self._is_reading = False

    async def confirm(self) -> bool:
        """Read the changes made before the call.

        Callers during a read share the next one.

        Returns
        -------
        bool
            Whether the list holds all of them.
        """
        result: Deferred = Deferred()
        self._waiting.append(result)
        if not self._is_reading:
            self._start_read()
        return await result

    def _start_read(self) -> None:
        served, self._waiting = self._waiting, []
        self._is_reading = True
        reading = ensureDeferred(self._source.read_server_changes())
        reading.addErrback(self._log_failure)
        reading.addCallback(self._finish_read, served)

    def _finish_read(self, is_current: bool, served: list[Deferred]) -> None:
        self._is_reading = False
        if self._waiting:
            self._start_read()
        for each in served:
            if not each.called:
                each.callback(is_current)

    def _log_failure(self, failure) -> bool:
        _log.error("list_not_confirmed", error=failure.getTraceback())
        return False
