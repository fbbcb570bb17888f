"""Tests of the time limit of calls to the store."""

from __future__ import annotations

from ebonyhaven_adapter._store import StoreClient
from ebonyhaven_adapter.exceptions import StoreError
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from tests.platform_adapter.timed_stores import (
    LATENCY_S,
    TimedConnection,
    TimedPool,
    TimedStore,
)

TIMEOUT_S = 0.8
STANDSTILL_S = 1.0


def start_call(timeout_s):
    """Start a read of a table; return clock, pool, and what came of it."""
    clock = Clock()
    pool = TimedPool(TimedStore(clock))
    client = StoreClient(pool=pool, reactor=clock, address="store", clock=clock.seconds)
    ended = []
    call = ensureDeferred(client.read_table("op", timeout_s=timeout_s))
    call.addBoth(ended.append)
    return clock, pool, ended


def test_response_that_came_while_the_process_stood_still_is_read():
    # Guards against an instance without processor time that never reads a change.
    clock, _, ended = start_call(timeout_s=LATENCY_S / 2)
    clock.advance(STANDSTILL_S)  # the timer is due before the response
    assert [row.key for row in ended[0].rows] == ["config"]


def test_call_without_a_response_closes_idle_connections():
    # Guards against a retry over another connection that fell silent.
    clock, pool, ended = start_call(timeout_s=TIMEOUT_S)
    pool.silence()
    pool.idle.append(TimedConnection(None, pool))
    clock.pump([0.1] * 10)
    assert isinstance(ended[0].value, StoreError)
    assert ended[0].value.is_timeout
    assert not pool.idle
