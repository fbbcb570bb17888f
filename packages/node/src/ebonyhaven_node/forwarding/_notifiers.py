"""Notifiers that put messages about servers into the inboxes of relays."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from ebonyhaven_decisions.forwarding import Backend
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendSuspected,
    CapacityChanged,
    TraitsDecided,
)

COALESCING_S = 0.05
MAX_WAKES_PER_TURN = 64  # of relays, each of which may end and start attempts


class _Notifier:
    """Inboxes of the subscribers, notified in order.

    Messages are put into them in later turns of the reactor, a bounded number at a
    time, so that the end of one request never runs within that of another. A message
    that a subscriber has not got yet is not repeated.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_inboxes", "_pending", "_reactor", "_turn")

    def __init__(self, reactor: IReactorTime) -> None:
        self._reactor = reactor
        self._inboxes: dict[Inbox, Callable[[], int]] = {}
        self._pending: dict[tuple[Inbox, object], None] = {}
        self._turn: IDelayedCall | None = None

    def __len__(self) -> int:
        return len(self._inboxes)

    def subscribe(
        self, inbox: Inbox, read_order: Callable[[], int] = lambda: 0
    ) -> None:
        """Add a subscriber.

        Parameters
        ----------
        inbox : Inbox
            Receives the messages.
        read_order : callable
            Returns a number; subscribers with smaller ones are notified first, and
            equal ones in the order of their subscription.
        """
        self._inboxes[inbox] = read_order

    def unsubscribe(self, inbox: Inbox) -> None:
        """Remove a subscriber, if subscribed.

        Parameters
        ----------
        inbox : Inbox
        """
        self._inboxes.pop(inbox, None)

    def stop(self) -> None:
        """Cancel scheduled notifications."""
        if self._turn is not None and self._turn.active():
            self._turn.cancel()

    def _send(self, message: object) -> None:
        for inbox in sorted(self._inboxes, key=lambda each: self._inboxes[each]()):
            self._pending[inbox, message] = None
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        is_scheduled = self._turn is not None and self._turn.active()
        if self._pending and not is_scheduled:
            self._turn = self._reactor.callLater(0.0, self._run_turn)

    def _run_turn(self) -> None:
        due = list(itertools.islice(self._pending, MAX_WAKES_PER_TURN))
        for inbox, message in due:
            del self._pending[inbox, message]
        self._schedule_turn()
        for inbox, message in due:
            if inbox in self._inboxes:
                inbox.put(message)


class SuspicionNotifier(_Notifier):
    """Notifies streams of lost and silent servers with `BackendSuspected`."""

    __slots__ = ()

    def notify(self, backend: Backend) -> None:
        """Notify all subscribers of a suspected server.

        Parameters
        ----------
        backend : Backend
        """
        self._send(BackendSuspected(backend.key, backend.entry.data_centre))


class CrashNotifier(_Notifier):
    """Notifies running streams with `TraitsDecided`."""

    __slots__ = ()

    def notify(self) -> None:
        """Notify all subscribers in the order of their subscription."""
        self._send(TraitsDecided())


class CapacityNotifier(_Notifier):
    """Notifies waiting requests with `CapacityChanged`.

    Servers or capacity may then have become available.

    Parameters
    ----------
    reactor : IReactorTime
    """

    __slots__ = ("_timer",)

    def __init__(self, reactor: IReactorTime) -> None:
        super().__init__(reactor)
        self._timer: IDelayedCall | None = None

    def notify(self) -> None:
        """Notify all subscribers in the order of their subscription."""
        self._send(CapacityChanged())

    def notify_soon(self) -> None:
        """Notify all subscribers within `COALESCING_S`, once for several calls.

        For changes that come many times a second: each waiting request looks at all
        servers when it is notified.
        """
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(COALESCING_S, self.notify)

    def stop(self) -> None:
        """Cancel scheduled notifications."""
        super().stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
