"""Servers that stand still: they take requests and answer nothing."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import RequestKind, ServerLimits, ServiceShare
from ebonyhaven_node._frames import Frame
from structlog.testing import capture_logs

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    make_configuration,
    make_entry,
    make_route,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

DRAIN_S = 2.0  # within which a server that left may still get requests
ROUTE_TIMEOUT_S = 0.8
STEP_S = 0.02


class StandingServers:
    """Serves the requests of a harness, but for those at servers that stand still.

    Parameters
    ----------
    harness : ForwardingHarness
    still : iterable of str
        Ids of the servers that stand still.
    answer_s : float
        Time that the others take for a short request.

    Attributes
    ----------
    unread : list of (float, str)
        Time and path of each request that a server has got and not read.
    callers : list of Caller
    """

    def __init__(self, harness, still, answer_s=0.05):
        self.harness = harness
        self.answer_s = answer_s
        self.unread = []
        self.callers = []
        self._count = 0
        self.still = {harness.find_address(each) for each in still}
        harness.inspector.still |= self.still

    def request(self, path, **headers):
        self._count += 1
        caller = self.harness.open_caller()
        caller.request(path, request_id=f"r{self._count}", **headers)
        self.callers.append(caller)
        self.serve()
        return caller

    def serve(self):
        for server in self.harness.connections:
            if server.has_request() and not server.is_closed:
                self._handle(server)

    def _handle(self, server):
        head, _ = server.read_request()
        request_id = decode_headers(head)["x-attempt-id"]
        path = head.target.decode()
        if server.address in self.still:
            self.unread.append((self.harness.reactor.seconds(), path))
        elif path.startswith(("/stream", "/fixed")):
            body = chunk(event(1)) + STREAM_END
            server.receive(stream_head(request_id) + body)
        else:
            self.harness.reactor.callLater(
                self.answer_s, self._answer, server, request_id
            )

    def _answer(self, server, request_id):
        if not server.is_closed:
            server.receive(answer(request_id))

    def run(self, seconds, path=None, **headers):
        """Serve for some time, with a request to ``path`` in each step."""
        end = self.harness.reactor.seconds() + seconds
        while self.harness.reactor.seconds() < end:
            if path is not None:
                self.request(path, **headers)
            self.harness.advance(STEP_S)
            self.serve()

    def resume(self):
        """Let the servers go on; they answer the next requests."""
        self.harness.inspector.still.clear()
        self.still.clear()

    def list_statuses(self):
        """Return the statuses of the answers that callers have got."""
        return [each.read_answer()[0] for each in self.callers if each.received]


def test_standing_server_gets_no_request_after_the_first_ones_had_no_answer():
    # Guards against sending one request after the other to a server that stands still:
    # it reads all of them when it goes on, perhaps long after it has left.
    for path in ("/once/x", "/repeat/x"):
        for still in (["p-0"], ["p-0", "p-1", "p-2"]):
            servers = StandingServers(ForwardingHarness(), still)
            servers.run(DRAIN_S + 4.0, path)
            first_at = servers.unread[0][0]
            assert max(at for at, _ in servers.unread) - first_at < ROUTE_TIMEOUT_S


def test_standing_engine_gets_no_stream_after_the_first_ones_had_no_answer():
    harness = ForwardingHarness()
    servers = StandingServers(harness, ["e-0"])
    servers.run(DRAIN_S + 6.0, "/fixed/x", **SIZE_HEADERS)
    first_at = servers.unread[0][0]
    assert max(at for at, _ in servers.unread) - first_at < DRAIN_S


def test_standing_engine_gets_no_streams_for_the_sake_of_a_long_prompt_it_has_read():
    # Guards against patience with a prefill that ended long ago.
    route = make_route(
        "fixed",
        RequestKind.STREAM,
        shares=(ServiceShare("engines", 1.0),),
        timeout_s=25.0,
        target_latency_s=4.5,
    )
    harness = ForwardingHarness(make_configuration(routes=[route]), engines=1)
    harness.gateway._context.prefill_rate.tokens_per_s = 1000.0
    caller = harness.open_caller()
    caller.request("/fixed/x", request_id="long", **SIZE_HEADERS)
    engine, _, _ = harness.take_request()
    harness.gateway._context.prefill_rate.tokens_per_s = 20_000.0
    engine.receive(stream_head("long"))
    for number in range(1, 21):
        engine.receive(chunk(event(number)))
        harness.advance(0.05)
    servers = StandingServers(harness, ["e-0"])
    still_at = harness.reactor.seconds()
    small = {"X_Token_Count": "200,20", "X_Prompt_Prefix": "cc:200"}
    for _ in range(60):
        servers.request("/fixed/y", **small)
        servers.run(0.1)
    assert servers.unread
    assert max(at for at, _ in servers.unread) - still_at < DRAIN_S


def test_request_is_refused_as_not_run_if_all_servers_stand_still():
    harness = ForwardingHarness(plain=2)
    servers = StandingServers(harness, ["p-0", "p-1"])
    servers.run(1.0, "/once/x")
    sent_count = len(servers.unread)
    caller = servers.request("/once/x")
    servers.run(ROUTE_TIMEOUT_S)
    status, headers, _, _ = caller.read_answer()
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert len(servers.unread) == sent_count


def test_request_is_left_to_other_instances_only_if_no_server_answers():
    # Guards against passing on what full servers refuse, because another one is silent.
    for full, expected_step in (([], "reach"), (["p-2"], "route")):
        harness = ForwardingHarness()
        names = [each for each in ("p-0", "p-1", "p-2") if each not in full]
        servers = StandingServers(harness, names)
        for server_id in full:
            backend = harness.state.backends.find(server_id)
            backend.backoff.refusals = 1
            backend.backoff.until = harness.reactor.seconds() + 10.0
        servers.run(1.0, "/once/x")
        with capture_logs() as lines:
            servers.request("/once/x")
            servers.run(ROUTE_TIMEOUT_S)
        failed = [each for each in lines if each["event"] == "request_failed"]
        assert failed[-1]["step"] == expected_step


def test_server_that_goes_on_gets_requests_again():
    harness = ForwardingHarness(plain=1, engines=1)
    servers = StandingServers(harness, ["p-0", "e-0"])
    servers.run(3.0, "/once/x")
    servers.request("/fixed/x", **SIZE_HEADERS)
    servers.run(3.0)
    servers.resume()
    servers.run(0.3)
    assert not harness.state.backends.list_unresponsive(harness.reactor.seconds())
    for path, headers in (("/once/x", {}), ("/fixed/x", SIZE_HEADERS)):
        caller = servers.request(path, **headers)
        servers.run(0.1)
        assert caller.read_answer()[0] == 200


class GrantingOwner:
    """Another instance, which owns a server and grants each permit.

    Parameters
    ----------
    harness : ForwardingHarness
    server_id : str
    """

    def __init__(self, harness, server_id):
        self.harness = harness
        self.permits = harness.gateway._permits
        self.permits._membership = self
        directory, now = harness.state.backends, harness.reactor.seconds()
        backend = directory.find(server_id)
        directory.limits.record_limits(backend, ServerLimits(refusals_per_s=3), now)
        for own_name in ("n0", "n1"):
            if backend.limiter.refusals.is_owner:
                directory.limits.set_instances(own_name, ["n0", "n1"], now)
        assert not backend.limiter.refusals.is_owner

    def send(self, instance, kind, payload):
        action, process_id, request_ids = payload
        if action == "a":
            frame = Frame(kind, instance, 1, ["g", process_id, request_ids])
            self.harness.reactor.callLater(0.01, self.permits._receive, frame)


def test_brittle_server_of_another_owner_is_asked_whether_it_goes_on():
    # Guards against a server that gets nothing for good: neither a request as it is
    # unresponsive, nor a question for lack of a permit.
    harness = ForwardingHarness(plain=1)
    servers = StandingServers(harness, ["p-0"])
    GrantingOwner(harness, "p-0")
    servers.run(1.0, "/once/x")
    assert servers.unread
    servers.run(2.0)
    servers.resume()
    servers.run(5.0)
    assert not harness.state.backends.list_unresponsive(harness.reactor.seconds())


def test_process_that_another_one_replaces_is_no_longer_asked():
    harness = ForwardingHarness(plain=1)
    servers = StandingServers(harness, ["p-0"])
    servers.run(1.0, "/once/x")
    with capture_logs() as lines:
        harness.state.put_backend(make_entry("p-0", started_ms=2))
        servers.run(0.5)
    assert "backend_left_unresponsive" in [each["event"] for each in lines]
    assert ("p-0", 1) not in harness.gateway._silence_monitor._episodes


def test_server_that_is_gone_silent_is_asked_seldom():
    harness = ForwardingHarness(plain=1)
    servers = StandingServers(harness, ["p-0"])
    servers.run(8.0, "/once/x")
    assert 1 <= len(harness.inspector.checked) <= 4


def test_sound_server_that_is_slow_is_not_refused_requests():
    # Long prefills and full servers are silent for longer than the target.
    for answer_s in (0.3, 0.5):
        harness = ForwardingHarness(plain=1)
        servers = StandingServers(harness, [], answer_s=answer_s)
        servers.run(4.0, "/once/x")
        assert set(servers.list_statuses()) == {200}


def test_engine_that_is_slow_is_asked_seldom_and_keeps_its_streams():
    harness = ForwardingHarness(engines=1)
    servers = StandingServers(harness, ["e-0"])
    harness.inspector.still.clear()
    servers.request("/fixed/x", X_Deadline_Ms="20000", **SIZE_HEADERS)
    servers.run(2.0)
    servers.request("/fixed/y", X_Deadline_Ms="20000", **SIZE_HEADERS)
    servers.run(4.0)
    assert len(harness.inspector.inspected) <= 3
    assert {path for _, path in servers.unread} == {"/fixed/x", "/fixed/y"}


def test_accepted_connection_is_no_sign_of_life():
    harness = ForwardingHarness(plain=1)
    servers = StandingServers(harness, ["p-0"])
    servers.run(1.0, "/once/x")
    harness.gateway.pool.probe_address(
        harness.find_address("p-0"), on_result=lambda _: None, timeout_s=0.1
    )
    servers.run(0.1)
    assert harness.state.backends.list_unresponsive(harness.reactor.seconds())


def test_lost_responses_of_sound_servers_hold_requests_up_only_shortly():
    # Open connections may fall silent for good while new ones work.
    routes = [
        make_route(
            "once",
            RequestKind.NON_IDEMPOTENT,
            timeout_s=1.5,
            shares=(ServiceShare("plain", 1.0),),
        )
    ]
    harness = ForwardingHarness(make_configuration(routes=routes))
    servers = StandingServers(harness, ["p-0", "p-1", "p-2"])
    servers.run(0.4, "/once/x")
    servers.resume()
    servers.run(0.6, "/once/x")
    caller = servers.request("/once/x")
    servers.run(0.1)
    assert caller.read_answer()[0] == 200
