"""Interfaces that a deployment implements for the forwarding core."""

from __future__ import annotations

import abc
from typing import NamedTuple

from ebonyhaven_decisions import Outcome
from ebonyhaven_decisions.forwarding import EngineLoad, ServerLoad

from ebonyhaven_node.forwarding._record_stores import (
    LossRecordStore,
    RecordStoreError,
    RolloutRecordStore,
    StageConflict,
    StoredSegment,
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
from ebonyhaven_node.forwarding._state_sources import (
    NO_STATE,
    ReadGroup,
    StateSource,
    StateVersion,
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
    "StoredSegment",
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
