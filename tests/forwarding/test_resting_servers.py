"""Servers that turn requests away and say for how long they want none."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import MAX_REST_S

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    make_entry,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS, open_stream, start_stream

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


def test_request_whose_connection_was_being_opened_is_sent_into_a_rest():
    for path in ("/once/x", "/stream/x"):
        harness = ForwardingHarness(plain=2, engines=2)
        harness.is_accepting = False
        harness.open_caller().request(path, **SIZE_HEADERS)
        host, port, *_ = harness.reactor.tcpClients[-1]
        address = f"{host}:{port}"
        resting = find_backend(harness, address)
        harness.gateway._context.report_rest(resting, REST_S)
        harness.is_accepting = True
        harness.advance(0.2)
        server, _, _ = harness.take_request()
        assert server.address != address, path


def find_backend(harness, address):
    backends = harness.state.backends
    return next(each for each in backends if each.entry.address == address)


def test_waiting_streams_are_sent_together_at_the_end_of_a_rest():
    # Each arrival that is turned away counts against the retry budget of all.
    harness = ForwardingHarness(engines=1)
    backend = harness.state.backends.find("e-0")
    harness.gateway._context.report_rest(backend, 2.0)
    callers = []
    for number in range(12):
        callers.append(harness.open_caller())
        callers[-1].request("/stream/x", f"r{number}", body=b"%d" % number)
    harness.advance(1.95)
    assert harness.count_waiting() == 0
    harness.advance(0.14)
    server, head, _ = harness.take_request()
    server.receive(refuse_with_rest(decode_headers(head)["x-attempt-id"], 1.0))
    harness.advance(0.9)
    assert harness.count_waiting() == 0
    harness.advance(0.5)
    assert 0 < harness.count_waiting() <= 5  # one at an interval, until one is served


def test_short_request_waits_for_the_end_of_a_rest_only_within_its_target():
    for rest_s, is_sent in ((0.1, True), (0.5, False)):
        harness = ForwardingHarness(plain=1)
        backend = harness.state.backends.find("p-0")
        harness.gateway._context.report_rest(backend, rest_s)
        caller = harness.open_caller()
        caller.request("/once/x")
        harness.advance(0.05)
        assert bool(caller.received) is not is_sent
        if is_sent:
            harness.advance(0.1)
            harness.take_request()
        else:
            status, headers, _, _ = caller.read_answer()
            assert (status, headers["retry-after"]) == (503, "0.50")


def test_stream_that_has_begun_is_cut_while_all_engines_rest():
    harness, caller = start_stream(engines=2)
    server, _ = open_stream(harness, 1, 2)
    for each in harness.state.backends:
        if each.entry.service == "engines":
            harness.gateway._context.report_rest(each, 2.0)
    server.close()
    harness.advance(1.9)
    assert harness.count_waiting() == 0
    assert not caller.transport.disconnected
    harness.advance(0.3)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "2"


def test_rest_ends_when_the_entry_of_its_server_comes_back():
    harness = ForwardingHarness(plain=1)
    backends = harness.state.backends
    entry = backends.find("p-0").entry
    harness.gateway._context.report_rest(backends.find("p-0"), 9.0)
    harness.state.remove_backend("p-0")
    harness.advance(4.0)
    harness.state.put_backend(make_entry("p-1"))
    harness.state.remove_backend("p-1")  # forgets those that were removed long ago
    harness.state.put_backend(entry)
    assert not backends.find("p-0").is_usable(harness.reactor.seconds())
    harness.state.put_backend(entry._replace(started_ms=2))
    assert backends.find("p-0").is_usable(harness.reactor.seconds())


def test_value_that_names_no_time_is_taken_for_a_rest():
    for value in ("", "-1", "0", "nan", "inf", "soon", "Sun, 06 Dec 2026 01:00:00 GMT"):
        harness = ForwardingHarness(plain=1)
        harness.open_caller().request("/once/x")
        server, _, _ = harness.take_request()
        server.receive(refuse_with_rest("r1", value))
        harness.advance(0.0)
        rest = harness.state.backends.find("p-0").limiter.rest
        assert not rest.is_resting(harness.reactor.seconds()), value


def test_only_unavailable_servers_name_rests():
    for status in (200, 429, 500):
        harness = ForwardingHarness(plain=1)
        harness.open_caller().request("/once/x")
        server, _, _ = harness.take_request()
        server.receive(answer("r1", b"x", status, Retry_After="3"))
        harness.advance(0.0)
        rest = harness.state.backends.find("p-0").limiter.rest
        assert not rest.is_resting(harness.reactor.seconds()), status


def test_rest_beyond_any_target_is_bounded():
    harness = ForwardingHarness(plain=1)
    harness.open_caller().request("/once/x")
    server, _, _ = harness.take_request()
    server.receive(refuse_with_rest("r1", 1e9))
    harness.advance(0.0)
    rest = harness.state.backends.find("p-0").limiter.rest
    assert rest.until <= harness.reactor.seconds() + MAX_REST_S


def is_resting(harness, server_id):
    rest = harness.state.backends.find(server_id).limiter.rest
    return rest.is_resting(harness.reactor.seconds())


def test_rest_that_a_health_check_finds_is_not_kept():
    harness = ForwardingHarness(plain=1)
    address = harness.find_address("p-0")
    harness.inspector.still.add(address)
    harness.open_caller().request("/once/x")
    harness.advance(1.5)
    assert harness.inspector.checked
    harness.inspector.result = harness.inspector.result._replace(rest_s=REST_S)
    harness.inspector.still.clear()
    harness.advance(1.0)
    assert is_resting(harness, "p-0")
    asked = len(harness.inspector.checked)
    harness.advance(1.0)
    assert len(harness.inspector.checked) == asked


def test_engine_that_rests_is_asked_to_copy_a_run():
    harness, _ = start_stream(engines=3)
    server, headers = open_stream(harness, 1)
    source = harness.state.backends.find(headers["x-expect-instance"])
    harness.gateway._context.report_rest(source, REST_S)
    holder = find_backend(harness, headers["x-kv-backup"])
    harness.state.remove_backend(holder.server_id)
    for number in range(2, 30):
        server.receive(chunk(event(number)))
        harness.advance(0.2)
        has_rested = not is_resting(harness, source.server_id)
        assert has_rested or not harness.copier.requested
    assert harness.copier.requested
