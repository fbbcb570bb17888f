"""Writing to connections without a turn of the reactor in between."""

from __future__ import annotations

from twisted.internet.interfaces import ITransport
from twisted.internet.tcp import Connection


def flush(transport: ITransport) -> None:
    """Hand what was written to a connection over to the system at once.

    Otherwise the reactor does so in its next turn, for which it asks the system whether
    the connection takes bytes. What the system does not take waits for that turn.

    Parameters
    ----------
    transport : ITransport
    """
    if not isinstance(transport, Connection):
        return
    if not transport.connected or transport.disconnecting:
        return
    if transport.doWrite() is not None:  # an error, as in a turn of the reactor
        transport.abortConnection()
