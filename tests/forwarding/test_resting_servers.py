"""Servers that turn requests away and say for how long they want none."""

from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    event,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

REST_S = 3.0
UNDER_WAY_S = 0.5  # after the answer that names the rest
MAX_ARRIVALS = 2  # of one instance, from then until the end of the rest
SEND_INTERVAL_S = 0.05


def refuse_with_rest(request_id, rest=REST_S, **headers):
    return refusal(request_id, Retry_After=str(rest), **headers)


def fail_with_rest(request_id, rest=REST_S):
    """Return an answer of a server that began to work on the request."""
    return answer(request_id, b"busy", 503, Retry_After=str(rest))


def serve_stream(request_id):
    return stream_head(request_id) + chunk(event(1)) + STREAM_END


class RestingServers:
    """Servers that name a rest for the first request, and again in each rest.

    Parameters
    ----------
    harness : ForwardingHarness
    resting : iterable of str
        Ids of the servers that want a rest.
    decline, serve : callable
        Return the answer to a request with an id.
    """

    def __init__(self, harness, resting, decline, serve):
        self._harness = harness
        self._decline = decline
        self._serve = serve
        self._addresses = {harness.find_address(each) for each in resting}
        self.named_at: dict[str, float] = {}  # by address
        self.arrivals: list[tuple[str, float]] = []

    def answer_all(self):
        now = self._harness.reactor.seconds()
        for connection in self._harness.connections:
            if not connection.has_request():
                continue
            head, _ = connection.read_request()
            request_id = dict(head.headers)[b"x-attempt-id"].decode()
            address = connection.address
            self.arrivals.append((address, now))
            if address in self._addresses:
                self.named_at.setdefault(address, now)
            rested_at = self.named_at.get(address, -REST_S)
            respond = self._decline if now < rested_at + REST_S else self._serve
            connection.receive(respond(request_id))
        self._harness.advance(0.0)

    def count_in_rests(self):
        """Return the arrivals at each server that named a rest, in that rest."""
        return {
            address: sum(
                each == address and named_at + UNDER_WAY_S < at < named_at + REST_S
                for each, at in self.arrivals
            )
            for address, named_at in self.named_at.items()
        }

    def count_first_arrivals_after_rest(self, window_s):
        """Return the arrivals at each server just after the end of its rest."""
        return {
            address: sum(
                each == address and 0.0 <= at - named_at - REST_S < window_s
                for each, at in self.arrivals
            )
            for address, named_at in self.named_at.items()
        }


def press(harness, servers, path, seconds):
    """Send requests at short intervals for some time; return their callers."""
    callers = []
    end = harness.reactor.seconds() + seconds
    while harness.reactor.seconds() < end:
        caller = harness.open_caller()
        number = len(callers)
        caller.request(path, f"r{number}", body=b"%d" % number, **SIZE_HEADERS)
        callers.append(caller)
        harness.advance(SEND_INTERVAL_S / 2)
        servers.answer_all()
        harness.advance(SEND_INTERVAL_S / 2)
        servers.answer_all()
    return callers


def test_server_that_names_a_rest_gets_requests_in_it():
    # 5 to 80 requests reached a server within a rest that it had named (BUDGET).
    cases = (
        ("/once/x", ["p-0"], answer),
        ("/repeat/x", ["p-0"], answer),
        ("/once/x", ["p-0", "p-1", "p-2"], answer),
        ("/repeat/x", ["p-0", "p-1", "p-2"], answer),
        ("/stream/x", ["e-0"], serve_stream),
        ("/fixed/x", ["e-0"], serve_stream),
        ("/stream/x", ["e-0", "e-1", "e-2"], serve_stream),
        ("/fixed/x", ["e-0", "e-1", "e-2"], serve_stream),
    )
    for path, resting, serve in cases:
        for decline in (refuse_with_rest, fail_with_rest):
            harness = ForwardingHarness()
            servers = RestingServers(harness, resting, decline, serve)
            press(harness, servers, path, REST_S + 2.0)
            counts = servers.count_in_rests()
            assert len(counts) == len(resting), (path, decline)
            assert max(counts.values()) <= MAX_ARRIVALS, (path, decline, counts)


def test_streams_get_no_answer_while_all_engines_rest():
    for path in ("/stream/x", "/fixed/x"):
        harness = ForwardingHarness(engines=1)
        caller = harness.open_caller()
        caller.request(path, **SIZE_HEADERS)
        server, _, _ = harness.take_request()
        server.receive(refuse_with_rest("r1", 6.0))
        harness.advance(0.1)
        assert caller.received, path
        status, headers, _, is_complete = caller.read_answer()
        assert (status, is_complete) == (503, True), path
        assert 5.0 < float(headers["retry-after"]) <= 6.0, path
