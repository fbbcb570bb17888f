"""Requests that arrive before an instance has read its first state."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import StateWaitLimits
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._requests import ForwardRequest
from ebonyhaven_node.forwarding._state import ForwardingState

_log = structlog.get_logger()


class StateWaiter:
    """Lets requests wait until configuration and server list have been read once.

    Parameters
    ----------
    state : ForwardingState
    reactor : IReactorTime
    """

    def __init__(self, state: ForwardingState, reactor: IReactorTime):
        self._state = state
        self._reactor = reactor
        self._limits = StateWaitLimits()
        self._waiting: list[Deferred] = []
        self._is_stopped = False
        state.observe(self._release)

    async def wait(self, request: ForwardRequest) -> bool:
        """Wait for the state, within the limits of `StateWaitLimits`.

        Parameters
        ----------
        request : ForwardRequest

        Returns
        -------
        bool
            Whether the state is complete.
        """
        if self._state.is_complete:
            return True
        if self._is_stopped:
            return False
        size = len(request.body)
        wait_s = self._limits.compute_wait_s(
            timeout_s=request.timeout_s, body_bytes=size
        )
        if wait_s <= 0.0:
            return False
        released: Deferred = Deferred()
        timer = self._reactor.callLater(wait_s, self._expire, released)
        self._waiting.append(released)
        self._limits.add(size)
        started_at = self._reactor.seconds()
        try:
            await released
        finally:
            self._limits.remove(size)
            if released in self._waiting:
                self._waiting.remove(released)
            if timer.active():
                timer.cancel()
        _log.info(
            "request_waited_for_state",
            request=request.request_id,
            waited_s=round(self._reactor.seconds() - started_at, 3),
            is_complete=self._state.is_complete,
        )
        return self._state.is_complete

    def stop(self) -> None:
        """Let no request wait any longer."""
        self._is_stopped = True
        self._release_all()

    def _release(self) -> None:
        if self._state.is_complete:
            self._release_all()

    def _release_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for released in waiting:
            released.callback(None)

    def _expire(self, released: Deferred) -> None:
        self._waiting.remove(released)
        released.callback(None)
