"""What a deployment supplies to the forwarding core."""

from __future__ import annotations

import abc
from typing import NamedTuple

from ebonyhaven_decisions import Outcome

from ebonyhaven_node.forwarding._http_server import Exchange
from ebonyhaven_node.forwarding._messages import (
    AttemptPlan,
    ForwardRequest,
    Headers,
    ResponseHead,
)


class CallerDialect(abc.ABC):
    """How callers speak to an instance."""

    @abc.abstractmethod
    def read_request(self, exchange: Exchange) -> ForwardRequest:
        """Decode a request.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        ForwardRequest

        Raises
        ------
        RequestFailure
            If a field is missing or malformed.
        """

    @abc.abstractmethod
    def describe_outcome(self, outcome: Outcome) -> tuple[Headers, bytes]:
        """Return headers and body of an answer of this instance's own.

        Parameters
        ----------
        outcome : Outcome

        Returns
        -------
        tuple of (Headers, bytes)
        """


class BackendDialect(abc.ABC):
    """How an instance speaks to backend servers."""

    @abc.abstractmethod
    def write_headers(
        self, request: ForwardRequest, server_id: str, plan: AttemptPlan
    ) -> Headers:
        """Return the headers of a request for one server.

        Parameters
        ----------
        request : ForwardRequest
        server_id : str
            The only server that may run it.
        plan : AttemptPlan

        Returns
        -------
        Headers
        """

    @abc.abstractmethod
    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of an answer.

        Parameters
        ----------
        status : int
        headers : Headers

        Returns
        -------
        ResponseHead
        """

    @abc.abstractmethod
    def read_event_id(self, block: bytes) -> str | None:
        """Return the id of one event of a stream.

        Parameters
        ----------
        block : bytes
            The whole event.

        Returns
        -------
        str or None
        """


class InspectedServer(NamedTuple):
    """What a server says of itself.

    Parameters
    ----------
    is_engine : bool
    started_ms : int
        Start of its process, Unix milliseconds; 0 if it does not tell.
    """

    is_engine: bool
    started_ms: int


class ServerInspector(abc.ABC):
    """Asks backend servers what they are."""

    @abc.abstractmethod
    async def inspect(self, address: str) -> InspectedServer | None:
        """Ask the server at an address.

        Parameters
        ----------
        address : str
            ``IP:PORT``.

        Returns
        -------
        InspectedServer or None
            None when it gave no answer that can be understood.
        """


class RunCopier(abc.ABC):
    """Asks engines to copy the memory of a run to another engine."""

    @abc.abstractmethod
    async def copy_run(
        self, *, source: str, request_id: str, target: str
    ) -> str | None:
        """Ask the engine of a run for a copy; the run goes on meanwhile.

        Parameters
        ----------
        source, target : str
            Addresses of the run's engine and of the copy's.
        request_id : str

        Returns
        -------
        str or None
            Name of the copy, None if there is none.
        """

    @abc.abstractmethod
    async def drop_copy(self, *, source: str, handle: str) -> None:
        """Free a copy that is not needed any more.

        Parameters
        ----------
        source : str
            Address of the run's engine.
        handle : str
            Name of the copy.
        """


class StateSource(abc.ABC):
    """Where configuration and list of backend servers come from.

    It calls the `ForwardingState` that it was built with whenever it learns
    something, and never goes backward.
    """

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to follow the source."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop following it."""

    @abc.abstractmethod
    def read_version(self) -> tuple[int, int]:
        """Return the versions held: configuration and server list, 0 for none."""

    @abc.abstractmethod
    def is_behind(self) -> bool:
        """Tell whether the source has not answered for a while."""

    @abc.abstractmethod
    def export(self) -> object:
        """Return all that is held as a JSON value, for another instance."""

    @abc.abstractmethod
    def merge(self, payload: object) -> None:
        """Take over what is newer in the export of another instance.

        Parameters
        ----------
        payload : object
            JSON value.

        Raises
        ------
        TypeError, ValueError, KeyError
            If it is malformed.
        """
