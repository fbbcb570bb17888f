"""The steps in which an instance shuts down, so that each request ends in time."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import structlog
from twisted.internet import task
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._active_requests import ActiveRequests
from ebonyhaven_node.forwarding._http_server import CallerServer
from ebonyhaven_node.forwarding._shutdown import Shutdown

POLL_INTERVAL_S = 0.05
ENDING_S = 0.1  # in which relays end what is in progress when the instance closes
SENDING_S = 0.2  # in which responses that were written reach their callers

_log = structlog.get_logger()


class StopSequence:
    """Shuts an instance down gracefully.

    Callers may use an entry list for several times its time to live. Therefore the
    instance stays reachable until shortly before the end of the grace period, and
    rejects only requests that could not finish in time.

    A step that raises is logged, and the next ones follow: an error in what other
    instances are told must not cut the requests of callers.

    Parameters
    ----------
    shutdown : Shutdown
    active : ActiveRequests
    server : CallerServer
    membership : MembershipController
    listening : contextlib.ExitStack
        Closes the listener of callers.
    wake_requests : callable
        Has requests in progress take the end of the instance into account.
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        shutdown: Shutdown,
        active: ActiveRequests,
        server: CallerServer,
        membership: MembershipController,
        listening: contextlib.ExitStack,
        wake_requests: Callable[[], None],
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._shutdown = shutdown
        self._active = active
        self._server = server
        self._membership = membership
        self._listening = listening
        self._wake_requests = wake_requests
        self._reactor = reactor
        self._clock = clock

    async def run(self, asked_at: float | None = None) -> None:
        """Shut down; returns once all connections are closed.

        Parameters
        ----------
        asked_at : float or None
            See `Shutdown.begin`.
        """
        self._shutdown.begin(asked_at)
        late_s = 0.0 if asked_at is None else self._clock() - asked_at
        _log.info("instance_leaving", active=len(self._active), late_s=round(late_s, 3))
        with _log_errors("membership"):
            self._membership.leave()
        with _log_errors("requests"):
            self._wake_requests()
        closing_time = self._shutdown.closing_time
        await self._poll_until(lambda: False, closing_time)
        with _log_errors("listener"):  # callers go elsewhere
            self._listening.close()
        departure = None
        with _log_errors("membership"):
            departure = self._membership.depart()
        await task.deferLater(self._reactor, 0.0)  # the listener closes in this turn
        await self._end_requests(closing_time)
        with _log_errors("membership"):
            if departure is not None:
                await departure
        self._server.abort_all()

    async def _end_requests(self, closing_time: float) -> None:
        """Let relays end their requests, end the others, and close the connections."""
        await self._poll_until(lambda: not self._active, closing_time + ENDING_S)
        self._active.end_all()
        _log.info("instance_stopped", **self._active.summarize_shutdown())
        self._server.close_all()
        await self._poll_until(
            lambda: not self._server.connections, closing_time + ENDING_S + SENDING_S
        )

    async def _poll_until(self, is_done: Callable[[], bool], deadline: float) -> None:
        """Wait until something is done, or until a deadline in seconds."""
        while not is_done() and (remaining_s := deadline - self._clock()) > 0.0:
            await task.deferLater(self._reactor, min(POLL_INTERVAL_S, remaining_s))


@contextlib.contextmanager
def _log_errors(step: str) -> Iterator[None]:
    try:
        yield
    except Exception:
        _log.exception("stop_step_failed", step=step)
