"""A listening socket that leaves connection attempts without an answer."""

from __future__ import annotations

import contextlib
import socket

FILLING_CONNECTIONS = 3  # the queue of a backlog of 0 holds one


class FullListener:
    """Listens with a queue that is full, so that the kernel drops further attempts.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._stack = contextlib.ExitStack()
        listener = self._stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filling = self._stack.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex((host, int(port)))

    def close(self) -> None:
        """Stop listening."""
        self._stack.close()
