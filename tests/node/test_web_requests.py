from __future__ import annotations

from ebonyhaven_node._requests import MAX_BODY_BYTES
from ebonyhaven_node._web_requests import REJECT_ABORT_DELAY_S, BoundedRequest
from ebonyhaven_standins.memory_connections import MemoryTransport
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import Site

PIECE = b"x" * 65536


class Echo(Resource):
    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self):
        super().__init__()
        self.sizes = []

    def render_POST(self, request):  # noqa: N802 Twisted API
        self.sizes.append(len(request.content.read()))
        return b"ok"


def open_connection():
    resource, clock = Echo(), Clock()
    site = Site(resource, requestFactory=BoundedRequest, reactor=clock)
    protocol = site.buildProtocol(None)
    transport = MemoryTransport()
    protocol.makeConnection(transport)
    protocol.callLater = clock.callLater
    protocol._channel.callLater = clock.callLater
    return resource, protocol, transport, clock


def test_endless_body_is_rejected_while_it_arrives():
    resource, protocol, transport, clock = open_connection()
    protocol.dataReceived(
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    sent = 0
    while not transport.is_closed and sent < 4 * MAX_BODY_BYTES:
        protocol.dataReceived(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
        sent += len(PIECE)
    assert sent <= 2 * MAX_BODY_BYTES + len(PIECE)
    assert transport.value().startswith(b"HTTP/1.1 413 ")
    clock.advance(REJECT_ABORT_DELAY_S)
    assert transport.aborted
    assert resource.sizes == []


def test_body_that_is_too_long_is_kept_in_part_for_its_handler():
    resource, protocol, _, _ = open_connection()
    size = MAX_BODY_BYTES + 5 * len(PIECE)
    protocol.dataReceived(b"POST / HTTP/1.1\r\nHost: x\r\n")
    protocol.dataReceived(b"Content-Length: %d\r\n\r\n" % size)
    for _ in range(size // len(PIECE)):
        protocol.dataReceived(PIECE)
    assert resource.sizes == [MAX_BODY_BYTES + 1]


def test_longest_accepted_body_is_passed_on():
    resource, protocol, transport, _ = open_connection()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    protocol.dataReceived(head % MAX_BODY_BYTES + b"y" * MAX_BODY_BYTES)
    assert resource.sizes == [MAX_BODY_BYTES]
    assert transport.value().startswith(b"HTTP/1.1 200 ")
