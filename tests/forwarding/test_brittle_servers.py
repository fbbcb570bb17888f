"""Servers that end when they have to refuse many requests for lack of room."""

from __future__ import annotations

from ebonyhaven_node.forwarding._attempts import CANCELLATION_S

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    event,
    refusal,
    stream_head,
)

MAX_REFUSALS_PER_S = 4
SLOTS = 6
WORK_S = 0.045
SEND_INTERVAL_S = 0.01


class BrittleServer:
    """A server with some slots and no queue that counts what it refuses."""

    def __init__(self, harness, address):
        self._harness = harness
        self._address = address
        self._running = []
        self.refused_at = []
        self.served = 0
        self.callers = []
        self.work_s = WORK_S

    def step(self):
        now = self._harness.reactor.seconds()
        for connection in self._harness.connections:
            if connection.address == self._address and connection.has_request():
                self._accept(connection, now)
        for entry in list(self._running):
            end, connection, request_id = entry
            if now >= end:
                self._running.remove(entry)
                self.served += 1
                connection.receive(answer(request_id, Server_Brittle="4"))

    def _accept(self, connection, now):
        head, _ = connection.read_request()
        request_id = dict(head.headers)[b"x-attempt-id"].decode()
        if len(self._running) < SLOTS:
            self._running.append((now + self.work_s, connection, request_id))
            return
        self.refused_at.append(now)
        connection.receive(refusal(request_id, Server_Brittle="4"))

    def count_worst_second(self):
        return max(
            (
                sum(start <= at < start + 1.0 for at in self.refused_at)
                for start in self.refused_at
            ),
            default=0,
        )


def press(harness, server, seconds, per_step=1):
    """Send requests at short intervals."""
    end = harness.reactor.seconds() + seconds
    callers = server.callers
    while harness.reactor.seconds() < end:
        for _ in range(per_step):
            callers.append(harness.open_caller())
            request_id = f"r{harness.reactor.seconds():.3f}-{len(callers)}"
            callers[-1].request("/repeat/x", request_id=request_id)
        harness.advance(SEND_INTERVAL_S)
        server.step()
        harness.advance(0.0)


def test_brittle_server_refuses_few_requests_under_a_burst():
    harness = ForwardingHarness(plain=1)
    server = BrittleServer(harness, harness.find_address("p-0"))
    press(harness, server, 0.5)
    server.refused_at.clear()
    press(harness, server, 1.0, per_step=4)
    assert server.count_worst_second() <= MAX_REFUSALS_PER_S
    assert server.served > 60


def test_brittle_server_that_turns_slow_refuses_few_requests():
    harness = ForwardingHarness(plain=1)
    server = BrittleServer(harness, harness.find_address("p-0"))
    press(harness, server, 0.5)
    server.refused_at.clear()
    server.work_s = 0.4
    press(harness, server, 2.0)
    assert server.count_worst_second() <= MAX_REFUSALS_PER_S


def test_what_a_brittle_server_says_is_not_forwarded_to_callers():
    harness = ForwardingHarness(plain=1)
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r1")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", Server_Brittle="4"))
    harness.advance(0.0)
    assert "server-brittle" not in caller.read_answer()[1]


ENGINE_SLOTS = 6


def open_streams(harness, count) -> list:
    """Send streams, and return the engines that got them, which begin to answer."""
    for number in range(count):
        harness.open_caller().request(f"/stream/{number}", f"r{number}")
        harness.advance(0.05)
    servers = [each for each in harness.connections if each.has_request()]
    for server in servers:
        head, _ = server.read_request()
        request_id = dict(head.headers)[b"x-attempt-id"].decode()
        begin = stream_head(request_id, Server_Brittle="4") + chunk(event(1))
        server.receive(begin)
    harness.advance(0.05)
    return servers


def test_a_brittle_engine_whose_slots_are_taken_by_streams_gets_no_more():
    # Guards against a permit that is returned with the head of an answer while the
    # stream goes on, and against a room that is derived from memory alone.
    harness = ForwardingHarness(plain=0, engines=1)
    servers = []
    for _ in range(3 * ENGINE_SLOTS):
        servers += open_streams(harness, 1)
        for server in servers:
            server.receive(chunk(event(2)))
    assert len(servers) == ENGINE_SLOTS
    servers[0].receive(STREAM_END)
    harness.advance(0.2)
    assert harness.count_waiting() == 1


def test_a_cancelled_stream_occupies_its_slot_until_the_engine_has_noticed():
    harness = ForwardingHarness(plain=0, engines=1)
    callers = []
    for number in range(ENGINE_SLOTS + 1):
        callers.append(harness.open_caller())
        callers[-1].request(f"/stream/{number}", f"r{number}")
        harness.advance(0.05)
        for server in [each for each in harness.connections if each.has_request()]:
            server.read_request()
            head = stream_head(f"r{number}", Server_Brittle="4")
            server.receive(head + chunk(event(1)))
    assert harness.count_waiting() == 0
    callers[0].disconnect()
    harness.advance(0.5 * CANCELLATION_S)
    assert harness.count_waiting() == 0
    harness.advance(CANCELLATION_S)
    assert harness.count_waiting() == 1
