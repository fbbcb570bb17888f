"""Engines that restart while the list of servers cannot be read."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import Backend, BackendEntry, BackendState
from twisted.internet.defer import ensureDeferred

from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import ServerInspector, StateSource

CONFIRMATION_TIMEOUT_S = (
    2.5  # entries that lapsed are back within two seconds of the store
)

_log = structlog.get_logger()


class EngineAdopter:
    """Takes restarted engines into use while the store is away.

    An engine that restarts has a new id, which only the list tells. While the list
    cannot be read, an engine that answers at a known address with another id is
    asked what it is. It is used only where one service alone has engines, so that
    it cannot belong to another one, and until the list is back without it.

    Parameters
    ----------
    state : ForwardingState
    source : StateSource
    inspector : ServerInspector
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        source: StateSource,
        inspector: ServerInspector,
        clock: Callable[[], float],
    ):
        self._state = state
        self._source = source
        self._inspector = inspector
        self._clock = clock
        self._inspected_ids: set[str] = set()
        self._last_behind_at = clock()

    def inspect_replacement(self, backend: Backend, server_id: str) -> None:
        """Ask the process that answered in place of a known one.

        Parameters
        ----------
        backend : Backend
            The known one.
        server_id : str
            Id of the process that answered.
        """
        if not self._source.is_behind() or server_id in self._inspected_ids:
            return
        if not self._is_only_engine_service(backend.entry.service):
            return
        self._inspected_ids.add(server_id)
        asking = ensureDeferred(self._inspect_and_adopt(backend, server_id))
        asking.addErrback(
            lambda failure: _log.error("adoption_failed", error=str(failure.value))
        )

    def remove_unconfirmed(self) -> None:
        """Drop what the list did not confirm; called a few times a second."""
        now = self._clock()
        if self._source.is_behind():
            self._last_behind_at = now
        elif now - self._last_behind_at > CONFIRMATION_TIMEOUT_S:
            self._inspected_ids.clear()
            self._state.remove_adopted_backends()

    async def _inspect_and_adopt(self, backend: Backend, server_id: str) -> None:
        found = await self._inspector.inspect(backend.entry.address)
        if found is None or not found.is_engine:
            _log.info("process_not_adopted", server=server_id)
            return
        entry = BackendEntry(
            server_id=server_id,
            started_ms=found.started_ms,
            service=backend.entry.service,
            address=backend.entry.address,
            data_centre=backend.entry.data_centre,
            slots=backend.entry.slots,
            state=BackendState.READY,
        )
        _log.info("process_adopted", server=server_id, before=backend.server_id)
        self._state.adopt_backend(entry)

    def _is_only_engine_service(self, service: str) -> bool:
        configuration = self._state.configuration
        if configuration is None:
            return False
        with_engines = [
            each.name
            for each in configuration.services.values()
            if each.engine is not None
        ]
        return with_engines == [service]
