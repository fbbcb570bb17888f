"""Notifiers that put messages about servers into the inboxes of relays."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import Backend

from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import (
    BackendSuspected,
    CapacityChanged,
    TraitsDecided,
)


class _Notifier:
    """Inboxes of the subscribers, in the order of their subscription."""

    __slots__ = ("_inboxes",)

    def __init__(self) -> None:
        self._inboxes: dict[Inbox, None] = {}

    def __len__(self) -> int:
        return len(self._inboxes)

    def subscribe(self, inbox: Inbox) -> None:
        """Add a subscriber.

        Parameters
        ----------
        inbox : Inbox
            Receives the messages.
        """
        self._inboxes[inbox] = None

    def unsubscribe(self, inbox: Inbox) -> None:
        """Remove a subscriber, if subscribed.

        Parameters
        ----------
        inbox : Inbox
        """
        self._inboxes.pop(inbox, None)

    def _send(self, message: object) -> None:
        for inbox in list(self._inboxes):
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
    """

    __slots__ = ()

    def notify(self) -> None:
        """Notify all subscribers in the order of their subscription."""
        self._send(CapacityChanged())
