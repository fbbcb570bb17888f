"""Discovery of engines that restart while the server list cannot be read."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions.forwarding import Backend, BackendEntry, BackendState
from twisted.internet.defer import ensureDeferred

from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import ServerInspector, StateSource

# After an outage, servers republish their expired entries within 2 s.
ADOPTION_CONFIRMATION_TIMEOUT_S = 2.5

_log = structlog.get_logger()


class EngineAdopter:
    """Adds restarted engines to the backend servers while the list cannot be read.

    A restarted engine has a new id, which is normally read from the list. While the
    list is unavailable, a process that answers at a known address with another id is
    inspected. It is added ("adopted") only if exactly one service has engines, as it
    could belong to another service otherwise. It is removed if the list, once readable
    again, does not contain it.

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
        self._last_unresponsive_at = clock()

    def inspect_replacement(self, backend: Backend, server_id: str) -> None:
        """Inspect the process that answered at the address of a known server.

        Parameters
        ----------
        backend : Backend
            The known server.
        server_id : str
            Id of the process that answered.
        """
        if not self._source.is_unresponsive() or server_id in self._inspected_ids:
            return
        if not self._is_only_engine_service(backend.entry.service):
            return
        self._inspected_ids.add(server_id)
        inspection = ensureDeferred(self._inspect_and_adopt(backend, server_id))
        inspection.addErrback(
            lambda failure: _log.error("adoption_failed", error=str(failure.value))
        )

    def remove_unconfirmed(self) -> None:
        """Remove adopted engines that the list does not contain.

        Call this periodically. Engines are removed only after the list has been
        readable for `ADOPTION_CONFIRMATION_TIMEOUT_S`.
        """
        now = self._clock()
        if self._source.is_unresponsive():
            self._last_unresponsive_at = now
        elif now - self._last_unresponsive_at > ADOPTION_CONFIRMATION_TIMEOUT_S:
            self._inspected_ids.clear()
            self._state.remove_adopted_backends()

    async def _inspect_and_adopt(self, backend: Backend, server_id: str) -> None:
        inspected = await self._inspector.inspect(backend.entry.address)
        is_engine = inspected is not None and inspected.is_engine
        if not is_engine or inspected.is_leaving:
            _log.info("process_not_adopted", server=server_id)
            return
        entry = BackendEntry(
            server_id=server_id,
            started_ms=inspected.started_ms,
            service=backend.entry.service,
            address=backend.entry.address,
            data_centre=backend.entry.data_centre,
            slots=backend.entry.slots,
            state=BackendState.READY,
            software_version=_infer_version(backend),
        )
        _log.info("process_adopted", server=server_id, before=backend.server_id)
        self._state.adopt_backend(entry)

    def _is_only_engine_service(self, service: str) -> bool:
        configuration = self._state.configuration
        if configuration is None:
            return False
        engine_services = [
            each.name
            for each in configuration.services.values()
            if each.engine is not None
        ]
        return engine_services == [service]


def _infer_version(predecessor: Backend) -> str | None:
    """Return the software version of a process that restarted at a server's address.

    A release starts its processes at other addresses, and the servers that it replaces
    announce that they leave; their addresses may then be used again by any process.
    """
    if predecessor.has_announced_leave:
        return None
    return predecessor.software_version
