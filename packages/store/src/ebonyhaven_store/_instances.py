"""Client of the platform's lagging list of instances and backend servers."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.defer import Deferred

from ebonyhaven_store._transport import PlatformTransport


@attrs.frozen(slots=True, kw_only=True)
class ListedProcess:
    """One entry of the platform's list.

    Parameters
    ----------
    name : str
        Name of the instance or backend server.
    kind : str
        ``"instance"`` or ``"backend_server"``.
    address : str
        ``IP:PORT`` for callers, or of the backend server.
    control_address : str
        ``IP:PORT`` for other instances; empty for backend servers.
    data_centre, region : str
        Where it runs.
    state : str
        ``"live"`` or ``"leaving"``.
    pool : str
        Pool of a backend server; empty for instances.
    identity : str
        Changes when a process of the same name is replaced.
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
    """The platform's list with its age in milliseconds."""

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
    known = {
        name: value
        for name, value in entry.items()
        if name in _FIELD_NAMES and value is not None
    }
    return ListedProcess(**known)


class InstanceListClient:
    """Reads the platform's list.

    Parameters
    ----------
    transport : PlatformTransport
        Connections to the platform.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: PlatformTransport):
        self._transport = transport

    def read(self) -> Deferred[InstanceList]:
        """Return the present list.

        Raises
        ------
        Throttled, Unavailable
            The list could not be read.
        """
        return Deferred.fromCoroutine(self._read())

    async def _read(self) -> InstanceList:
        answer = await self._transport.exchange(
            "GET", "/instances", step="instances.read"
        )
        body = answer.decode()
        return InstanceList(
            processes=tuple(_parse_entry(entry) for entry in body["instances"]),
            measured_ms_ago=body["measured_ms_ago"],
        )
