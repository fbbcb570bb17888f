"""Time limits that pass while the process stands still."""

from __future__ import annotations

import time

from ebonyhaven_node.forwarding import ConnectionPool
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_standins.cluster import allocate_address
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.protocol import Factory, Protocol

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
