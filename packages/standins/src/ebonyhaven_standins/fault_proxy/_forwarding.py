"""Forwarding of connections with the faults of their link."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from twisted.internet import reactor
from twisted.protocols import portforward

from ebonyhaven_standins.fault_proxy._faults import LinkFaults


class ForwardingDirection:
    """One direction of a forwarded connection: delays, queues or drops data.

    Data and the close of the connection are delivered in order. A lossy direction
    queues them and delivers them when the fault is cleared, as TCP retransmission
    does after packet loss.

    Parameters
    ----------
    is_lossy : callable
        Returns whether the direction currently delivers nothing.
    faults : LinkFaults
        Faults of the link.
    """

    __slots__ = (
        "_delayed",
        "_delayed_until",
        "_faults",
        "_is_lossy",
        "_queued",
        "drops_all",
    )

    def __init__(self, is_lossy: Callable[[], bool], faults: LinkFaults):
        self._is_lossy = is_lossy
        self._faults = faults
        self._queued: list[Callable[[], None]] = []
        self._delayed: deque[Callable[[], None]] = deque()
        self._delayed_until = 0.0
        self.drops_all = False

    @property
    def is_blocked(self) -> bool:
        """Whether the direction is lossy or has undelivered actions."""
        return not self.drops_all and (self._is_lossy() or bool(self._queued))

    def forward(self, action: Callable[[], None]) -> None:
        """Execute an action at the receiving end, subject to the faults.

        Parameters
        ----------
        action : callable
            Writes data to the receiving end or closes it.
        """
        if self.drops_all:
            return
        if self.is_blocked:
            self._queued.append(action)
        elif self._faults.delay_s or self._delayed:
            self._delay(action)
        else:
            action()

    def deliver_queued(self) -> None:
        """Execute the queued actions unless the direction is still lossy."""
        if self._is_lossy() or self.drops_all:
            return
        queued, self._queued = self._queued, []
        for action in queued:
            action()

    def _delay(self, action: Callable[[], None]) -> None:
        """Deliver an action after its delay, and not before those that wait already."""
        now = reactor.seconds()
        due_at = max(now + self._faults.delay_s, self._delayed_until)
        self._delayed_until = due_at
        self._delayed.append(action)
        reactor.callLater(due_at - now, self._deliver_delayed)

    def _deliver_delayed(self) -> None:
        action = self._delayed.popleft()
        if self.is_blocked:
            self._queued.append(action)
        elif not self.drops_all:
            action()


class TargetConnection(portforward.ProxyClient):
    """Connection from the proxy to the target."""

    noisy = False

    def connectionMade(self) -> None:  # noqa: N802 named by Twisted
        """Connect both peers and start reading from the client.

        The transports are not registered as producers of each other, because the
        close of a consumer also closes its producer and bypasses the link faults.
        """
        self.peer.setPeer(self)
        self.peer.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 named by Twisted
        """Forward data to the client.

        Parameters
        ----------
        data : bytes
        """
        peer = self.peer
        peer.to_client.forward(lambda: peer.transport.write(data))

    def connectionLost(self, reason: object) -> None:  # noqa: N802 named by Twisted
        """Forward the close of the connection to the client.

        Parameters
        ----------
        reason : twisted.python.failure.Failure
        """
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            peer.to_client.forward(peer.transport.loseConnection)


class TargetConnectionFactory(portforward.ProxyClientFactory):
    """Creates the connection to the target."""

    noisy = False
    protocol = TargetConnection

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        """Reset the client connection if the target is unreachable.

        Parameters
        ----------
        connector : twisted.internet.interfaces.IConnector
        reason : twisted.python.failure.Failure
        """
        self.server.transport.abortConnection()


class ClientConnection(portforward.ProxyServer):
    """Connection from a client to the proxy, with the state of both directions."""

    noisy = False
    clientProtocolFactory = TargetConnectionFactory

    def connectionMade(self) -> None:  # noqa: N802 named by Twisted
        """Add the connection to the link and connect to the target."""
        faults = self.factory.faults
        self.to_target = ForwardingDirection(lambda: faults.loses_to_target, faults)
        self.to_client = ForwardingDirection(lambda: faults.loses_to_client, faults)
        self.factory.open_connections.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 named by Twisted
        """Forward data to the target.

        Parameters
        ----------
        data : bytes
        """
        peer = self.peer
        if peer is not None:
            self.to_target.forward(lambda: peer.transport.write(data))

    def connectionLost(self, reason: object) -> None:  # noqa: N802 named by Twisted
        """Forward the close of the connection to the target.

        Parameters
        ----------
        reason : twisted.python.failure.Failure
        """
        self.factory.open_connections.discard(self)
        if self.to_target.is_blocked:
            self.factory.draining_connections.add(self)
        peer = self.peer
        if peer is not None:
            self.to_target.forward(peer.transport.loseConnection)

    def drop_all(self) -> None:
        """Drop all further data and the close, in both directions, permanently."""
        self.to_target.drops_all = True
        self.to_client.drops_all = True

    def reset(self) -> None:
        """Abort the connections to the client and the target."""
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            peer.transport.abortConnection()
        self.transport.abortConnection()

    def deliver_queued(self) -> None:
        """Deliver the queued data of directions that are no longer lossy."""
        self.to_target.deliver_queued()
        self.to_client.deliver_queued()
        if not self.to_target.is_blocked:
            self.factory.draining_connections.discard(self)


class LinkFactory(portforward.ProxyFactory):
    """Accepts the connections of one link.

    Parameters
    ----------
    host : str
        Address of the target.
    port : int
        Port of the target.
    faults : LinkFaults
    """

    noisy = False
    protocol = ClientConnection

    def __init__(self, host: str, port: int, faults: LinkFaults):
        super().__init__(host, port)
        self.faults = faults
        self.open_connections: set[ClientConnection] = set()
        # Closed by the client while data for the target is queued.
        self.draining_connections: set[ClientConnection] = set()
