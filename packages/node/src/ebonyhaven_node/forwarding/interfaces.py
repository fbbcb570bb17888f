"""Interfaces that a deployment implements for the forwarding core."""

from __future__ import annotations

import abc
from typing import NamedTuple

from ebonyhaven_decisions import Outcome
from ebonyhaven_decisions.forwarding import EngineLoad, ServerListVersion, ServerLoad

from ebonyhaven_node.forwarding._record_stores import (
    LossRecordStore,
    RecordStoreError,
    RolloutRecordStore,
    StageConflict,
    StoredRecord,
    StreamRecordStore,
    VersionRecordStore,
)
from ebonyhaven_node.forwarding._requests import (
    AttemptPlan,
    ForwardRequest,
    Headers,
    RelayOrigin,
    RequestHead,
    ResponseHead,
)

__all__ = [
    "BackendDialect",
    "CallerDialect",
    "INSPECTION_TIMEOUT_S",
    "InspectedServer",
    "LossRecordStore",
    "NO_STATE",
    "ReadGroup",
    "RecordStoreError",
    "RolloutRecordStore",
    "RunCopier",
    "ServerInspector",
    "StageConflict",
    "StateSource",
    "StateVersion",
    "StoredRecord",
    "StreamRecordStore",
    "VersionRecordStore",
]


class CallerDialect(abc.ABC):
    """Wire protocol between callers and an instance."""

    @abc.abstractmethod
    def read_request(
        self, head: RequestHead, body: bytes, arrived_at: float
    ) -> ForwardRequest:
        """Decode a request.

        Parameters
        ----------
        head : RequestHead
        body : bytes
        arrived_at : float
            Time of arrival, seconds of the clock of `Gateway`.

        Returns
        -------
        ForwardRequest

        Raises
        ------
        RequestFailure
            If a field is missing or malformed.
        """

    @abc.abstractmethod
    def write_relayed_headers(
        self, head: RequestHead, *, remaining_s: float, origin: RelayOrigin
    ) -> Headers:
        """Return the headers of a request that goes to another instance.

        Parameters
        ----------
        head : RequestHead
            As the caller sent it.
        remaining_s : float
            Time until the deadline of the request, seconds.
        origin : RelayOrigin
            What this instance tells the other one.

        Returns
        -------
        Headers
            Without those that concern only one connection.
        """

    @abc.abstractmethod
    def encode_outcome(self, outcome: Outcome) -> tuple[Headers, bytes]:
        """Encode an outcome as headers and body of a response to its caller.

        Parameters
        ----------
        outcome : Outcome

        Returns
        -------
        tuple of (Headers, bytes)
        """


class BackendDialect(abc.ABC):
    """Wire protocol between an instance and backend servers."""

    @abc.abstractmethod
    def write_headers(
        self, request: ForwardRequest, server_id: str, plan: AttemptPlan
    ) -> Headers:
        """Return the headers of a request to one server.

        Parameters
        ----------
        request : ForwardRequest
        server_id : str
            The only server that may run the request.
        plan : AttemptPlan

        Returns
        -------
        Headers
        """

    @abc.abstractmethod
    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a response.

        Parameters
        ----------
        status : int
        headers : Headers

        Returns
        -------
        ResponseHead
        """

    @abc.abstractmethod
    def read_event_id(self, event: bytes) -> str | None:
        """Return the id of one event of a stream.

        Parameters
        ----------
        event : bytes
            The complete event.

        Returns
        -------
        str or None
        """


# Servers describe themselves within milliseconds, also when all slots are in use.
INSPECTION_TIMEOUT_S = 0.5


class InspectedServer(NamedTuple):
    """Description that a backend server returns of itself.

    Parameters
    ----------
    is_engine : bool
    started_ms : int
        Start of its process, Unix milliseconds; 0 if unknown.
    load : EngineLoad or None
        None if it reports none.
    is_leaving : bool
        Whether it says that it leaves.
    rest_s : float or None
        Time for which it wants no requests, seconds; None if it names none.
    server_load : ServerLoad or None
        What it says of its load in the headers of the response.
    """

    is_engine: bool
    started_ms: int
    load: EngineLoad | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    server_load: ServerLoad | None = None


class ServerInspector(abc.ABC):
    """Queries backend servers for their type, start time and health."""

    @abc.abstractmethod
    async def inspect(
        self, address: str, *, timeout_s: float = INSPECTION_TIMEOUT_S
    ) -> InspectedServer | None:
        """Query the server at an address.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        timeout_s : float
            Seconds.

        Returns
        -------
        InspectedServer or None
            None if there was no valid response.
        """

    @abc.abstractmethod
    async def check_health(
        self, address: str, *, path: str, timeout_s: float
    ) -> InspectedServer | None:
        """Ask the server at an address whether it is healthy.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        path : str
            See `Service.health_path`.
        timeout_s : float
            Seconds.

        Returns
        -------
        InspectedServer or None
            None if there was no response; any status will do.
        """


class RunCopier(abc.ABC):
    """Requests copies of the memory of runs on other engines."""

    @abc.abstractmethod
    async def copy_run(
        self, *, source: str, request_id: str, target: str
    ) -> str | None:
        """Request a copy of a run, which continues meanwhile.

        Parameters
        ----------
        source, target : str
            Addresses of the engine of the run and of the engine that receives the copy.
        request_id : str

        Returns
        -------
        str or None
            Handle of the copy; None if copying failed.

        Raises
        ------
        ServerResting
            If the engine wants no calls for some time.
        """

    @abc.abstractmethod
    async def delete_copy(self, *, source: str, handle: str) -> None:
        """Delete a copy that is no longer needed.

        Parameters
        ----------
        source : str
            Address of the engine of the run.
        handle : str
            Result of `copy_run`.

        Raises
        ------
        ServerResting
            If the engine wants no calls for some time.
        """


class StateVersion(NamedTuple):
    """Versions of the state of an instance; 0 for none.

    Parameters
    ----------
    configuration : int
    era, servers : int
        See `ServerListVersion`.
    """

    configuration: int
    era: int
    servers: int

    @property
    def server_list(self) -> ServerListVersion:
        """Version of the server list."""
        return ServerListVersion(self.era, self.servers)

    @property
    def is_complete(self) -> bool:
        """Whether there are both a configuration and a server list."""
        return self.configuration > 0 and self.servers > 0


NO_STATE = StateVersion(0, 0, 0)


class ReadGroup(abc.ABC):
    """Instances that share what they read from the source of the state."""

    @abc.abstractmethod
    def find_rank(self) -> int:
        """Return the place of this instance among the readers, `find_reader_rank`."""

    @abc.abstractmethod
    def count_instances(self) -> int:
        """Return the number of instances that follow the source, in all groups."""

    @abc.abstractmethod
    def shares_configuration(self) -> bool:
        """Return whether only readers poll the configuration."""

    @abc.abstractmethod
    def publish_changes(self, payload: object) -> None:
        """Pass changes of the server list on to the group.

        Parameters
        ----------
        payload : object
            JSON value for `StateSource.apply_changes`.
        """

    @abc.abstractmethod
    def publish_state(self, payload: object) -> None:
        """Pass a new configuration on to the group.

        Parameters
        ----------
        payload : object
            JSON value for `StateSource.merge`.
        """


class StateSource(abc.ABC):
    """Source of the configuration and the list of backend servers.

    It updates the `ForwardingState` that it was built with on each change and never
    replaces a newer version by an older one.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Start reading the source and its changes."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop reading the source."""

    @abc.abstractmethod
    def read_version(self) -> StateVersion:
        """Return the versions of configuration and server list."""

    @abc.abstractmethod
    def is_unresponsive(self) -> bool:
        """Return whether reads of the source fail or time out."""

    @abc.abstractmethod
    def measure_configuration_age_s(self) -> float:
        """Return the time since the configuration was last known to be current.

        Returns
        -------
        float
            Seconds since the store answered this instance or its reader, or since the
            source was built.
        """

    @abc.abstractmethod
    def measure_list_age_s(self) -> float:
        """Return the time since the server list was last known to be current.

        Returns
        -------
        float
            Seconds since a poll of this instance or of its reader; infinite before the
            first.
        """

    @abc.abstractmethod
    async def read_server_changes(self) -> bool:
        """Read the changes of the server list at once, and apply them.

        Returns
        -------
        bool
            Whether the list holds all changes made before the call.
        """

    @abc.abstractmethod
    def connect_group(self, group: ReadGroup) -> None:
        """Share reads with other instances.

        Parameters
        ----------
        group : ReadGroup
        """

    @abc.abstractmethod
    def apply_changes(self, payload: object) -> None:
        """Apply changes that the reader of this instance published.

        Parameters
        ----------
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError
            If the payload is malformed.
        """

    @abc.abstractmethod
    def refresh_configuration(self) -> None:
        """Read the configuration at once, because a peer has a newer one."""

    @abc.abstractmethod
    def export(self, known: StateVersion = NO_STATE) -> object:
        """Return what a peer lacks of configuration and server list.

        Parameters
        ----------
        known : StateVersion
            Of the peer.

        Returns
        -------
        object
            JSON value.
        """

    @abc.abstractmethod
    def merge(self, payload: object) -> None:
        """Apply what is newer in the export of a peer.

        Parameters
        ----------
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError, KeyError
            If the payload is malformed.
        """
