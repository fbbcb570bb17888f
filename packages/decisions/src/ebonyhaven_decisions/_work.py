"""Requests as the scheduler sees them, and its decisions about them."""

from __future__ import annotations

import enum
import math

import attrs

from ebonyhaven_decisions._servers import ServerState

PREFILL_TOKEN_COST = 0.1


@attrs.frozen(slots=True, kw_only=True)
class WorkItem:
    """One request that waits for a backend server.

    Parameters
    ----------
    item_id : str
        Run identifier.
    workspace : str
    class_name : str
    model : str
        Model, or ``service/NAME`` for a plain service.
    prompt_tokens : int
    max_tokens : int
        Longest output that the caller asks for.
    prefix_digests : tuple of str
        Digests of ever longer prefixes of the prompt.
    prefix_tokens : tuple of int
        Tokens that each of `prefix_digests` covers.
    arrival : float
        Seconds.
    deadline : float
        Latest end that is of use to the caller, seconds.
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
class Choice:
    """A backend server chosen for a request.

    Parameters
    ----------
    server : ServerState
    cached_tokens : int
        Tokens of the prompt that its cache is thought to hold.
    predicted_first_token_s : float
        Seconds from the dispatch.
    """

    server: ServerState
    cached_tokens: int = 0
    predicted_first_token_s: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class Dispatch:
    """Order to send a request to a backend server now.

    Parameters
    ----------
    item : WorkItem
    choice : Choice
    engine_priority : int
        0 is served first.
    """

    item: WorkItem
    choice: Choice
    engine_priority: int = 0


class RefusalReason(enum.StrEnum):
    """Why a request that did not run was given up."""

    UNKNOWN_CLASS = "unknown class"
    LATE_FIRST_TOKEN = "the first token would miss the target of the class"
    LATE_END = "the answer would end after its deadline"
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
        Seconds after which another try may be admitted.
    """

    item: WorkItem
    reason: RefusalReason
    retry_after_s: float


def compute_cost(prefill_tokens: float, decode_tokens: float) -> float:
    """Return the service that a request consumes, in decode tokens.

    Parameters
    ----------
    prefill_tokens, decode_tokens : float

    Returns
    -------
    float
    """
    return decode_tokens + PREFILL_TOKEN_COST * prefill_tokens
