"""Requests to be scheduled, and the decisions about them."""

from __future__ import annotations

import enum
import math

import attrs

from ebonyhaven_decisions._servers import ServerState

PREFILL_TOKEN_COST_RATIO = 0.1


@attrs.frozen(slots=True, kw_only=True)
class WorkItem:
    """One request that is scheduled on a backend server.

    Parameters
    ----------
    item_id : str
        Identifier of the request, unique within the instance.
    workspace : str
    class_name : str
    model : str
        Model name, or ``service/NAME`` for a plain service.
    prompt_tokens : int
    max_tokens : int
        Maximum length of the output that the caller asks for.
    prefix_digests : tuple of str
        Digests of prefixes of the prompt, in order of increasing length.
    prefix_tokens : tuple of int
        Length in tokens of each prefix in `prefix_digests`.
    arrival : float
        Time of arrival, seconds.
    deadline : float
        Time until which the caller waits for the answer, seconds.
    """

    item_id: str
    workspace: str
    class_name: str
    model: str
    prompt_tokens: int = 0
    max_tokens: int = 1
    prefix_digests: tuple[str, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    arrival: float = 0.0
    deadline: float = math.inf


@attrs.frozen(slots=True, kw_only=True)
class ServerChoice:
    """Backend server chosen for a request.

    Parameters
    ----------
    server : ServerState
    cached_tokens : int
        Tokens of the prompt that the server is expected to have in its cache.
    predicted_first_token_s : float
        Predicted time from the dispatch to the first token, seconds.
    """

    server: ServerState
    cached_tokens: int = 0
    predicted_first_token_s: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class Dispatch:
    """Decision to send a request to a backend server now.

    Parameters
    ----------
    item : WorkItem
    choice : ServerChoice
    engine_priority : int
        Priority in the queue of the engine; 0 is served first.
    """

    item: WorkItem
    choice: ServerChoice
    engine_priority: int = 0


class RefusalReason(enum.StrEnum):
    """Why a request that did not run was refused."""

    UNKNOWN_CLASS = "unknown class"
    LATE_FIRST_TOKEN = "the first token would miss the target of the class"
    LATE_COMPLETION = "the answer would end after its deadline"
    QUEUE_TIMEOUT = "the request waited as long as its class allows"
    QUEUE_FULL = "the queue of this instance is full"
    NO_SERVER = "no backend server can take the request"
    RETRY_BUDGET = "the retry budget is spent"


@attrs.frozen(slots=True, kw_only=True)
class Refusal:
    """Final answer for a request that was not dispatched.

    Parameters
    ----------
    item : WorkItem
    reason : RefusalReason
    retry_after_s : float
        Delay after which a retry may be admitted, seconds.
    """

    item: WorkItem
    reason: RefusalReason
    retry_after_s: float


def compute_cost(prefill_tokens: float, decode_tokens: float) -> float:
    """Return the service that a request consumes, in decode tokens.

    A prefill token counts as `PREFILL_TOKEN_COST_RATIO` decode tokens.

    Parameters
    ----------
    prefill_tokens, decode_tokens : float

    Returns
    -------
    float
    """
    return decode_tokens + PREFILL_TOKEN_COST_RATIO * prefill_tokens
