"""Servers and stores that answer an instance's own calls with bytes without end."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

from ebonyhaven_adapter._copying import EngineRunCopier
from ebonyhaven_adapter._inspection import ReportInspector
from ebonyhaven_adapter._store import StoreClient
from ebonyhaven_node.forwarding import ConnectionPool
from ebonyhaven_standins.memory_connections import MemoryServerConnection
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.threads import deferToThread

from tests.node.test_channels import Endpoint, make_frame
from tests.reactor_thread import run_in_reactor

ADDRESS = "10.0.0.1:9000"
MIB = 1024 * 1024
PIECE = b"x" * 65536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
MAX_SERVER_BYTES = MIB  # of one server; an instance asks many at the same time
MAX_STORE_BYTES = 16 * MIB  # of the only store
MAX_UNREAD_BYTES = 64 * MIB  # that the kernel may keep of a peer's message
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
FORMS = (
    (b"", PIECE),
    (HEAD, b"X-Name: " + PIECE[:100] + b"\r\n"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    (HEAD + b"\r\n", PIECE),
    (HEAD + b"Content-Length: 99999999999\r\n\r\n", PIECE),
)


class Call(NamedTuple):
    """A call that is under way, the other end of its connection, and its results."""

    server: MemoryServerConnection
    ended: list


def start_call(start) -> Call:
    """Start a call with a pool and a clock, and accept its connection."""
    clock = MemoryReactorClock()
    pool = ConnectionPool(clock)
    ended = []
    ensureDeferred(start(pool, clock)).addBoth(ended.append)
    factory = clock.tcpClients[0][2]
    return Call(MemoryServerConnection(ADDRESS, factory.buildProtocol(None)), ended)


def feed_until_closed(call, piece, limit) -> int:
    sent = 0
    while not call.server.is_closed and sent <= limit:
        call.server.receive(piece)
        sent += len(piece)
    return sent


def check(start, limit):
    for head, piece in FORMS:
        call = start_call(start)
        if head:
            call.server.receive(head)
        assert feed_until_closed(call, piece, limit) <= limit, head
        assert call.ended, head


def test_reports_without_end_are_kept():
    check(_inspect, MAX_SERVER_BYTES)


def _inspect(pool, clock):
    return ReportInspector(pool, clock).inspect(ADDRESS)


def test_health_answers_without_end_are_kept():
    def start(pool, clock):
        inspector = ReportInspector(pool, clock)
        return inspector.check_health(ADDRESS, path="/health", timeout_s=9.0)

    check(start, MAX_SERVER_BYTES)


def test_answers_about_copies_without_end_are_kept():
    def start(pool, clock):
        copier = EngineRunCopier(pool, clock)
        return copier.copy_run(source=ADDRESS, request_id="r1", target="10.0.0.2:9000")

    def start_deletion(pool, clock):
        return EngineRunCopier(pool, clock).delete_copy(source=ADDRESS, handle="h1")

    check(start, MAX_SERVER_BYTES)
    check(start_deletion, MAX_SERVER_BYTES)


def test_answers_of_the_store_without_end_are_kept():
    def start(pool, clock):
        store = StoreClient(
            pool=pool, reactor=clock, address=ADDRESS, clock=clock.seconds
        )
        return store.read_table("op", timeout_s=9.0)

    check(start, MAX_STORE_BYTES)


def send_endless_message(address) -> int:
    """Send a message of a peer without end; return its bytes until it is cut."""
    host, _, port = address.rpartition(":")
    sent = 0
    with socket.create_connection((host, int(port)), timeout=10.0) as peer:
        peer.sendall(b"\x00SP\x00" + struct.pack(">HH", 0x50, 0))  # a push socket
        peer.recv(8)
        try:
            peer.sendall(struct.pack(">Q", 2**40))
            while sent <= MAX_UNREAD_BYTES:
                peer.sendall(PIECE)
                sent += len(PIECE)
        except OSError:
            pass
    return sent


async def receive_beside_endless_message():
    first, second = Endpoint(), Endpoint()
    try:
        sent = await deferToThread(send_endless_message, second.address)
        first.channels.send(second.address, make_frame(1))
        return sent, await second.wait_for(1)
    finally:
        first.channels.close()
        second.channels.close()


def test_message_of_a_peer_without_end_is_kept():
    sent, received = run_in_reactor(receive_beside_endless_message)
    assert sent <= MAX_UNREAD_BYTES
    assert received == [make_frame(1)]
