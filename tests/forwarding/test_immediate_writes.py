"""Bytes that leave in the turn of the reactor in which they were written."""

from __future__ import annotations

import select
import socket
import struct

from ebonyhaven_node.forwarding._http_client import HttpConnection, HttpRequest
from ebonyhaven_node.forwarding._immediate_writes import flush
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator, Protocol

from tests.reactor_thread import run_in_reactor

ARRIVAL_S = 2.0
REQUEST = HttpRequest(method=b"GET", target=b"/x", headers=((b"Host", b"a"),))


class Recorder(Protocol):
    """Tells how its connection ended."""

    def __init__(self):
        self.lost = Deferred()

    def connectionLost(self, reason):  # noqa: N802 Twisted API
        self.lost.callback(reason.type.__name__)


async def connect(make_protocol):
    """Return a connected protocol and the plain socket at the other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        creator = ClientCreator(reactor, make_protocol)
        protocol = await creator.connectTCP("127.0.0.1", port)
        peer, _ = listener.accept()
    return protocol, peer


def has_arrived(peer):
    """Return whether bytes arrive although the reactor can't run."""
    return bool(select.select([peer], [], [], ARRIVAL_S)[0])


async def send_request():
    protocol, peer = await connect(
        lambda: HttpConnection(
            reactor=reactor, on_idle=lambda _: None, on_lost=lambda _: None
        )
    )
    with peer:
        protocol.send(REQUEST, None)
        assert has_arrived(peer)
        assert protocol.transport not in reactor.getWriters()
        protocol.abort()
        await task.deferLater(reactor, 0.01)


def test_request_leaves_in_the_turn_in_which_it_is_sent():
    # Guards against a turn of the reactor for each request and each event of a stream.
    run_in_reactor(send_request)


async def write_to_full_connection():
    protocol, peer = await connect(Recorder)
    size = 32 * 1024 * 1024
    with peer:
        protocol.transport.write(bytes(size))
        flush(protocol.transport)
        assert protocol.transport in reactor.getWriters()
        peer.setblocking(False)
        received = 0
        while received < size:
            await task.deferLater(reactor, 0.001)
            while select.select([peer], [], [], 0.0)[0]:
                received += len(peer.recv(1024 * 1024))
        assert received == size
        protocol.transport.abortConnection()
        await protocol.lost


def test_what_a_connection_does_not_take_at_once_follows():
    run_in_reactor(write_to_full_connection)


async def write_to_reset_connection():
    protocol, peer = await connect(Recorder)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    protocol.transport.write(b"x")
    flush(protocol.transport)
    protocol.transport.write(b"x")
    flush(protocol.transport)  # closed already, but not told yet
    assert await protocol.lost != "ConnectionDone"


def test_reset_connection_is_told_once_and_not_as_ended_in_good_order():
    run_in_reactor(write_to_reset_connection)
