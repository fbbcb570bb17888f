"""Active configuration and backend servers of the forwarding path."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

import structlog
from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    BackendEntry,
    RequestLimits,
    RoutingConfiguration,
)

_log = structlog.get_logger()


class ForwardingState:
    """Active configuration and backend servers, with notification of changes.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self.configuration: RoutingConfiguration | None = None
        self.backends = BackendDirectory()
        self.has_backend_list = False
        self._adopted: set[str] = set()
        self._observers: list[Callable[[], None]] = []

    @property
    def is_complete(self) -> bool:
        """Whether both a configuration and a server list are available."""
        return self.configuration is not None and self.has_backend_list

    @property
    def limits(self) -> RequestLimits:
        """Limits on callers in the active configuration, or the defaults."""
        if self.configuration is None:
            return RequestLimits()
        return self.configuration.limits

    def observe(self, observer: Callable[[], None]) -> None:
        """Subscribe ``observer`` to changes of servers and configuration."""
        self._observers.append(observer)

    def apply_configuration(self, configuration: RoutingConfiguration) -> None:
        """Activate a configuration unless it is older than the active one.

        Parameters
        ----------
        configuration : RoutingConfiguration
        """
        known = self.configuration
        if known is not None and configuration.version < known.version:
            return
        self.configuration = configuration
        self.backends.set_engine_services(
            name for name, each in configuration.services.items() if each.engine
        )
        _log.info(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else None,
            routes=sum(len(each) for each in configuration.routes.values()),
        )
        self._notify_observers()

    def put_backend(self, entry: BackendEntry) -> None:
        """Add a backend server or update its entry.

        Parameters
        ----------
        entry : BackendEntry
        """
        was_adopted = entry.server_id in self._adopted
        self._adopted.discard(entry.server_id)
        known = self.backends.find(entry.server_id)
        backend = self.backends.put(entry, self._clock(), was_inferred=was_adopted)
        if known is backend and known.entry == entry:
            return
        _log.info(
            "backend_listed",
            server=entry.server_id,
            address=entry.address,
            service=entry.service,
            state=entry.state.value,
            started_ms=entry.started_ms,
            version=entry.software_version,
        )
        self._notify_observers()

    def remove_backend(self, server_id: str) -> None:
        """Remove a backend server that is no longer listed.

        Parameters
        ----------
        server_id : str
        """
        known = self.backends.find(server_id)
        if known is None:
            return
        self.backends.remove(server_id, self._clock())
        _log.info("backend_unlisted", server=server_id)
        self._notify_observers()

    def adopt_backend(self, entry: BackendEntry) -> None:
        """Add a process that was discovered while the list could not be read.

        Parameters
        ----------
        entry : BackendEntry
        """
        if self.backends.find(entry.server_id) is not None:
            return
        self.put_backend(entry)
        self._adopted.add(entry.server_id)

    def remove_adopted_backends(self) -> None:
        """Remove adopted processes that the list, readable again, does not contain."""
        for server_id in list(self._adopted):
            self._adopted.discard(server_id)
            self.remove_backend(server_id)

    def replace_backends(self, entries: Mapping[str, BackendEntry]) -> None:
        """Replace all backend servers except adopted ones.

        Parameters
        ----------
        entries : mapping of str to BackendEntry
        """
        removed = [
            each
            for each in self.backends
            if each.server_id not in entries and each.server_id not in self._adopted
        ]
        for backend in removed:
            self.remove_backend(backend.server_id)
        for entry in entries.values():
            self.put_backend(entry)
        self.has_backend_list = True
        self.backends.versions.record_list_read(self._clock())
        self._notify_observers()

    def record_list_current(self) -> None:
        """Record that all changes of the server list up to now are known."""
        self.backends.record_current(self._clock())

    def _notify_observers(self) -> None:
        for observer in self._observers:
            observer()
