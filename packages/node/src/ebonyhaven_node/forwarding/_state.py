"""Active configuration and backend servers of the forwarding path."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

import structlog
from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    BackendEntry,
    RequestLimits,
    RouteServices,
    RoutingConfiguration,
    ServerListVersion,
    ServiceTimes,
)
from ebonyhaven_decisions.forwarding.rollouts import RolloutBook

_log = structlog.get_logger()


class ChangeSource(enum.StrEnum):
    """Where an instance learned of a change of the configuration or server list."""

    TABLE = "table"  # own read of the whole table
    POLL = "poll"  # own poll of the changes
    READER = "reader"  # message of the instance that reads for this one
    PEER = "peer"  # whole state of another instance
    EXPIRY = "expiry"  # not written again after a restore of the store
    ADOPTION = "adoption"  # a process that answered while the list was unreadable


class ConfigurationOrigin(NamedTuple):
    """Source of a configuration, for the log.

    Parameters
    ----------
    source : ChangeSource
    era : int
        Number of times that the store it was read from had been restored.
    silent_s : float or None
        Time since the store last answered about the configuration; None if unknown.
    """

    source: ChangeSource
    era: int
    silent_s: float | None = None


class ListOrigin(NamedTuple):
    """Source of a change of the server list, for the log.

    Parameters
    ----------
    source : ChangeSource
    version : ServerListVersion
        Version that the change was written with, or of the list that contains it.
    """

    source: ChangeSource
    version: ServerListVersion


_OWN_READ = ConfigurationOrigin(ChangeSource.TABLE, 0)
_ADOPTED = ListOrigin(ChangeSource.ADOPTION, ServerListVersion(0, 0))


class ForwardingState:
    """Active configuration and backend servers, with notification of changes.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    route_services : RouteServices
    rollouts : RolloutBook
        Orders to move services to other software versions, and their stages.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self.configuration: RoutingConfiguration | None = None
        self.backends = BackendDirectory()
        self.route_services = RouteServices(self.backends.retention)
        self.service_times: dict[str, ServiceTimes] = {}
        self.rollouts = RolloutBook()
        self.has_backend_list = False
        self._adopted: set[str] = set()
        self._observers: list[Callable[[], None]] = []

    def get_service_times(self, service: str) -> ServiceTimes:
        """Return the usual times of a service's requests.

        Parameters
        ----------
        service : str
        """
        return self.service_times.setdefault(service, ServiceTimes())

    @property
    def is_complete(self) -> bool:
        """Whether both a configuration and a server list are available."""
        return self.configuration is not None and self.has_backend_list

    @property
    def limits(self) -> RequestLimits:
        """Limits on callers in the active configuration, or the defaults."""
        if self.configuration is None:
            return RequestLimits(are_known=False)
        return self.configuration.limits

    def observe(self, observer: Callable[[], None]) -> None:
        """Subscribe ``observer`` to changes of servers and configuration."""
        self._observers.append(observer)

    def apply_configuration(
        self,
        configuration: RoutingConfiguration,
        origin: ConfigurationOrigin = _OWN_READ,
    ) -> None:
        """Activate a configuration unless it is older than the active one.

        Parameters
        ----------
        configuration : RoutingConfiguration
        origin : ConfigurationOrigin
        """
        known = self.configuration
        if known is not None and configuration.version < known.version:
            return
        self.configuration = configuration
        now = self._clock()
        self.backends.retention.apply(configuration, now)
        self.route_services.apply(configuration, now)
        self.backends.limits.set_engine_slots(
            {
                name: each.engine.slots
                for name, each in configuration.services.items()
                if each.engine
            }
        )
        _log.info(
            "configuration_in_force",
            version=configuration.version,
            before=known.version if known else None,
            routes=sum(len(each) for each in configuration.routes.values()),
            via=origin.source.value,
            era=origin.era,
            silent_s=origin.silent_s,
        )
        self._notify_observers()

    def put_backend(self, entry: BackendEntry, origin: ListOrigin = _ADOPTED) -> None:
        """Add a backend server or update its entry.

        Parameters
        ----------
        entry : BackendEntry
        origin : ListOrigin
        """
        was_adopted = entry.server_id in self._adopted
        self._adopted.discard(entry.server_id)
        known = self.backends.find(entry.server_id)
        known_entry = known.entry if known is not None else None
        self.backends.put(entry, self._clock(), was_inferred=was_adopted)
        if known_entry == entry:
            return
        _log.info(
            "backend_listed",
            server=entry.server_id,
            address=entry.address,
            service=entry.service,
            state=entry.state.value,
            started_ms=entry.started_ms,
            version=entry.software_version,
            **_describe_origin(origin),
        )
        self._notify_observers()

    def remove_backend(self, server_id: str, origin: ListOrigin = _ADOPTED) -> None:
        """Remove a backend server that is no longer listed.

        Parameters
        ----------
        server_id : str
        origin : ListOrigin
        """
        known = self.backends.find(server_id)
        if known is None:
            return
        self.backends.remove(server_id, self._clock())
        _log.info("backend_unlisted", server=server_id, **_describe_origin(origin))
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

    def replace_backends(
        self, entries: Mapping[str, BackendEntry], origin: ListOrigin = _ADOPTED
    ) -> None:
        """Replace all backend servers except adopted ones.

        Parameters
        ----------
        entries : mapping of str to BackendEntry
        origin : ListOrigin
        """
        removed = [
            each
            for each in self.backends
            if each.server_id not in entries and each.server_id not in self._adopted
        ]
        for backend in removed:
            self.remove_backend(backend.server_id, origin)
        for entry in entries.values():
            self.put_backend(entry, origin)
        self.has_backend_list = True
        self.backends.versions.record_list_read(self._clock())
        self._notify_observers()

    def record_missed_servers(self) -> None:
        """Record that servers were listed and removed again without being noticed."""
        self.backends.versions.record_gap(self._clock())

    def record_list_current(self, at: float) -> None:
        """Record that all changes of the server list up to a time are known.

        Parameters
        ----------
        at : float
            Seconds.
        """
        self.backends.record_current(at)

    def _notify_observers(self) -> None:
        for observer in self._observers:
            try:
                observer()
            except Exception:  # the change counts whoever fails to act on it
                _log.exception("state_observer_failed")


def _describe_origin(origin: ListOrigin) -> dict[str, object]:
    """Return the fields of a log line that tell how a change came."""
    era, version = origin.version
    return {"via": origin.source.value, "era": era, "list_version": version}
