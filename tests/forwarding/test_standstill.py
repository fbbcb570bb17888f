"""Time limits that pass while the process stands still."""

from __future__ import annotations

import time

from ebonyhaven_decisions.forwarding import RequestLimits
from ebonyhaven_node.forwarding import CallerServer, ConnectionPool
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_standins.memory_connections import MemoryTransport
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from tests.forwarding.harness import encode_request
from tests.forwarding.turns import TurnReactor
from tests.reactor_thread import run_in_reactor

TIMEOUT_S = 0.15
STANDSTILL_S = 1.0


async def probe_during_standstill():
    """Probe a server, and let the process stand still until the limit has passed."""
    host, _, port = allocate_address().rpartition(":")
    listener = reactor.listenTCP(
        int(port), Factory.forProtocol(Protocol), interface=host
    )
    pool = ConnectionPool(reactor, reactor.seconds)
    result = Deferred()
    try:
        pool.probe_address(
            f"{host}:{port}", on_result=result.callback, timeout_s=TIMEOUT_S
        )
        time.sleep(STANDSTILL_S)
        return await result
    finally:
        pool.close()
        await listener.stopListening()


def test_server_that_accepted_during_a_standstill_is_not_taken_for_silent():
    assert run_in_reactor(probe_during_standstill) is None


def test_server_that_accepts_nothing_is_found_silent_in_the_next_turn():
    turns, results = TurnReactor(), []
    pool = ConnectionPool(turns, turns.seconds)
    pool.probe_address("10.0.0.1:80", on_result=results.append, timeout_s=TIMEOUT_S)
    turns.advance(TIMEOUT_S)
    turns.run_turn()
    assert [each.is_refused for each in results] == [False]
    assert not turns.has_turn


def test_message_that_came_during_a_standstill_is_no_timeout():
    turns = TurnReactor()
    inbox = Inbox(turns)
    getting = ensureDeferred(inbox.get(TIMEOUT_S))
    turns.advance(STANDSTILL_S)
    inbox.put("message")
    turns.run_turn()
    assert getting.result == "message"


def test_inbox_without_a_message_times_out_in_the_next_turn():
    turns = TurnReactor()
    getting = ensureDeferred(Inbox(turns).get(TIMEOUT_S))
    turns.advance(TIMEOUT_S)
    assert not getting.called
    turns.run_turn()
    assert getting.called
    assert getting.result is None


def open_idle_connection(turns, exchanges):
    server = CallerServer(reactor=turns, handle=exchanges.append, clock=turns.seconds)
    connection = server.buildProtocol(None)
    connection.makeConnection(MemoryTransport())
    return connection


def test_request_that_came_during_a_standstill_is_read_before_its_connection_closes():
    # Guards against idle connections that are closed with a request in them.
    turns, exchanges = TurnReactor(), []
    connection = open_idle_connection(turns, exchanges)
    turns.advance(RequestLimits().idle_timeout_s + STANDSTILL_S)
    connection.dataReceived(encode_request("/once/x"))
    turns.run_turn()
    assert len(exchanges) == 1
    assert not connection.transport.disconnecting


def test_connection_that_stays_idle_closes_in_the_next_turn():
    turns, exchanges = TurnReactor(), []
    connection = open_idle_connection(turns, exchanges)
    turns.advance(RequestLimits().idle_timeout_s)
    assert not connection.transport.disconnecting
    turns.run_turn()
    assert connection.transport.disconnecting
