"""Sequences of a review that the changes of begun streams handle wrongly."""

from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    event,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import open_stream, start_stream
from tests.forwarding.test_cut_off import PEER

PAUSE_S = 3.0


def test_fixed_stream_whose_server_pauses_after_a_cut_is_not_given_up():
    # No instance can go on with a stream that may not be resumed.
    harness = ForwardingHarness()
    harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
    caller = harness.open_caller()
    caller.request("/fixed/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    server.receive(stream_head("s1") + chunk(event(1)))
    harness.advance(0.0)
    harness.silent.update(each.entry.address for each in harness.state.backends)
    harness.open_caller().request("/repeat/first", request_id="first")
    for number in range(2, 20):
        harness.advance(0.1)
        server.receive(chunk(event(number)))
    assert harness.gateway._contact.is_confirmed_lost
    harness.advance(PAUSE_S)
    assert not caller.transport.aborted
    server.receive(chunk(event(20)) + STREAM_END)
    harness.advance(0.0)
    assert caller.read_answer()[3]


def test_begun_stream_is_not_sent_to_an_engine_that_says_that_it_leaves():
    # The engine was asked who it is, and its report says that it leaves.
    harness, _ = start_stream(engines=4)
    server, _ = open_stream(harness, 1, 2)
    server.reset()
    harness.advance(0.01)
    holder, _, _ = harness.take_request()
    inspect = harness.inspector.inspect
    leaving = []

    async def inspect_leaving(address, *, timeout_s=0.5):
        answer = await inspect(address, timeout_s=timeout_s)
        if not leaving:
            leaving.append(address)
        return answer and answer._replace(is_leaving=address in leaving)

    harness.inspector.inspect = inspect_leaving
    holder.receive(refusal("r1"))
    harness.advance(0.01)
    third, _, _ = harness.take_request()
    assert leaving
    assert third.address not in leaving
