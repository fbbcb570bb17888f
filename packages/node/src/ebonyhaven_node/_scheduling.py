"""Choice of a backend server for a request, and waiting for one."""

from __future__ import annotations

import abc
import collections
import time

import attrs
from ebonyhaven_decisions import Outcome, OutcomeTag, RequestFailure
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._requests import GenerationRequest
from ebonyhaven_node._servers import BackendServer, BackendServers

RECHECK_PERIOD_S = 0.05
RETRY_AFTER_S = 1.0


@attrs.define(slots=True, kw_only=True, eq=False)
class Slot:
    """Room for one stream on a backend server.

    Parameters
    ----------
    server : BackendServer
    held : bool
        False once the room was given back.
    """

    server: BackendServer
    held: bool = True

    def release(self) -> None:
        """Give the room back; further calls do nothing."""
        if self.held:
            self.held = False
            self.server.in_flight -= 1


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
    """

    request: GenerationRequest
    pools: frozenset[str]
    deadline: float
    excluded: frozenset[str] = frozenset()
    resume: bool = False


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
        """

    @abc.abstractmethod
    def adopt(self, server: BackendServer) -> Slot:
        """Count a stream that was found running on a server."""


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    wish: SlotWish
    granted: Deferred


class LeastInFlightScheduling(Scheduling):
    """Takes the server with the fewest streams of this instance, in FIFO order.

    Parameters
    ----------
    servers : BackendServers
    reactor : IReactorTime
    """

    def __init__(self, *, servers: BackendServers, reactor: IReactorTime):
        self._servers = servers
        self._reactor = reactor
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._recheck_scheduled = False

    async def acquire(self, wish: SlotWish) -> Slot:
        """See `Scheduling.acquire`; resumed streams do not queue."""
        server = self._choose(wish)
        if server is not None and (wish.resume or not self._waiters):
            return self.adopt(server)
        waiter = _Waiter(wish, Deferred())
        self._enqueue(waiter)
        return await waiter.granted

    def adopt(self, server: BackendServer) -> Slot:
        """See `Scheduling.adopt`."""
        server.in_flight += 1
        return Slot(server=server)

    def _choose(self, wish: SlotWish) -> BackendServer | None:
        now = time.monotonic()
        suitable = [
            server
            for server in self._servers.in_pools(wish.pools)
            if server.name not in wish.excluded
            and server.accepts_work(now)
            and server.in_flight < server.capacity
        ]
        if not suitable:
            return None
        return min(suitable, key=lambda item: max(item.in_flight, item.running))

    def _enqueue(self, waiter: _Waiter) -> None:
        if waiter.wish.resume:
            self._waiters.appendleft(waiter)
        else:
            self._waiters.append(waiter)
        self._schedule_recheck()

    def _schedule_recheck(self) -> None:
        if self._waiters and not self._recheck_scheduled:
            self._recheck_scheduled = True
            self._reactor.callLater(RECHECK_PERIOD_S, self._recheck)

    def _recheck(self) -> None:
        self._recheck_scheduled = False
        waiting, self._waiters = self._waiters, collections.deque()
        for waiter in waiting:
            if not self._settle(waiter):
                self._waiters.append(waiter)
        self._schedule_recheck()

    def _settle(self, waiter: _Waiter) -> bool:
        if waiter.granted.called:
            return True
        server = self._choose(waiter.wish)
        if server is not None:
            waiter.granted.callback(self.adopt(server))
            return True
        if time.monotonic() < waiter.wish.deadline:
            return False
        waiter.granted.errback(RequestFailure(_describe_full()))
        return True


def _describe_full() -> Outcome:
    return Outcome(
        tag=OutcomeTag.NOT_RUN,
        step="queue",
        peer="self",
        reason="no backend server had room in time",
        status=503,
        retry_after_s=RETRY_AFTER_S,
    )
