"""Message queue of one task."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime


class Inbox:
    """Unbounded message queue with a single consumer.

    The timer of one wait serves the next one: a cancelled timer would still wake the
    reactor when it is due.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_expiry", "_messages", "_reactor", "_timer", "_waiting")

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._messages: deque[Any] = deque()
        self._waiting: Deferred | None = None
        self._timer: IDelayedCall | None = None
        self._expiry: IDelayedCall | None = None  # of the consumer that waits

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
        self._start_timer(timeout_s)
        try:
            return await waiting
        except CancelledError:
            if self._waiting is waiting:
                self._waiting = None
            raise
        finally:
            if self._expiry is not None and self._expiry.active():
                self._expiry.cancel()

    def close(self) -> None:
        """Cancel the timer; nothing is got any more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _start_timer(self, timeout_s: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(timeout_s)
        else:
            self._timer = self._reactor.callLater(timeout_s, self._read_before_expiry)

    def _read_before_expiry(self) -> None:
        if self._waiting is not None:
            self._expiry = self._reactor.callLater(0.0, self._expire)

    def _expire(self) -> None:
        waiting, self._waiting = self._waiting, None
        waiting.callback(None)
