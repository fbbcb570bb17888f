"""Engines are asked for their load where instances know little of each other."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import EngineLoad
from ebonyhaven_node.forwarding.interfaces import InspectedServer, ServerInspector
from structlog.testing import capture_logs
from twisted.internet.defer import Deferred

from tests.forwarding.harness import decode_headers
from tests.forwarding.streaming import SIZE_HEADERS, open_stream, read_body
from tests.forwarding.test_streams import ForwardingHarness, event

INSTANCES = 195
IDLE = EngineLoad(running=1, prefilling=0, waiting=0)
BUSY = EngineLoad(running=5, prefilling=2, waiting=3)


class ScriptedInspector(ServerInspector):
    """Returns a load by address, None, or nothing at all until the timeout."""

    def __init__(self, harness):
        self._harness = harness
        self.loads = {}
        self.silent = set()
        self.started_ms = {}
        self.inspected = []

    async def inspect(self, address, *, timeout_s=0.5):
        self.inspected.append(address)
        if address in self.silent:
            done = Deferred()
            self._harness.reactor.callLater(timeout_s, done.callback, None)
            await done
            return None
        started_ms = self.started_ms.get(address, 1)
        return InspectedServer(True, started_ms, self.loads.get(address))

    async def check_health(self, address, *, path, timeout_s):
        return None if address in self.silent else InspectedServer(False, 0)


def start(instances=INSTANCES, engines=3):
    harness = ForwardingHarness(engines=engines)
    inspector = ScriptedInspector(harness)
    context = harness.gateway._context
    object.__setattr__(context, "inspector", inspector)
    context.budget.instances = instances
    return harness, inspector


def send(harness):
    caller = harness.open_caller()
    caller.request("/stream/x", **SIZE_HEADERS)
    return caller


def test_prompt_goes_to_the_engine_that_has_least_to_do():
    harness, inspector = start()
    engines = [f"e-{number}" for number in range(3)]
    addresses = [harness.find_address(name) for name in engines]
    for idle in addresses:
        inspector.loads = dict.fromkeys(addresses, BUSY) | {idle: IDLE}
        send(harness)
        server, _, _ = harness.take_request()
        assert server.address == idle


def test_engine_that_is_silent_delays_a_prompt_only_shortly():
    harness, inspector = start()
    engines = [f"e-{number}" for number in range(3)]
    addresses = [harness.find_address(name) for name in engines]
    inspector.loads = dict.fromkeys(addresses, BUSY)
    inspector.silent = set(addresses[:2])
    caller = send(harness)
    harness.advance(0.1)
    server, head, _ = harness.take_request()
    assert server.address == addresses[2]
    assert decode_headers(head)["x-expect-instance"] == "e-2"
    assert caller.received == b""


def test_engine_that_was_restarted_unnoticed_is_avoided():
    # Its process would refuse the request, which names the one before.
    harness, inspector = start()
    engines = [f"e-{number}" for number in range(3)]
    addresses = [harness.find_address(name) for name in engines]
    inspector.loads = dict.fromkeys(addresses, IDLE) | {addresses[2]: BUSY}
    inspector.started_ms = {addresses[0]: 2, addresses[1]: 3}
    send(harness)
    server, _, _ = harness.take_request()
    assert server.address == addresses[2]


def test_prompt_is_sent_although_no_engine_reports_a_load():
    harness, inspector = start()
    engines = [f"e-{number}" for number in range(3)]
    inspector.silent = {harness.find_address(name) for name in engines}
    caller = send(harness)
    harness.advance(0.1)
    open_stream(harness, 1)
    assert read_body(caller) == event(1)


def test_caller_that_leaves_while_engines_are_asked_sends_nothing():
    harness, inspector = start()
    engines = [f"e-{number}" for number in range(3)]
    inspector.silent = {harness.find_address(name) for name in engines}
    caller = send(harness)
    caller.disconnect()
    harness.advance(0.2)
    assert harness.count_waiting() == 0


def test_caller_that_leaves_while_engines_are_asked_is_no_error_of_the_instance():
    harness, inspector = start()
    inspector.silent.update(harness.find_address(f"e-{n}") for n in range(3))
    caller = send(harness)
    with capture_logs() as logs:
        caller.disconnect()
        harness.advance(0.1)
    events = [each["event"] for each in logs]
    assert "caller_left" in events
    assert "request_crashed" not in events


def test_few_instances_that_tell_each_other_everything_ask_no_engine():
    harness, inspector = start(instances=9)
    send(harness)
    open_stream(harness, 1)
    assert not inspector.inspected
