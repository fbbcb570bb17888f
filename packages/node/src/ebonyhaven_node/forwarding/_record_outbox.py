"""Messages with records of streams, sent again if a queue was full."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._frames import FrameKind

RESEND_INTERVAL_S = 0.01  # in which a connection sends what its queue holds
MAX_WAIT_S = 2.0  # of a message; its receiver is not reached
MAX_WAITING_MESSAGES = 1000  # to one instance

_log = structlog.get_logger()


class _Waiting(NamedTuple):
    kind: FrameKind
    payload: Any
    since: float


class RecordOutbox:
    """Sends messages in order to each instance, and again if its queue was full.

    Many streams begin at once when an instance is lost; the queue of a connection holds
    few messages, and a record that is dropped is not repeated.

    Parameters
    ----------
    send : callable
        Sends a message to an instance, by name, kind and payload; returns whether the
        queue had room.
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        send: Callable[[str, FrameKind, Any], bool],
        reactor: IReactorTime,
        clock: Callable[[], float],
    ):
        self._send = send
        self._reactor = reactor
        self._clock = clock
        self._waiting: dict[str, deque[_Waiting]] = {}
        self._timer: Any = None

    def send(self, name: str, kind: FrameKind, payload: Any) -> None:
        """Send a message now, or behind those that wait.

        Parameters
        ----------
        name : str
            Name of the receiving instance.
        kind : FrameKind
        payload : object
            JSON value.
        """
        if name not in self._waiting and self._send(name, kind, payload):
            return
        waiting = self._waiting.setdefault(name, deque(maxlen=MAX_WAITING_MESSAGES))
        waiting.append(_Waiting(kind, payload, self._clock()))
        self._schedule()

    def stop(self) -> None:
        """Give up what waits."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(RESEND_INTERVAL_S, self._resend)

    def _resend(self) -> None:
        oldest = self._clock() - MAX_WAIT_S
        for name, waiting in list(self._waiting.items()):
            count = len(waiting)
            while waiting and self._send(name, *waiting[0][:2]):
                waiting.popleft()
            while waiting and waiting[0].since < oldest:
                waiting.popleft()
            if not waiting:
                del self._waiting[name]
                _log.info("stream_records_delayed", peer=name, messages=count)
        if self._waiting:
            self._schedule()
