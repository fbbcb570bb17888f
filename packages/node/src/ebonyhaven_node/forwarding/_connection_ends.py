"""How a connection ended, beyond what its transport says.

The reactor reports a connection that was reset as closed in good order if it hears of
the hang-up before anything else; the error is then pending at the socket. A peer that
ends its side before it has read all may reset the connection afterwards.
"""

from __future__ import annotations

import os
import socket

from twisted.internet.interfaces import IReactorFDSet, ITransport

from ebonyhaven_node.forwarding._delivery_lags import count_unacknowledged


def find_pending_error(transport: ITransport) -> str | None:
    """Return the error that is pending at the socket of a connection, or None.

    Reading it clears it.

    Parameters
    ----------
    transport : ITransport
    """
    try:
        number = transport.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except (AttributeError, OSError):
        return None
    return os.strerror(number) if number else None


def is_sending(transport: ITransport, reactor: IReactorFDSet) -> bool:
    """Return whether the peer has not received all that was written.

    Parameters
    ----------
    transport : ITransport
    reactor : IReactorFDSet
        Of the transport.
    """
    return transport in reactor.getWriters() or count_unacknowledged(transport) > 0
