"""Messages that the parts of the forwarding path exchange."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

import attrs

if TYPE_CHECKING:
    from ebonyhaven_decisions.forwarding import Backend

    from ebonyhaven_node.forwarding._attempts import Attempt

CONTENT_DIGITS = 16

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(NamedTuple):
    """Start line and headers of a caller's request.

    Parameters
    ----------
    method, target : bytes
        As the caller sent them.
    headers : tuple of (bytes, bytes)
        Names in lower case.
    """

    method: bytes
    target: bytes
    headers: Headers


class CopyReference(NamedTuple):
    """How the holder of a copy finds it.

    Parameters
    ----------
    address : str
        Of the holder for a copy that grew with its run, of the run's engine for
        one that was asked for.
    handle : str or None
        Name of a copy that was asked for; None for one that has the request's id.
    """

    address: str
    handle: str | None


class GenerationSize(NamedTuple):
    """Size of a generation as its caller states it.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        The output at most.
    """

    prompt_tokens: int
    output_tokens: int


@attrs.frozen(slots=True, kw_only=True)
class ForwardRequest:
    """A caller's request, decoded.

    Parameters
    ----------
    request_id : str
        Chosen by the caller, new for each of its attempts.
    method, target : bytes
        Passed on unchanged.
    host, path : str
        Select the route.
    headers : tuple of (bytes, bytes)
        Those that are passed on unchanged.
    body : bytes
    wait_s : float or None
        How long the caller waits, from its arrival.
    api_key : str or None
    last_event_id : str or None
        Last event of the stream that the caller holds.
    size : GenerationSize or None
        Set for generations.
    prompt_id : str or None
        Identifies the part of the prompt that no other request shares.
    arrived_at : float
        Seconds.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    wait_s: float | None
    api_key: str | None
    last_event_id: str | None
    size: GenerationSize | None
    prompt_id: str | None
    arrived_at: float

    @property
    def content_digest(self) -> str:
        """Digest of what a server sees, the same when the caller repeats it."""
        hashed = hashlib.sha256(self.target)
        hashed.update((self.api_key or "").encode())
        hashed.update(self.body)
        return hashed.hexdigest()[:CONTENT_DIGITS]

    @property
    def run_key(self) -> str | None:
        """Digest by which a generation is known when its caller comes back.

        None for requests that are no generation of their own.
        """
        if self.prompt_id is None or self.size is None:
            return None
        told = f"{self.content_digest} {self.host} {self.prompt_id} {tuple(self.size)}"
        return hashlib.sha256(told.encode()).hexdigest()[:CONTENT_DIGITS]


@attrs.frozen(slots=True, kw_only=True)
class AttemptPlan:
    """How a request is sent to one backend server.

    Parameters
    ----------
    remaining_s : float
        Time that the server may take.
    workspace : str or None
        Name that the server is told.
    urgency : int or None
        Rank within the engine, 0 is the most urgent; None for the default.
    copy_to : str or None
        Address of the engine that is to hold a copy of the run's memory.
    copy : CopyReference or None
        Copy that the run goes on from.
    last_event_id : str or None
        Last event that the caller holds.
    """

    remaining_s: float
    workspace: str | None = None
    urgency: int | None = None
    copy_to: str | None = None
    copy: CopyReference | None = None
    last_event_id: str | None = None


class ResponseHead(NamedTuple):
    """Status and headers of a backend server's answer, decoded.

    Parameters
    ----------
    status : int
    headers : tuple of (bytes, bytes)
        Those that are passed on to the caller.
    request_id : str or None
        Request that it answers.
    has_origin_proof : bool
        Whether it carries the server's proof of origin.
    not_run : bool
        Whether it proves that the request was not run.
    is_other_process : bool
        Whether another process than the addressed one answered.
    other_server_id : str or None
        Id of that process, if it told it.
    load : int or None
        Requests that the server has, running and waiting.
    """

    status: int
    headers: Headers
    request_id: str | None
    has_origin_proof: bool
    not_run: bool
    is_other_process: bool
    other_server_id: str | None
    load: int | None


class ResponseStarted(NamedTuple):
    """The head of an answer arrived."""

    attempt: Attempt
    head: ResponseHead


class ResponseData(NamedTuple):
    """A part of an answer's body arrived."""

    attempt: Attempt
    data: bytes


class ResponseCompleted(NamedTuple):
    """An answer arrived whole."""

    attempt: Attempt


class AttemptFailed(NamedTuple):
    """An attempt ended without a whole answer.

    Parameters
    ----------
    attempt : Attempt
    was_sent : bool
        Whether the server may have run the request.
    is_reset : bool
        Whether the connection ended, rather than the answer being malformed.
    reason : str
    """

    attempt: Attempt
    was_sent: bool
    is_reset: bool
    reason: str


class CapacityChanged(NamedTuple):
    """Room or servers may have become available."""


class BackendSuspected(NamedTuple):
    """A backend server was found lost or silent.

    Parameters
    ----------
    server_key : tuple of (str, int)
    data_centre : str
    """

    server_key: tuple[str, int]
    data_centre: str


class BackendProbed(NamedTuple):
    """It was tried whether a backend server accepts connections.

    Parameters
    ----------
    server_key : tuple of (str, int)
    is_alive : bool
    """

    server_key: tuple[str, int]
    is_alive: bool


class CopyRequestCompleted(NamedTuple):
    """An engine was asked for a copy of a run.

    Parameters
    ----------
    holder : Backend
    handle : str or None
        Name of the copy; None if there is none.
    """

    holder: Backend
    handle: str | None
