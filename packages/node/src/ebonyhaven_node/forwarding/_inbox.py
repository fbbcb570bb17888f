"""Message queue of one task."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime


class Inbox:
    """Unbounded message queue with a single consumer.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_messages", "_reactor", "_waiting")

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._messages: deque[Any] = deque()
        self._waiting: Deferred | None = None

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
        timer = self._reactor.callLater(timeout_s, self._expire, waiting)
        try:
            return await waiting
        except CancelledError:
            if self._waiting is waiting:
                self._waiting = None
            raise
        finally:
            if timer.active():
                timer.cancel()

    def _expire(self, waiting: Deferred) -> None:
        if self._waiting is waiting:
            self._waiting = None
            waiting.callback(None)
