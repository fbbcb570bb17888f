"""Requests of callers, attempts at backend servers and their responses."""

from __future__ import annotations

import hashlib
import math
from typing import NamedTuple

import attrs
from ebonyhaven_decisions.forwarding import NO_LIMITS, ServerLimits, ServerLoad

DIGEST_HEX_DIGITS = 16
MAX_RESPONSE_BYTES = 2 * 1024 * 1024  # many of them fit into an instance
MAX_STREAM_BYTES = 16 * 1024 * 1024  # passed on, not kept

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(NamedTuple):
    """Request line and headers of a caller's request.

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
    """Reference by which the engine that holds a copy of a run finds the copy.

    Parameters
    ----------
    address : str
        For a continuous copy, address of the engine that holds it; for a copy on
        request, address of the engine that ran the run.
    handle : str or None
        Name of a copy on request; None for a continuous copy, which is found by the
        request id.
    """

    address: str
    handle: str | None


class GenerationSize(NamedTuple):
    """Size of a generation as stated by its caller.

    Parameters
    ----------
    prompt_tokens : int
    output_tokens : int
        Upper limit.
    """

    prompt_tokens: int
    output_tokens: int


class RelayOrigin(NamedTuple):
    """What an instance that reaches no server tells of a request that it relays.

    Parameters
    ----------
    instance : str
    configuration : int
        Version under which it accepted the request; 0 if unknown.
    runs : int
        Number of servers that may have run the request already.
    """

    instance: str
    configuration: int = 0
    runs: int = 0


@attrs.frozen(slots=True, kw_only=True)
class ForwardRequest:
    """Decoded request of a caller.

    Parameters
    ----------
    request_id : str
        Chosen by the caller, unique to each of its attempts.
    method, target : bytes
        Forwarded unchanged.
    host, path : str
        Select the route.
    headers : tuple of (bytes, bytes)
        Headers to forward unchanged.
    body : bytes
    timeout_s : float or None
        Caller's timeout, counted from ``arrived_at``. None if it set none.
    api_key : str or None
    last_event_id : str or None
        Id of the last event of the stream that the caller has received.
    original_request_id : str or None
        Id of the caller's request that brought the first event of the stream; None if
        this request is not a retry of a stream, or does not say of which.
    size : GenerationSize or None
        Set for generations.
    prompt_parts : tuple of str
        Ids of the parts of the prompt, in order; empty if the caller states none. All
        but the last may be those of other requests as well.
    arrived_at : float
        Time of arrival, seconds of the clock of `Gateway`.
    relay_origin : RelayOrigin or None
        None if the request comes from the caller.

    Attributes
    ----------
    content_digest : str
        Digest of target and body, equal for all retries.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    timeout_s: float | None
    api_key: str | None
    last_event_id: str | None
    original_request_id: str | None
    size: GenerationSize | None
    prompt_parts: tuple[str, ...]
    arrived_at: float
    relay_origin: RelayOrigin | None = None
    content_digest: str = attrs.field(init=False)

    @property
    def prompt_id(self) -> str | None:
        """Id of the part of the prompt that no other request has, if stated."""
        return self.prompt_parts[-1] if self.prompt_parts else None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may have as well."""
        return self.prompt_parts[:-1]

    def count_earlier_runs(self) -> int:
        """Return how many servers may have run the request for another instance."""
        return self.relay_origin.runs if self.relay_origin is not None else 0

    def limit_timeout(self, route_timeout_s: float) -> float:
        """Return the time for the request, from its arrival, seconds.

        Parameters
        ----------
        route_timeout_s : float
            Longest time that the route allows, seconds.
        """
        if self.timeout_s is None:
            return route_timeout_s
        return min(route_timeout_s, self.timeout_s)

    @content_digest.default
    def _compute_content_digest(self) -> str:
        hasher = hashlib.sha256(self.target)
        hasher.update(self.body)
        return hasher.hexdigest()[:DIGEST_HEX_DIGITS]

    def compute_stream_content(self, workspace: str | None) -> str:
        """Return the digest of what is generated, the same for all tries of a caller.

        Requests for the same prompt share it; `StreamKey` tells their streams apart.
        Without a stated prompt, the id of the request that began the stream is part of
        it. The caller may retry it with another key of its workspace.

        Parameters
        ----------
        workspace : str or None
            Name of the caller's workspace.
        """
        if self.prompt_id is None or self.size is None:
            stream_id = self.original_request_id or self.request_id
        else:
            stream_id = f"{self.prompt_id} {tuple(self.size)}"
        identity = f"{self.content_digest} {workspace} {self.host} {stream_id}"
        return hashlib.sha256(identity.encode()).hexdigest()[:DIGEST_HEX_DIGITS]


@attrs.frozen(slots=True, kw_only=True)
class AttemptPlan:
    """Parameters of one attempt that are sent to the backend server.

    Parameters
    ----------
    remaining_s : float
        Time until the deadline of the request.
    workspace : str or None
        Name of the caller's workspace.
    priority : int or None
        Priority within the engine, 0 is the most urgent; None for the default.
    copy_to : str or None
        Address of the engine that stores a copy of the run's memory.
    copy : CopyReference or None
        Copy from which the run resumes.
    last_event_id : str or None
        Id of the last event that the caller has received.
    max_response_bytes : int
        Size from which the response counts as malformed.
    patience_s : float
        Time for which the server may send nothing at all before it counts as
        unresponsive.
    gap_patience_s : float or None
        The same once the body of the response has begun; None if it does not differ.
    """

    remaining_s: float
    workspace: str | None = None
    priority: int | None = None
    copy_to: str | None = None
    copy: CopyReference | None = None
    last_event_id: str | None = None
    max_response_bytes: int = MAX_RESPONSE_BYTES
    patience_s: float = math.inf
    gap_patience_s: float | None = None


class ResponseHead(NamedTuple):
    """Decoded status and headers of a backend server's response.

    Parameters
    ----------
    status : int
    headers : tuple of (bytes, bytes)
        Headers to forward to the caller.
    request_id : str or None
        Id of the request that the response belongs to.
    has_origin_proof : bool
        Whether the response carries the server's proof of origin.
    not_run : bool
        Whether the response proves that the request it names was not run.
    is_other_process : bool
        Whether the response comes from another process than the addressed one.
    other_server_id : str or None
        Id of that process, if the response states it.
    load : ServerLoad or None
        What the server says of its load.
    limits : ServerLimits
        What the server asks of all instances together.
    is_leaving : bool
        Whether the process that answered says that it leaves.
    rest_s : float or None
        Time for which that process wants no requests, seconds; None if it names none.
    unread_load : str or None
        What the server says of its load in a form that is not known.
    """

    status: int
    headers: Headers
    request_id: str | None
    has_origin_proof: bool
    not_run: bool
    is_other_process: bool
    other_server_id: str | None
    load: ServerLoad | None
    limits: ServerLimits = NO_LIMITS
    is_leaving: bool = False
    rest_s: float | None = None
    unread_load: str | None = None
