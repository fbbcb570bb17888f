"""Probes of servers that closed a connection: what has become of them."""

from __future__ import annotations

import enum
from collections.abc import Callable

from ebonyhaven_decisions.forwarding import Backend
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node.forwarding._connection_pool import ConnectFailure, ConnectionPool
from ebonyhaven_node.forwarding._contact_monitor import ContactMonitor

PROBE_DELAY_S = 0.05  # shorter than a server restart
PROBE_TIMEOUT_S = 0.15  # a live server accepts within milliseconds


class ServerFate(enum.Enum):
    """What a probe found.

    ``ALIVE``
        The server accepts connections.
    ``ENDED``
        No process listens at its address.
    ``SILENT``
        Nothing answers: its machine or the way to it is lost.
    """

    ALIVE = "alive"
    ENDED = "ended"
    SILENT = "silent"


class LossProbes:
    """Finds out whether servers have ended, with one probe at a time for each.

    Parameters
    ----------
    pool : ConnectionPool
    reactor : IReactorTime
    contact : ContactMonitor
    """

    __slots__ = ("_contact", "_pool", "_reactor", "_waiting")

    def __init__(
        self, pool: ConnectionPool, reactor: IReactorTime, contact: ContactMonitor
    ):
        self._pool = pool
        self._contact = contact
        self._reactor = reactor
        self._waiting: dict[str, list[Callable[[ServerFate], None]]] = {}

    def is_running(self, backend: Backend) -> bool:
        """Return whether the fate of a server is being found out.

        Parameters
        ----------
        backend : Backend
        """
        return backend.process_id in self._waiting

    def start(self, backend: Backend, on_result: Callable[[ServerFate], None]) -> None:
        """Find out the fate of a server soon.

        Parameters
        ----------
        backend : Backend
        on_result : callable
            Called with the `ServerFate`.
        """
        waiting = self._waiting.get(backend.process_id)
        if waiting is not None:
            waiting.append(on_result)
            return
        self._waiting[backend.process_id] = [on_result]
        self._reactor.callLater(PROBE_DELAY_S, self._probe, backend)

    def _probe(self, backend: Backend) -> None:
        def handle_result(failure: ConnectFailure | None) -> None:
            fate = _classify(failure)
            if fate is ServerFate.ALIVE:  # holds now, and whether others are reached
                report(fate)
            else:
                self._contact.call_when_known(lambda: report(fate))

        def report(fate: ServerFate) -> None:
            if fate is ServerFate.ENDED and self._contact.is_lost:
                fate = ServerFate.SILENT  # the way to it refuses all connections
            for on_result in self._waiting.pop(backend.process_id):
                on_result(fate)

        self._pool.probe_address(
            backend.entry.address, on_result=handle_result, timeout_s=PROBE_TIMEOUT_S
        )


def _classify(failure: ConnectFailure | None) -> ServerFate:
    if failure is None:
        return ServerFate.ALIVE
    return ServerFate.ENDED if failure.is_refused else ServerFate.SILENT
