"""Interfaces for acquiring a slot on a backend server for a request."""

from __future__ import annotations

import abc
import time

import attrs

from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._servers import BackendServer


@attrs.define(slots=True, kw_only=True, eq=False)
class Slot:
    """Capacity for one stream on a backend server.

    Parameters
    ----------
    server : BackendServer
    held : bool
        False after the slot was released.
    priority : int
        Priority in the queue of the engine; 0 is served first, then 1 and so on.
    """

    server: BackendServer
    held: bool = True
    priority: int = 0

    def release(self) -> None:
        """Release the slot; further calls do nothing."""
        if self.held:
            self.held = False
            self.server.in_flight -= 1

    def record_tokens(self, count: int) -> None:
        """Record tokens received from the server."""
        return

    def record_completion(self) -> None:
        """Record that the output is complete."""
        return

    def record_refusal(self, reason: str) -> None:
        """Record that the server refused the request.

        Parameters
        ----------
        reason : str
            Error name in the response of the server.
        """
        return


@attrs.frozen(slots=True, kw_only=True)
class SlotRequest:
    """Request for a slot.

    Parameters
    ----------
    request : GenerationRequest
        Request of the caller.
    pools : frozenset of str
        Pools that serve the model.
    deadline : float
        Monotonic time after which a resumed stream stops waiting, seconds; other
        requests wait as long as their class allows.
    excluded : frozenset of str
        Backend servers that must not be chosen.
    resume : bool
        Whether the slot is for resuming a lost stream.
    retry : bool
        Whether an earlier attempt at the same request was refused or lost.
    arrival : float
        Monotonic time at which the request arrived, seconds.
    """

    request: GenerationRequest
    pools: frozenset[str]
    deadline: float
    excluded: frozenset[str] = frozenset()
    resume: bool = False
    retry: bool = False
    arrival: float = attrs.field(factory=time.monotonic)


class SlotScheduler(abc.ABC):
    """Assigns requests to slots on backend servers."""

    @abc.abstractmethod
    async def acquire(self, slot_request: SlotRequest) -> Slot:
        """Wait for a slot on a suitable backend server.

        Raises
        ------
        RequestFailure
            ``not_run`` with a retry time, as soon as it is known that no slot
            will be available in time.
        CancelledError
            If the Deferred of the coroutine is cancelled.
        """

    @abc.abstractmethod
    def adopt(self, server: BackendServer) -> Slot:
        """Return a slot for a stream that already runs on a server."""
