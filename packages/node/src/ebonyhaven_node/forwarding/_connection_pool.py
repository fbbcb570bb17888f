"""Pool of HTTP client connections, by address."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import NamedTuple

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ebonyhaven_node.forwarding._http_client import HttpConnection

TIMEOUT_REASON = "the connection was not accepted in time"
CONNECT_TIMEOUT_S = 0.3  # a running server accepts within a few milliseconds
SWEEP_INTERVAL_S = 0.5  # between calls of `ConnectionPool.close_expired`


class ConnectFailure(NamedTuple):
    """A connection that could not be established.

    Parameters
    ----------
    reason : str
    is_refused : bool
        Whether no process listens at the address, so that its process has ended.
        False if nothing answered.
    """

    reason: str
    is_refused: bool


class _ConnectionFactory(ClientFactory):
    """Factory of one connection that reports a failed connection attempt."""

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        *,
        on_connected: Callable[[HttpConnection], None],
        on_failed: Callable[[ConnectFailure], None],
    ):
        self._connection = connection
        self._on_connected = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, address: object) -> HttpConnection:  # noqa: N802 Twisted API
        """Return the connection, which calls ``on_connected`` once established."""
        self._connection.factory = self
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802 Twisted API
        """Report the failure."""
        is_refused = reason.check(RefusedError) is not None
        self._on_failed(ConnectFailure(reason.getErrorMessage(), is_refused))


class _PooledConnection(HttpConnection):
    """Connection that calls ``on_connected`` once it is established."""

    on_connected: Callable[[HttpConnection], None]

    def connectionMade(self) -> None:  # noqa: N802 Twisted API
        """See `HttpConnection.connectionMade`."""
        super().connectionMade()
        self.on_connected(self)


class PendingConnection:
    """Connection attempt that can be cancelled and has a time limit.

    The limit counts only after the reactor has looked at the connection once more: if
    the process stood still, timers are due although the server has accepted it.

    Parameters
    ----------
    reactor : IReactorTime
    timeout_s : float
        Time limit, seconds.
    on_timeout : callable
    """

    __slots__ = ("_connector", "_is_finished", "_on_timeout", "_reactor", "_timer")

    def __init__(
        self, reactor: IReactorTime, timeout_s: float, on_timeout: Callable[[], None]
    ) -> None:
        self._connector = None
        self._is_finished = False
        self._reactor = reactor
        self._on_timeout = on_timeout
        self._timer = reactor.callLater(timeout_s, self._look_before_expiry)

    def set_connector(self, connector: object) -> None:
        """Set the connector that `cancel` disconnects."""
        self._connector = connector

    def finish(self) -> bool:
        """Mark the attempt as finished; return whether it was still pending."""
        was_pending = not self._is_finished
        self._is_finished = True
        if self._timer.active():
            self._timer.cancel()
        return was_pending

    def cancel(self) -> None:
        """Cancel the attempt unless it has succeeded or failed."""
        if self.finish():
            self._disconnect()

    def _look_before_expiry(self) -> None:
        self._timer = self._reactor.callLater(0.0, self._expire)

    def _expire(self) -> None:
        self._on_timeout()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connector is not None:
            self._connector.disconnect()


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse, by address.

    Parameters
    ----------
    reactor : IReactorTCP
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    opened_count : int
        Number of connections established since the pool was created.
    """

    def __init__(
        self, reactor: IReactorTCP, clock: Callable[[], float] = time.monotonic
    ):
        self._reactor = reactor
        self._clock = clock
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self._on_connected: Callable[[str], None] = lambda _: None
        self._on_failed: Callable[[str, ConnectFailure], None] = lambda *_: None
        self.opened_count = 0

    def observe_connections(
        self,
        on_connected: Callable[[str], None],
        on_failed: Callable[[str, ConnectFailure], None],
    ) -> None:
        """Set functions to call about each new connection.

        Parameters
        ----------
        on_connected : callable
            Called with the address of each established connection.
        on_failed : callable
            Called with the address and the failure of each other one, unless it was
            cancelled.
        """
        self._on_connected = on_connected
        self._on_failed = on_failed

    def count_open(self, address: str) -> int:
        """Return the number of open connections to an address, busy and idle.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        """
        return self._open_counts.get(address, 0)

    def acquire_idle(
        self, address: str, used: Collection[HttpConnection] = ()
    ) -> HttpConnection | None:
        """Remove a reusable idle connection from the pool and return it.

        Connections that turn out not to be reusable are closed.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        used : collection of HttpConnection
            Connections that have carried the request. They are closed: an extra
            response to it would be taken for that to the next attempt.

        Returns
        -------
        HttpConnection or None
            None if no idle connection to the address is reusable.
        """
        idle = self._idle.get(address, [])
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now) and connection not in used:
                return connection
            connection.abort()
        return None

    def connect(
        self,
        address: str,
        *,
        on_connected: Callable[[HttpConnection], None],
        on_failed: Callable[[ConnectFailure], None],
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> PendingConnection:
        """Open a new connection.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_connected : callable
            Called with the established connection.
        on_failed : callable
            Called with a `ConnectFailure` if the attempt failed.
        timeout_s : float
            Time limit of the attempt, seconds.

        Returns
        -------
        PendingConnection
        """
        connection = _PooledConnection(
            reactor=self._reactor,
            on_idle=lambda connection: self._add_idle(address, connection),
            on_lost=lambda connection: self._remove(address, connection),
            clock=self._clock,
        )

        def handle_connected(established: HttpConnection) -> None:
            self._open_counts[address] = self._open_counts.get(address, 0) + 1
            self.opened_count += 1
            self._on_connected(address)
            if pending.finish():
                on_connected(established)
            else:
                established.abort()

        def handle_failure(failure: ConnectFailure) -> None:
            if pending.finish():
                self._on_failed(address, failure)
                on_failed(failure)

        pending = PendingConnection(
            self._reactor,
            timeout_s,
            lambda: handle_failure(ConnectFailure(TIMEOUT_REASON, is_refused=False)),
        )
        connection.on_connected = handle_connected
        factory = _ConnectionFactory(
            connection, on_connected=handle_connected, on_failed=handle_failure
        )
        host, _, port = address.rpartition(":")
        pending.set_connector(
            self._reactor.connectTCP(host, int(port), factory, timeout=None)
        )
        return pending

    def probe_address(
        self,
        address: str,
        *,
        on_result: Callable[[ConnectFailure | None], None],
        timeout_s: float,
    ) -> None:
        """Probe whether a server accepts connections.

        An established connection is added to the idle connections of the pool.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        on_result : callable
            Called with None if the server accepted the connection, otherwise with
            the `ConnectFailure`.
        timeout_s : float
            Time limit of the probe, seconds.
        """

        def handle_connected(connection: HttpConnection) -> None:
            connection.mark_idle(self._clock())
            self._add_idle(address, connection)
            on_result(None)

        self.connect(
            address,
            on_connected=handle_connected,
            on_failed=on_result,
            timeout_s=timeout_s,
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        """
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close the idle connections that servers may have timed out."""
        now = self._clock()
        for address, connections in list(self._idle.items()):
            reusable = [each for each in connections if each.is_reusable(now)]
            for connection in connections:
                if connection not in reusable:
                    connection.abort()
            self._idle[address] = reusable

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _add_idle(self, address: str, connection: HttpConnection) -> None:
        self._idle.setdefault(address, []).append(connection)

    def _remove(self, address: str, connection: HttpConnection) -> None:
        self._open_counts[address] = max(0, self._open_counts.get(address, 0) - 1)
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
