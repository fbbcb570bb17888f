"""Connections to many addresses, made and kept for reuse."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._http_client import HttpConnection

CONNECT_TIMEOUT_S = 0.3  # a live server accepts within a few milliseconds
SWEEP_INTERVAL_S = 0.5


class _Connecting(ClientFactory):
    """Makes one connection and tells the pool how that went."""

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        *,
        on_connected: Callable[[HttpConnection], None],
        on_failed: Callable[[str], None],
    ):
        self._connection = connection
        self._on_made = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, address: object) -> HttpConnection:  # noqa: N802 the same
        """Return the connection; it is used once it is made."""
        self._connection.factory = self
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802 the same
        """Tell that no connection was made."""
        self._on_failed(reason.getErrorMessage())


class _MadeConnection(HttpConnection):
    """Tells once that it is made."""

    on_connected: Callable[[HttpConnection], None]

    def connectionMade(self) -> None:  # noqa: N802 the same
        """See `HttpConnection.connectionMade`."""
        super().connectionMade()
        self.on_connected(self)


class PendingConnection:
    """A connection that is being made, which can be given up."""

    __slots__ = ("_connector", "_is_done")

    def __init__(self) -> None:
        self._connector = None
        self._is_done = False

    def start(self, connector: object) -> None:
        """Take the connector to stop when it is given up."""
        self._connector = connector

    def finish(self) -> bool:
        """Return whether anybody still waits for it."""
        was_waiting = not self._is_done
        self._is_done = True
        return was_waiting

    def cancel(self) -> None:
        """Stop connecting."""
        if self.finish() and self._connector is not None:
            self._connector.disconnect()


class ConnectionPool:
    """Connections to many addresses, kept while they can be used again.

    Parameters
    ----------
    reactor : IReactorTCP
    clock : callable
        Returns seconds.
    """

    def __init__(
        self, reactor: IReactorTCP, clock: Callable[[], float] = time.monotonic
    ):
        self._reactor = reactor
        self._clock = clock
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open: dict[str, int] = {}
        self.opened_count = 0

    def count_open(self, address: str) -> int:
        """Return the connections to an address, busy and idle.

        Parameters
        ----------
        address : str
        """
        return self._open.get(address, 0)

    def acquire_idle(self, address: str) -> HttpConnection | None:
        """Return a connection that can be used at once.

        Parameters
        ----------
        address : str

        Returns
        -------
        HttpConnection or None
        """
        idle = self._idle.get(address, [])
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_fresh(now):
                return connection
            connection.abort()
        return None

    def connect(
        self,
        address: str,
        *,
        on_connected: Callable[[HttpConnection], None],
        on_failed: Callable[[str], None],
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> PendingConnection:
        """Make a new connection.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_connected : callable
            Called with the connection.
        on_failed : callable
            Called with the reason when there will be none.
        timeout_s : float

        Returns
        -------
        PendingConnection
        """
        pending = PendingConnection()
        connection = _MadeConnection(
            on_idle=lambda each: self._keep(address, each),
            on_lost=lambda each: self._drop(address, each),
            clock=self._clock,
        )

        def hand_over(made: HttpConnection) -> None:
            self._open[address] = self._open.get(address, 0) + 1
            self.opened_count += 1
            if pending.finish():
                on_connected(made)
            else:
                made.abort()

        def give_up(reason: str) -> None:
            if pending.finish():
                on_failed(reason)

        connection.on_connected = hand_over
        factory = _Connecting(connection, on_connected=hand_over, on_failed=give_up)
        host, _, port = address.rpartition(":")
        pending.start(
            self._reactor.connectTCP(host, int(port), factory, timeout=timeout_s)
        )
        return pending

    def probe_address(
        self, address: str, *, on_result: Callable[[bool], None], timeout_s: float
    ) -> None:
        """Try whether a server accepts connections; a new one is kept for use.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_result : callable
            Called with whether it did.
        timeout_s : float
        """

        def keep(connection: HttpConnection) -> None:
            connection.wait_for_use(self._clock())
            self._keep(address, connection)
            on_result(True)

        self.connect(
            address,
            on_connected=keep,
            on_failed=lambda _: on_result(False),
            timeout_s=timeout_s,
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Parameters
        ----------
        address : str
        """
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections that cannot be used any more."""
        now = self._clock()
        for address, connections in list(self._idle.items()):
            kept = [each for each in connections if each.is_fresh(now)]
            for connection in connections:
                if connection not in kept:
                    connection.abort()
            self._idle[address] = kept

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _keep(self, address: str, connection: HttpConnection) -> None:
        self._idle.setdefault(address, []).append(connection)

    def _drop(self, address: str, connection: HttpConnection) -> None:
        self._open[address] = max(0, self._open.get(address, 0) - 1)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
