"""In-memory connections for driving the node's protocols on a simulated clock."""

from __future__ import annotations

import h11
from ebonyhaven_node.forwarding import GatewaySettings
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure


def make_gateway_settings(data_centre: str) -> GatewaySettings:
    """Return gateway settings for an instance with in-memory connections.

    Parameters
    ----------
    data_centre : str

    Returns
    -------
    GatewaySettings
    """
    return GatewaySettings(
        instance="n1",
        data_centre=data_centre,
        region="r1",
        caller_address="10.1.0.1:80",
        control_address="10.1.0.1:81",
        seeds={},
        grace_s=8.0,
        retry_budget_ratio=0.8,
        retry_budget_window_s=10.0,
        retry_budget_slack=150.0,
    )


PAUSE_THRESHOLD_BYTES = 64 * 1024  # as in the transports of Twisted


class _NullSocket:
    """Socket that ignores its options."""

    def setsockopt(self, *options: object) -> None:
        """Ignore the option."""

    def getsockopt(self, *options: object) -> int:
        """Return that no error is pending."""
        return 0


class MemoryTransport(StringTransport):
    """String transport that records whether the connection was aborted.

    Attributes
    ----------
    aborted : bool
    unsent_bytes : int
        Bytes written since the peer stopped reading.
    """

    aborted = False
    socket = _NullSocket()
    unsent_bytes = 0
    _is_read = True

    def stop_reading(self) -> None:
        """Let written bytes wait, as if the peer read no more."""
        self._is_read = False

    def write(self, data: bytes) -> None:
        """Write data, and pause the producer if too much of it waits."""
        super().write(data)
        if self._is_read:
            return
        self.unsent_bytes += len(data)
        if self.unsent_bytes > PAUSE_THRESHOLD_BYTES and self.producer is not None:
            self.producer.pauseProducing()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 named by Twisted
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802 named by Twisted
        """Ignore the option."""

    def abortConnection(self) -> None:  # noqa: N802 named by Twisted
        """Mark the connection as aborted and closed."""
        self.aborted = True
        self.disconnecting = True

    @property
    def is_closed(self) -> bool:
        """Whether the protocol closed the connection."""
        return self.disconnecting


class MemoryServerConnection:
    """Server end of an in-memory connection to a backend server.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the backend server.
    protocol : Protocol
        Protocol at the node's end of the connection.
    """

    def __init__(self, address: str, protocol: Protocol):
        self.address = address
        self.protocol = protocol
        self.transport = MemoryTransport()
        self._read_offset = 0
        protocol.makeConnection(self.transport)

    @property
    def is_closed(self) -> bool:
        """Whether the node closed the connection."""
        return self.transport.is_closed

    def has_request(self) -> bool:
        """Return whether the node has sent bytes that are not read yet."""
        return len(self.transport.value()) > self._read_offset

    def read_request(self) -> tuple[h11.Request, bytes]:
        """Decode the bytes received since the last call as one request.

        Returns
        -------
        tuple of (h11.Request, bytes)
            Head and body.

        Raises
        ------
        ValueError
            If the request is incomplete.
        """
        data = self.transport.value()[self._read_offset :]
        self._read_offset = len(self.transport.value())
        codec = h11.Connection(h11.SERVER)
        codec.receive_data(data)
        head, body = codec.next_event(), b""
        while True:
            event = codec.next_event()
            if isinstance(event, h11.EndOfMessage):
                return head, body
            if not isinstance(event, h11.Data):
                raise ValueError(f"the request is incomplete: {event}")
            body += bytes(event.data)

    def receive(self, data: bytes) -> None:
        """Deliver raw bytes to the node."""
        self.protocol.dataReceived(data)

    def reset(self) -> None:
        """Report the connection as lost, as after a crash of the server."""
        self.protocol.connectionLost(Failure(ConnectionLost()))

    def close(self) -> None:
        """Close the connection cleanly, as the reactor reports it."""
        if IHalfCloseableProtocol.providedBy(self.protocol):
            self.protocol.readConnectionLost()
        self.protocol.connectionLost(Failure(ConnectionDone()))
