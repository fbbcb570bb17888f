"""What the relays of requests share."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs
from ebonyhaven_decisions.forwarding import (
    Backend,
    PeerUse,
    PrefillRate,
    RepeatBudget,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._http_client import ConnectionPool
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._messages import BackendsChanged, BackendSuspected
from ebonyhaven_node.forwarding._metrics import ForwardingMetrics
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import BackendDialect

SILENT_SERVER_S = 0.2  # a working engine is heard more often than this


class Suspicions:
    """Tells the streams on a backend server that it is silent."""

    __slots__ = ("_inboxes",)

    def __init__(self) -> None:
        self._inboxes: dict[tuple[str, int], set[Inbox]] = {}

    def join(self, server_key: tuple[str, int], inbox: Inbox) -> None:
        """Tell ``inbox`` of suspicions against a server."""
        self._inboxes.setdefault(server_key, set()).add(inbox)

    def leave(self, server_key: tuple[str, int], inbox: Inbox) -> None:
        """Stop telling ``inbox``."""
        inboxes = self._inboxes.get(server_key, set())
        inboxes.discard(inbox)
        if not inboxes:
            self._inboxes.pop(server_key, None)

    def tell(self, server_key: tuple[str, int]) -> None:
        """Tell all streams on a server."""
        for inbox in list(self._inboxes.get(server_key, ())):
            inbox.put(BackendSuspected(server_key))


class Waiters:
    """Requests that wait for room, woken when something changes."""

    __slots__ = ("_inboxes",)

    def __init__(self) -> None:
        self._inboxes: dict[Inbox, None] = {}

    def __len__(self) -> int:
        return len(self._inboxes)

    def join(self, inbox: Inbox) -> None:
        """Wake ``inbox`` from now on."""
        self._inboxes[inbox] = None

    def leave(self, inbox: Inbox) -> None:
        """Wake it no more."""
        self._inboxes.pop(inbox, None)

    def wake(self) -> None:
        """Wake all, the longest waiting first."""
        for inbox in list(self._inboxes):
            inbox.put(BackendsChanged())


@attrs.frozen(slots=True, kw_only=True)
class RelayParts:
    """Collaborators of the relays.

    Parameters
    ----------
    state : ForwardingState
    pool : ConnectionPool
    dialect : BackendDialect
    budget : RepeatBudget
    peers : PeerUse
    prefill : PrefillRate
    suspicions : Suspicions
    waiters : Waiters
    metrics : ForwardingMetrics
    data_centre : str
        Where this instance is.
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds.
    on_use : callable
        Called when what this instance occupies on engines changed.
    """

    state: ForwardingState
    pool: ConnectionPool
    dialect: BackendDialect
    budget: RepeatBudget
    peers: PeerUse
    prefill: PrefillRate
    suspicions: Suspicions
    waiters: Waiters
    metrics: ForwardingMetrics
    data_centre: str
    reactor: IReactorTime
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    on_use: Callable[[], None] = lambda: None

    def count_unreachable(self, backend: Backend) -> None:
        """Keep new work away from a server, and tell the streams that it has.

        Parameters
        ----------
        backend : Backend
        """
        now = self.clock()
        backend.record_unreachable(now)
        self.pool.close_idle(backend.entry.address)
        if now - backend.heard_at > SILENT_SERVER_S:
            self.suspicions.tell(backend.key)
