"""Many requests of which the end of one wakes the next."""

from __future__ import annotations

import contextlib

from ebonyhaven_node.forwarding._exchanges import (
    Exchange,
    ExchangeEnd,
    ResponseWriter,
)
from ebonyhaven_node.forwarding._inbox import Inbox
from ebonyhaven_node.forwarding._notifiers import MAX_WAKES_PER_TURN, CapacityNotifier
from ebonyhaven_node.forwarding._requests import RequestHead
from nose2.tools import params
from twisted.internet.defer import ensureDeferred

from tests.forwarding.harness import HOST, KEY, ForwardingHarness
from tests.forwarding.streaming import SIZE_HEADERS
from tests.forwarding.turns import TurnReactor

REQUESTS = 300  # a chain of 60 ends exceeds the recursion limit
TIMEOUT_S = 0.8
LATE_S = 0.5  # after which a request without an answer counts


def test_requests_whose_time_ends_together_are_all_answered():
    harness = ForwardingHarness()
    callers = [harness.open_caller() for _ in range(REQUESTS)]
    for number, caller in enumerate(callers):
        caller.request("/once/x", f"r{number}")
    harness.advance(TIMEOUT_S + LATE_S)
    assert {each.read_answer()[0] for each in callers} <= {503, 504}


def test_streams_whose_servers_end_together_are_all_ended():
    harness = ForwardingHarness(engines=4)
    callers = [harness.open_caller() for _ in range(REQUESTS)]
    for number, caller in enumerate(callers):
        headers = {**SIZE_HEADERS, "X_Token_Count": "10,10"}
        caller.request("/fixed/x", f"r{number}", **headers)
    while servers := [each for each in harness.connections if each.has_request()]:
        for server in servers:
            server.read_request()
            server.reset()
        harness.advance(TIMEOUT_S)
    assert all(each.received for each in callers)


def test_requests_sent_ahead_on_one_connection_are_all_answered():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    head = f"GET /nothing/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
    request = f"{head}Authorization: Bearer {KEY}\r\n\r\n"
    caller.send(request.encode() * REQUESTS)
    harness.advance(LATE_S)
    assert caller.received.count(b"HTTP/1.1 404 ") == REQUESTS


class FailingWriter(ResponseWriter):
    """A connection on which each response fails."""

    is_aborted = False

    def write_response(self, status, headers, body):
        raise RecursionError

    def write_stream_head(self, status, headers):
        raise RecursionError

    def write_data(self, data):
        raise RecursionError

    def finish(self):
        raise RecursionError

    def abort(self):
        self.is_aborted = True


@params(
    lambda exchange: exchange.respond(200, (), b""),
    lambda exchange: exchange.start_stream(200, ()),
    lambda exchange: exchange.write(b"data"),
    lambda exchange: exchange.finish(),
)
def test_error_within_a_response_closes_its_connection(respond):
    writer = FailingWriter()
    exchange = Exchange(writer, RequestHead(b"GET", b"/", ()), b"", 0.0)
    with contextlib.suppress(RecursionError):
        respond(exchange)
    assert writer.is_aborted
    assert exchange.end is ExchangeEnd.ABORTED


async def wait_for_message(inbox, woken):
    await inbox.get(1.0)
    woken.append(inbox)


def test_one_turn_wakes_a_bounded_number_of_requests_and_none_within_the_call():
    turns = TurnReactor()
    notifier = CapacityNotifier(turns)
    woken = []
    inboxes = [Inbox(turns) for _ in range(2 * MAX_WAKES_PER_TURN)]
    for inbox in inboxes:
        notifier.subscribe(inbox)
        ensureDeferred(wait_for_message(inbox, woken))
    notifier.notify()
    notifier.notify()
    assert woken == []
    turns.run_turn()
    assert woken == inboxes[:MAX_WAKES_PER_TURN]
    turns.run_turn()
    assert woken == inboxes
    assert not turns.has_turn
