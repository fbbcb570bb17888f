"""Message queue of one task."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime


class Inbox:
    """Unbounded message queue with a single consumer.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_messages", "_reactor", "_timer", "_waiting")

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._messages: deque[Any] = deque()
        self._waiting: Deferred | None = None
        self._timer: IDelayedCall | None = None  # of the consumer that waits

    def put(self, message: Any) -> None:
        """Add a message; a waiting consumer is resumed synchronously.

        A consumer that ends or starts other requests must not be woken by them in this
        way; notifiers do so in later turns of the reactor.

        Parameters
        ----------
        message : object
        """
        if self._waiting is None:
            self._messages.append(message)
            return
        waiting, self._waiting = self._waiting, None
        waiting.callback(message)

    async def get(self, timeout_s: float) -> Any:
        """Remove and return the next message, waiting for it if there is none.

        A timeout counts only after the reactor has read once more: if the process stood
        still, timers are due although messages have arrived.

        Parameters
        ----------
        timeout_s : float

        Returns
        -------
        object
            None after a timeout.
        """
        if self._messages:
            return self._messages.popleft()
        if timeout_s <= 0.0:
            return None
        waiting = self._waiting = Deferred()
        self._timer = self._reactor.callLater(timeout_s, self._read_before_expiry)
        try:
            return await waiting
        except CancelledError:
            if self._waiting is waiting:
                self._waiting = None
            raise
        finally:
            if self._timer.active():
                self._timer.cancel()

    def _read_before_expiry(self) -> None:
        self._timer = self._reactor.callLater(0.0, self._expire)

    def _expire(self) -> None:
        waiting, self._waiting = self._waiting, None
        waiting.callback(None)
