"""Choice of a backend server for a request, and waiting for one."""

from __future__ import annotations

import abc
import time

import attrs

from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._servers import BackendServer


@attrs.define(slots=True, kw_only=True, eq=False)
class Slot:
    """Room for one stream on a backend server.

    Parameters
    ----------
    server : BackendServer
    held : bool
        False once the room was given back.
    priority : int
        Priority at the engine; 0 is served first.
    """

    server: BackendServer
    held: bool = True
    priority: int = 0

    def release(self) -> None:
        """Give the room back; further calls do nothing."""
        if self.held:
            self.held = False
            self.server.in_flight -= 1

    def record_tokens(self, count: int) -> None:
        """Count tokens that arrived from the server."""
        return

    def record_completion(self) -> None:
        """Take note that the output ended by itself."""
        return

    def record_refusal(self, reason: str) -> None:
        """Take note of the name of the error with which the server refused."""
        return


@attrs.frozen(slots=True, kw_only=True)
class SlotWish:
    """What a slot is wanted for.

    Parameters
    ----------
    request : GenerationRequest
    pools : frozenset of str
        Pools that serve the model.
    deadline : float
        Monotonic time after which the wish is given up, seconds.
    excluded : frozenset of str
        Backend servers that must not be chosen.
    resume : bool
        Whether a stream that was lost goes on with it.
    retry : bool
        Whether an earlier attempt at the same request was refused or lost.
    arrival : float
        Monotonic time at which the caller asked, seconds.
    """

    request: GenerationRequest
    pools: frozenset[str]
    deadline: float
    excluded: frozenset[str] = frozenset()
    resume: bool = False
    retry: bool = False
    arrival: float = attrs.field(factory=time.monotonic)


class Scheduling(abc.ABC):
    """Decides which request goes to which backend server, and when."""

    @abc.abstractmethod
    async def acquire(self, wish: SlotWish) -> Slot:
        """Wait for room on a suitable backend server.

        Raises
        ------
        RequestFailure
            ``not_run`` with a retry time, as soon as it is clear that no room
            will be had in time.
        CancelledError
            If the Deferred of the coroutine is cancelled.
        """

    @abc.abstractmethod
    def adopt(self, server: BackendServer) -> Slot:
        """Count a stream that was found running on a server."""
