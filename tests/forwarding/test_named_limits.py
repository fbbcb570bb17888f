"""Limits on requests a second that servers name in their answers."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import ServerLimits

from tests.forwarding.harness import (
    ForwardingHarness,
    answer,
    chunk,
    event,
    stream_head,
)

LIMIT = 2.0
SPAN_S = 4.0  # over which arrivals at a server are counted
SEND_INTERVAL_S = 0.05


def answer_all(harness, limits, arrivals):
    """Answer all waiting requests, naming the limits of their servers by address."""
    for connection in harness.connections:
        if connection.has_request():
            head, _ = connection.read_request()
            request_id = dict(head.headers)[b"x-attempt-id"].decode()
            arrivals.append((harness.reactor.seconds(), connection.address))
            limit = limits.get(connection.address)
            connection.receive(answer(request_id, Server_Limit=limit))
    harness.advance(0.0)


def press(harness, limits, seconds, path="/repeat/x"):
    """Send requests at short intervals; return callers and arrivals at servers."""
    callers, arrivals = [], []
    end = harness.reactor.seconds() + seconds
    while harness.reactor.seconds() < end:
        caller = harness.open_caller()
        caller.request(path, request_id=f"r{len(callers)}", X_Deadline_Ms="1500")
        callers.append(caller)
        harness.advance(SEND_INTERVAL_S / 2)
        answer_all(harness, limits, arrivals)
        harness.advance(SEND_INTERVAL_S / 2)
    return callers, arrivals


def count_busiest_span(arrivals, address):
    times = [at for at, each in arrivals if each == address]
    return max(
        (sum(start <= at < start + SPAN_S for at in times) for start in times),
        default=0,
    )


def test_look_ups_keep_the_limit_that_a_server_names():
    for path in ("/repeat/x", "/once/x"):
        harness = ForwardingHarness(plain=1)
        address = harness.find_address("p-0")
        _, arrivals = press(harness, {address: str(LIMIT)}, 12.0, path)
        after = [each for each in arrivals if each[0] > arrivals[0][0] + 0.5]
        assert count_busiest_span(after, address) <= LIMIT * SPAN_S + 1
        assert len(after) >= 0.8 * LIMIT * 11.0


def test_rest_of_the_requests_goes_to_servers_with_room():
    harness = ForwardingHarness(plain=2)
    limited = harness.find_address("p-0")
    callers, arrivals = press(harness, {limited: str(LIMIT)}, 8.0)
    assert count_busiest_span(arrivals[10:], limited) <= LIMIT * SPAN_S + 1
    assert {caller.read_answer()[0] for caller in callers} == {200}


def test_request_beyond_the_limits_of_all_servers_is_refused_at_once():
    harness = ForwardingHarness(plain=1)
    press(harness, {harness.find_address("p-0"): str(LIMIT)}, 2.0)
    caller = harness.open_caller()
    caller.request("/once/x", request_id="last")
    harness.advance(0.02)
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert float(headers["retry-after"]) > 0.0


def test_streams_keep_the_limit_that_a_server_names():
    harness = ForwardingHarness(engines=1)
    arrivals = []
    callers = []
    for number in range(80):
        caller = harness.open_caller()
        callers.append(caller)
        caller.request("/stream/x", request_id=f"s{number}", X_Token_Count="10,10")
        harness.advance(0.1)
        for connection in harness.connections:
            if connection.has_request():
                head, _ = connection.read_request()
                request_id = dict(head.headers)[b"x-attempt-id"].decode()
                arrivals.append((harness.reactor.seconds(), connection.address))
                first, _, rest = stream_head(request_id).partition(b"\r\n")
                connection.receive(first + b"\r\nServer-Limit: 2\r\n" + rest)
                connection.receive(chunk(event(1)))
                connection.receive(b"0\r\n\r\n")
    after = [each for each in arrivals if each[0] > arrivals[0][0] + 0.5]
    address = harness.find_address("e-0")
    assert count_busiest_span(after, address) <= LIMIT * SPAN_S + 1
    assert after


def test_limit_ends_when_answers_no_longer_name_it():
    harness = ForwardingHarness(plain=1)
    address = harness.find_address("p-0")
    press(harness, {address: str(LIMIT)}, 3.0)
    callers, _ = press(harness, {}, 3.0)
    assert {caller.read_answer()[0] for caller in callers[-20:]} == {200}


def test_limit_is_not_forwarded_to_callers():
    harness = ForwardingHarness(plain=1)
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r1")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", Server_Limit="2.5"))
    harness.advance(0.0)
    assert "server-limit" not in caller.read_answer()[1]


def test_malformed_limit_is_no_limit():
    for value in ("", "many", "-1", "nan", "inf"):
        harness = ForwardingHarness(plain=1)
        callers, _ = press(harness, {harness.find_address("p-0"): value}, 0.5)
        assert {caller.read_answer()[0] for caller in callers} == {200}


def test_second_attempts_keep_the_limit_that_a_server_names():
    harness = ForwardingHarness(plain=2)
    limited = harness.find_address("p-0")
    arrivals = []
    callers = []
    for number in range(120):
        callers.append(harness.open_caller())
        callers[-1].request("/repeat/x", request_id=f"r{number}")
        for _ in range(2):
            harness.advance(0.025)
            for connection in harness.connections:
                if connection.has_request():
                    head, _ = connection.read_request()
                    request_id = dict(head.headers)[b"x-attempt-id"].decode()
                    arrivals.append((harness.reactor.seconds(), connection.address))
                    named = str(LIMIT) if connection.address == limited else None
                    failed = answer(request_id, status=500, Server_Limit=named)
                    connection.receive(failed)
    after = [each for each in arrivals if each[0] > arrivals[0][0] + 0.5]
    assert count_busiest_span(after, limited) <= LIMIT * SPAN_S + 1


def test_stream_beyond_the_limit_is_refused_at_once():
    # Those ahead of it in line use up what its server takes within its target.
    harness = ForwardingHarness(engines=1)
    engine = harness.state.backends.find("e-0")
    now = harness.reactor.seconds()
    harness.state.backends.limits.record_limits(engine, ServerLimits(LIMIT), now)
    callers = [harness.open_caller() for _ in range(15)]
    for number, caller in enumerate(callers):
        caller.request("/stream/x", request_id=f"s{number}", X_Token_Count="10,10")
    harness.advance(0.05)
    is_refused = [b" 503 " in caller.received for caller in callers]
    assert is_refused[-1]
    assert not is_refused[0]


def test_copies_of_runs_keep_the_limit_of_the_engine():
    harness = ForwardingHarness()
    engine = harness.state.backends.find("e-0")
    now = harness.reactor.seconds()
    harness.state.backends.limits.record_limits(engine, ServerLimits(0.1), now)
    assert engine.limiter.acquire(now)
    assert not engine.limiter.acquire(now)
    assert not engine.can_resume_from_copy(now)
