"""Connections in memory, for the node's protocols on a clock of their own."""

from __future__ import annotations

import h11
from ebonyhaven_node.forwarding import GatewaySettings
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure


def make_gateway_settings(data_centre: str) -> GatewaySettings:
    """Return the settings of an instance that lives in memory.

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


class _Socket:
    """Takes options and forgets them."""

    def setsockopt(self, *options: object) -> None:
        """Do nothing."""


class MemoryTransport(StringTransport):
    """Keeps what was written and whether the connection was aborted."""

    aborted = False
    socket = _Socket()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 the name Twisted calls
        """Do nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802 the same
        """Do nothing."""

    def abortConnection(self) -> None:  # noqa: N802 the same
        """Count as closed."""
        self.aborted = True
        self.disconnecting = True

    @property
    def is_closed(self) -> bool:
        """Whether this end closed the connection."""
        return self.disconnecting


class MemoryServerConnection:
    """The end of one connection at a backend server.

    Parameters
    ----------
    address : str
        Of the server.
    protocol : Protocol
        The node's end.
    """

    def __init__(self, address: str, protocol: Protocol):
        self.address = address
        self.protocol = protocol
        self.transport = MemoryTransport()
        self._read = 0
        protocol.makeConnection(self.transport)

    @property
    def is_closed(self) -> bool:
        """Whether the node closed the connection."""
        return self.transport.is_closed

    def has_request(self) -> bool:
        """Tell whether bytes came that were not read yet."""
        return len(self.transport.value()) > self._read

    def read_request(self) -> tuple[h11.Request, bytes]:
        """Return the request that arrived, decoded, and its body.

        Raises
        ------
        ValueError
            If it is not whole.
        """
        data = self.transport.value()[self._read :]
        self._read = len(self.transport.value())
        codec = h11.Connection(h11.SERVER)
        codec.receive_data(data)
        head, body = codec.next_event(), b""
        while True:
            event = codec.next_event()
            if isinstance(event, h11.EndOfMessage):
                return head, body
            if not isinstance(event, h11.Data):
                raise ValueError(f"the request is not whole: {event}")
            body += bytes(event.data)

    def receive(self, data: bytes) -> None:
        """Let raw bytes arrive at the node."""
        self.protocol.dataReceived(data)

    def reset(self) -> None:
        """End the connection as a crash does."""
        self.protocol.connectionLost(Failure(ConnectionLost()))

    def close(self) -> None:
        """End the connection in an orderly way."""
        self.protocol.connectionLost(Failure(ConnectionDone()))
