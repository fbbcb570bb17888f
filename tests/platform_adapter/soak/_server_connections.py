"""Connections of instances to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
from twisted.internet import reactor
from twisted.internet.protocol import Protocol

if TYPE_CHECKING:
    from tests.platform_adapter.soak._servers import ServerProcess


class ServerConnection(Protocol):
    """Connection of an instance to a server."""

    def __init__(self, process: ServerProcess):
        self.process = process
        self.codec = h11.Connection(h11.SERVER)
        self.is_lost = False
        self._head = None
        self._received_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802 Twisted API
        self.process.connections.add(self)

    def connectionLost(self, reason) -> None:  # noqa: N802 Twisted API
        self.process.connections.discard(self)
        self.process.act(self._mark_lost)

    def _mark_lost(self) -> None:
        self.is_lost = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 Twisted API
        self.process.act(self._read, data, reactor.seconds())

    def _read(self, data: bytes, received_at: float) -> None:
        if self.codec.our_state in (h11.MUST_CLOSE, h11.CLOSED):
            return
        self._received_at = received_at
        self.codec.receive_data(data)
        while True:
            event = self.codec.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.EndOfMessage):
                self.process.accept(self, self._head, self._received_at)
                return
            elif not isinstance(event, h11.Data):
                return

    def send(self, event) -> None:
        if not self.is_lost:
            self.transport.write(self.codec.send(event) or b"")

    def end_cycle(self) -> None:
        if self.codec.our_state is h11.DONE and self.codec.their_state is h11.DONE:
            self.codec.start_next_cycle()
        elif self.codec.our_state is h11.MUST_CLOSE and not self.is_lost:
            self.transport.loseConnection()
