"""Forwarded connections that obey the faults of their link."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import reactor
from twisted.protocols import portforward

from ebonyhaven_standins.fault_proxy._faults import LinkFaults


class Channel:
    """One direction of a connection: delays, holds or drops what passes.

    Bytes and the end of the connection stay in order. What a lossy direction
    holds back is delivered when the fault ends, as a retransmission would.

    Parameters
    ----------
    is_lossy : callable
        Whether the direction loses everything at present.
    faults : LinkFaults
    """

    __slots__ = ("_faults", "_held", "_is_lossy", "_timers", "silenced")

    def __init__(self, is_lossy: Callable[[], bool], faults: LinkFaults):
        self._is_lossy = is_lossy
        self._faults = faults
        self._held: list[Callable[[], None]] = []
        self._timers = 0
        self.silenced = False

    @property
    def holds(self) -> bool:
        """Whether the direction is lossy or has not delivered everything."""
        return not self.silenced and (self._is_lossy() or bool(self._held))

    def pass_on(self, action: Callable[[], None]) -> None:
        """Carry out an action at the far end as the faults allow.

        Parameters
        ----------
        action : callable
            Writes bytes or closes the far end.
        """
        if self.silenced:
            return
        if self.holds:
            self._held.append(action)
        elif self._faults.delay_s or self._timers:
            self._timers += 1
            reactor.callLater(self._faults.delay_s, self._deliver_late, action)
        else:
            action()

    def release(self) -> None:
        """Deliver what was held, unless the direction is still lossy."""
        if self._is_lossy() or self.silenced:
            return
        held, self._held = self._held, []
        for action in held:
            action()

    def _deliver_late(self, action: Callable[[], None]) -> None:
        self._timers -= 1
        if self.holds:
            self._held.append(action)
        elif not self.silenced:
            action()


class TargetSide(portforward.ProxyClient):
    """Connection from the proxy to the target."""

    noisy = False

    def connectionMade(self) -> None:  # noqa: N802 named by Twisted
        """Join both sides and start to read from the client.

        The transports are not registered as each other's producers: a producer is
        closed together with its consumer, past the faults of the link.
        """
        self.peer.setPeer(self)
        self.peer.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 named by Twisted
        """Pass bytes on to the client.

        Parameters
        ----------
        data : bytes
        """
        peer = self.peer
        peer.to_client.pass_on(lambda: peer.transport.write(data))

    def connectionLost(self, reason: object) -> None:  # noqa: N802 named by Twisted
        """Pass the end of the connection on to the client.

        Parameters
        ----------
        reason : twisted.python.failure.Failure
        """
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            peer.to_client.pass_on(peer.transport.loseConnection)


class TargetSideFactory(portforward.ProxyClientFactory):
    """Makes the connection to the target."""

    noisy = False
    protocol = TargetSide

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        """Reset the client when the target cannot be reached.

        Parameters
        ----------
        connector : twisted.internet.interfaces.IConnector
        reason : twisted.python.failure.Failure
        """
        self.server.transport.abortConnection()


class ClientSide(portforward.ProxyServer):
    """Connection from a client to the proxy; it owns both directions."""

    noisy = False
    clientProtocolFactory = TargetSideFactory

    def connectionMade(self) -> None:  # noqa: N802 named by Twisted
        """Register with the link and connect to the target."""
        faults = self.factory.faults
        self.to_target = Channel(lambda: faults.loses_to_target, faults)
        self.to_client = Channel(lambda: faults.loses_to_client, faults)
        self.factory.open.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 named by Twisted
        """Pass bytes on to the target.

        Parameters
        ----------
        data : bytes
        """
        peer = self.peer
        if peer is not None:
            self.to_target.pass_on(lambda: peer.transport.write(data))

    def connectionLost(self, reason: object) -> None:  # noqa: N802 named by Twisted
        """Pass the end of the connection on to the target.

        Parameters
        ----------
        reason : twisted.python.failure.Failure
        """
        self.factory.open.discard(self)
        if self.to_target.holds:
            self.factory.draining.add(self)
        peer = self.peer
        if peer is not None:
            self.to_target.pass_on(peer.transport.loseConnection)

    def silence(self) -> None:
        """Drop everything from now on, in both directions and for good."""
        self.to_target.silenced = True
        self.to_client.silenced = True

    def reset(self) -> None:
        """Abort both ends."""
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            peer.transport.abortConnection()
        self.transport.abortConnection()

    def release(self) -> None:
        """Deliver what lossy directions have held."""
        self.to_target.release()
        self.to_client.release()
        if not self.to_target.holds:
            self.factory.draining.discard(self)


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
    protocol = ClientSide

    def __init__(self, host: str, port: int, faults: LinkFaults):
        super().__init__(host, port)
        self.faults = faults
        self.open: set[ClientSide] = set()
        self.draining: set[ClientSide] = set()
