"""Finds out whether this instance reaches any backend server."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions.forwarding import (
    Backend,
    ServerContact,
    choose_checked_servers,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._connection_pool import ConnectFailure, ConnectionPool
from ebonyhaven_node.forwarding._state import ForwardingState

CHECK_DELAY_S = 0.03  # within which streams bring data of servers that are alive
CHECK_TIMEOUT_S = 0.25  # a live server accepts within milliseconds
RETRY_INTERVAL_S = 0.3  # between probes while no server is reached
RETRY_TIMEOUT_S = 0.5  # the link of this instance may be in full use
# A probe waits behind what this instance sends to others. Its own estimate of that must
# not hide a cut for long.
MAX_LINK_WAIT_S = 0.5

_log = structlog.get_logger()


class ContactMonitor:
    """Probes some servers at once when connections to servers fail.

    If none of them accepts a connection, contact is lost until one does.

    Parameters
    ----------
    state : ForwardingState
    pool : ConnectionPool
        All connections to servers, whatever they are for.
    reactor : IReactorTime
    rng : random.Random
    clock : callable
        Returns seconds.
    measure_link_wait_s : callable
        Returns how long messages to other instances wait for the link, seconds.
    on_change : callable
        Called when contact was lost or is back.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        pool: ConnectionPool,
        reactor: IReactorTime,
        rng: random.Random,
        clock: Callable[[], float],
        measure_link_wait_s: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._state = state
        self._pool = pool
        self._reactor = reactor
        self._rng = rng
        self._clock = clock
        self._measure_link_wait_s = measure_link_wait_s
        self._on_change = on_change
        self._contact = ServerContact()
        self._timer: Any = None
        self._running_probes = 0
        self._waiting: list[Callable[[], None]] = []
        pool.observe_connections(self._handle_connected, self._handle_failed)

    @property
    def is_lost(self) -> bool:
        """Whether no server can be reached."""
        return self._contact.is_lost

    @property
    def is_confirmed_lost(self) -> bool:
        """Whether no server can be reached, see `ServerContact.is_confirmed_lost`."""
        return self._contact.is_confirmed_lost

    def record_received(self, backend: Backend) -> None:
        """Record that a server sent data on an open connection.

        Parameters
        ----------
        backend : Backend
        """
        if self._contact.is_in_doubt:
            self._contact.record_received(backend.entry.address, self._clock())

    def call_when_known(self, callback: Callable[[], None]) -> None:
        """Call back once a check under way has ended, or now if there is none.

        Parameters
        ----------
        callback : callable
        """
        if self._is_checking():
            self._waiting.append(callback)
        else:
            callback()

    def stop(self) -> None:
        """Cancel scheduled probes."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _is_checking(self) -> bool:
        is_scheduled = self._timer is not None and self._timer.active()
        return not self.is_lost and (is_scheduled or self._running_probes > 0)

    def _is_backend(self, address: str) -> bool:
        return any(each.entry.address == address for each in self._state.backends)

    def _handle_connected(self, address: str) -> None:
        if not self._is_backend(address):
            return
        was_lost = self.is_lost
        self._contact.record_connected(self._clock())
        if was_lost:
            self.stop()
            _log.warning("server_contact_regained", server_address=address)
            self._on_change()
        self._release_waiting()

    def _handle_failed(self, address: str, failure: ConnectFailure) -> None:
        if self.is_lost or not self._is_backend(address):
            return
        self._contact.record_failed(address, self._clock())
        if not self._is_checking():
            self._timer = self._reactor.callLater(CHECK_DELAY_S, self._check, address)

    def _check(self, failed_address: str) -> None:
        if self._contact.is_check_due(self._clock()):
            self._begin_check(failed_address)
        else:
            self._release_waiting()

    def _begin_check(self, excluded: str | None) -> None:
        self._contact.begin_check(self._clock())
        self._probe(excluded, CHECK_TIMEOUT_S, self._conclude)

    def _conclude(self) -> None:
        """Take contact as lost unless a server has accepted a connection since."""
        if self._contact.end_check(self._clock()):
            _log.warning(
                "server_contact_lost",
                servers=sum(1 for _ in self._state.backends),
                link_wait_s=round(self._measure_link_wait_s(), 2),
            )
            self._on_change()
        self._probe_again_if_due()

    def _probe_again_if_due(self) -> None:
        """Probe servers again if contact is lost, or may have been lost meanwhile."""
        if not self.is_lost and self._contact.has_many_failures:
            self._begin_check(None)
        else:
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        """Probe servers until one is reached again."""
        self._release_waiting()
        if self.is_lost:
            self._timer = self._reactor.callLater(
                RETRY_INTERVAL_S, self._probe, None, RETRY_TIMEOUT_S, self._end_retry
            )

    def _end_retry(self) -> None:
        self._contact.record_retry_failed()
        self._probe_again_if_due()

    def _probe(
        self, excluded: str | None, timeout_s: float, on_done: Callable[[], None]
    ) -> None:
        servers = choose_checked_servers(
            self._state.backends, excluded=excluded, rng=self._rng
        )
        pending = {each.key for each in servers}
        timeout_s += min(MAX_LINK_WAIT_S, self._measure_link_wait_s())
        self._running_probes += len(pending)

        def handle_result(backend: Backend, _: ConnectFailure | None) -> None:
            self._running_probes -= 1
            pending.discard(backend.key)
            if not pending:
                on_done()

        if not servers:
            self._timer = self._reactor.callLater(timeout_s, on_done)
        for backend in servers:
            self._pool.probe_address(
                backend.entry.address,
                on_result=functools.partial(handle_result, backend),
                timeout_s=timeout_s,
            )

    def _release_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
