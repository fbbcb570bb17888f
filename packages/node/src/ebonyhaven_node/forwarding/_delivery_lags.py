"""How long the events of a stream wait for the link to their caller."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import deque

from twisted.internet.interfaces import ITransport

_CHUNK_FRAMING_BYTES = 4  # two line ends, beside the size


def count_unacknowledged(transport: ITransport) -> int:
    """Return how many bytes the system holds that the peer has not acknowledged.

    Parameters
    ----------
    transport : ITransport

    Returns
    -------
    int
        0 if the system does not tell.
    """
    try:
        answer = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
    except (AttributeError, OSError, ValueError):
        return 0
    return struct.unpack("i", answer)[0]


class DeliveryLag:
    """Tells since when the oldest event waits that a caller has not acknowledged.

    Attributes
    ----------
    longest_s : float
        Longest wait that was measured, seconds.
    """

    __slots__ = ("_unacknowledged", "_written_bytes", "longest_s")

    def __init__(self) -> None:
        self._unacknowledged: deque[tuple[int, float]] = deque()
        self._written_bytes = 0
        self.longest_s = 0.0

    def record(self, size: int, now: float) -> None:
        """Record that a chunk of the body was written.

        Parameters
        ----------
        size : int
            Bytes of the chunk without its framing.
        now : float
            Seconds.
        """
        self._written_bytes += size + len(f"{size:x}") + _CHUNK_FRAMING_BYTES
        self._unacknowledged.append((self._written_bytes, now))

    def measure(self, unacknowledged_bytes: int, now: float) -> float:
        """Return how long the oldest chunk waits.

        Parameters
        ----------
        unacknowledged_bytes : int
            See `count_unacknowledged`.
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; 0 if all were acknowledged.
        """
        acknowledged_bytes = self._written_bytes - unacknowledged_bytes
        while self._unacknowledged and self._unacknowledged[0][0] <= acknowledged_bytes:
            self._unacknowledged.popleft()
        if not self._unacknowledged:
            return 0.0
        lag_s = now - self._unacknowledged[0][1]
        self.longest_s = max(self.longest_s, lag_s)
        return lag_s
