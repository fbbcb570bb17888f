"""Client of the platform's list of instances and backend servers.

The list is eventually consistent: it lags behind registrations.
"""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ebonyhaven_store._transport import PlatformTransport


@attrs.frozen(slots=True, kw_only=True)
class ListedProcess:
    """Instance or backend server in the platform's list.

    Parameters
    ----------
    name : str
        Unique name of the instance or backend server.
    kind : str
        ``"instance"`` or ``"backend_server"``.
    address : str
        ``IP:PORT`` at which an instance serves callers, or at which the backend
        server serves instances.
    control_address : str
        ``IP:PORT`` of an instance for control connections from other instances;
        empty for backend servers.
    data_centre, region : str
        Location of the process.
    state : str
        ``"live"`` or ``"leaving"``.
    pool : str
        Pool of a backend server; empty for instances.
    identity : str
        Identifier of the process; a new process with the same name has a new
        identifier.
    """

    name: str
    kind: str
    address: str
    control_address: str = ""
    data_centre: str = ""
    region: str = ""
    state: str = "live"
    pool: str = ""
    identity: str = ""


@attrs.frozen(slots=True, kw_only=True)
class InstanceList:
    """The platform's list at one point in time.

    Parameters
    ----------
    processes : tuple of ListedProcess
        All entries.
    measured_ms_ago : float
        Age of the list in milliseconds, as reported by the platform.
    """

    processes: tuple[ListedProcess, ...]
    measured_ms_ago: float

    @property
    def instances(self) -> tuple[ListedProcess, ...]:
        """Entries that are instances."""
        return tuple(item for item in self.processes if item.kind == "instance")

    @property
    def backend_servers(self) -> tuple[ListedProcess, ...]:
        """Entries that are backend servers."""
        return tuple(item for item in self.processes if item.kind == "backend_server")


_FIELD_NAMES = frozenset(item.name for item in attrs.fields(ListedProcess))


def _parse_entry(entry: dict[str, Any]) -> ListedProcess:
    fields = {
        name: value
        for name, value in entry.items()
        if name in _FIELD_NAMES and value is not None
    }
    return ListedProcess(**fields)


class InstanceListClient:
    """Client of the platform's list of instances and backend servers.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def read(self) -> Deferred[InstanceList]:
        """Return the platform's current list.

        Raises
        ------
        Throttled, Unavailable
            The list could not be read.
        """
        return Deferred.fromCoroutine(self._read())

    async def _read(self) -> InstanceList:
        response = await self._transport.exchange(
            "GET", "/instances", step="instances.read"
        )
        body = response.decode()
        return InstanceList(
            processes=tuple(_parse_entry(entry) for entry in body["instances"]),
            measured_ms_ago=body["measured_ms_ago"],
        )
