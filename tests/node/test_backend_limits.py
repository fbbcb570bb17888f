"""Limits that backend servers name on the product's own interface."""

from __future__ import annotations

import time

from ebonyhaven_decisions.forwarding import NO_LIMITS, ServerLimits
from ebonyhaven_node._engines import LIMITED, EngineClient
from ebonyhaven_node._limit_headers import read_limits
from ebonyhaven_node._servers import BackendServers
from ebonyhaven_node.exceptions import EngineRefusal
from ebonyhaven_standins.cluster import allocate_address
from ebonyhaven_store import ListedProcess
from twisted.internet import reactor
from twisted.web import resource, server
from twisted.web.http_headers import Headers

from tests.reactor_thread import run_in_reactor

LIMIT = 2.0
ATTACHES = 12


class NamingEngine(resource.Resource):
    """Engine that knows no run and names something in a header of its answers."""

    isLeaf = True  # noqa: N815 defined by Twisted

    def __init__(self, status, header, value):
        super().__init__()
        self.arrivals = 0
        self._status = status
        self._header = header
        self._value = value

    def render(self, request):
        self.arrivals += 1
        request.setHeader(self._header, self._value)
        request.setResponseCode(self._status)
        return b'{"error": "run_unknown"}'


def list_server(servers, address, identity="one"):
    process = ListedProcess(
        name="s1",
        kind="backend_server",
        address=address,
        control_address=None,
        data_centre="dc-a",
        region="r1",
        state="live",
        pool="engines",
        identity=identity,
    )
    servers.merge_list([process])
    return servers.find("s1")


async def attach_often(status, header, value):
    """Attach at short intervals; return the engine and how the attaches ended."""
    engine, address = NamingEngine(status, header, value), allocate_address()
    host, _, port = address.rpartition(":")
    site = server.Site(engine)
    site.noisy = False
    listening = reactor.listenTCP(int(port), site, interface=host)
    backend = list_server(BackendServers(), address)
    client, reasons = EngineClient(reactor), []
    try:
        for _ in range(ATTACHES):
            try:
                await client.attach(
                    backend,
                    "run",
                    offset=0,
                    generation="0" * 8,
                    fence=0,
                    receiver=None,
                    timeout_s=5.0,
                )
            except EngineRefusal as refusal:
                reasons.append(refusal.reason)
    finally:
        await listening.stopListening()
    return engine, reasons, backend


def test_engine_that_names_a_limit_gets_no_more_requests():
    started_at = time.monotonic()
    engine, reasons, backend = run_in_reactor(
        attach_often, 404, "Backend-Request-Limit", str(LIMIT)
    )
    elapsed_s = time.monotonic() - started_at
    # The first answer names the limit; one more may have been saved up.
    assert engine.arrivals <= 2 + LIMIT * elapsed_s
    assert reasons.count(LIMITED) == ATTACHES - engine.arrivals
    assert not backend.accepts_work(time.monotonic())


def test_engine_that_names_a_rest_gets_requests_in_it():
    engine, reasons, backend = run_in_reactor(attach_often, 503, "Retry-After", "60")
    assert engine.arrivals == 1
    assert reasons.count(LIMITED) == ATTACHES - 1
    assert not backend.accepts_work(time.monotonic())


def test_limits_are_shared_and_told():
    servers = BackendServers()
    backend = list_server(servers, "127.0.0.1:1")
    told = []
    servers.on_limits = told.append
    backend.record_limits(NO_LIMITS)
    assert not told
    backend.record_limits(ServerLimits(LIMIT))
    assert told == [backend]
    now = time.monotonic()
    servers.set_instances("n1", [f"n{number}" for number in range(1, 3)], now)
    assert backend.limiter.pacer.compute_rate(now) == LIMIT / 2
    servers.record_told_limits(backend.process_id, NO_LIMITS, now)
    assert backend.limiter.limits == NO_LIMITS


def test_limits_of_a_process_that_is_not_listed_yet_hold_once_it_is():
    servers = BackendServers()
    servers.record_told_limits("s1/two", ServerLimits(LIMIT), time.monotonic())
    assert list_server(servers, "127.0.0.1:1").limiter.limits == NO_LIMITS
    replaced = list_server(servers, "127.0.0.1:1", "two")
    assert replaced.limiter.limits == ServerLimits(LIMIT)


def test_malformed_limits_are_none():
    for value in ("", "many", "-1", "nan", "inf"):
        headers = Headers({"Backend-Request-Limit": [value]})
        assert read_limits(headers) == NO_LIMITS
    headers = Headers({"Backend-Refusal-Limit": ["4"]})
    assert read_limits(headers) == ServerLimits(refusals_per_s=4)
