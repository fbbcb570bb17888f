"""An instance that reaches no server leaves its requests to other instances."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState, CrashHistory
from ebonyhaven_node import FrameKind
from ebonyhaven_node._link_monitor import LinkMonitor
from prometheus_client import CollectorRegistry
from structlog.testing import capture_logs

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.peers import make_record

PEER = make_record("n2")._replace(caller_address="10.1.0.2:80")
OTHER = make_record("n3")._replace(caller_address="10.1.0.3:80")
DETECTION_S = 1.5
SERVER_PAUSE_S = 3.0
LINK_BYTES_PER_S = 1_250_000


class CutOffHarness(ForwardingHarness):
    """An instance whose servers answer no connection, and instances that reach them."""

    def __init__(self, peers=(PEER,), *, are_refused=True):
        super().__init__()
        self.gateway._context.relay_peers._list_peers = lambda: list(peers)
        servers = {each.entry.address for each in self.state.backends}
        (self.refused if are_refused else self.silent).update(servers)

    @property
    def is_contact_lost(self):
        return self.gateway._contact.is_lost

    def lose_contact(self):
        """Have a request find that no server is reached; answer it at the peer."""
        self.open_caller().request("/repeat/first", request_id="first")
        self.advance(DETECTION_S)
        assert self.is_contact_lost
        for connection in self.connections:
            if connection.has_request():
                connection.read_request()
                connection.receive(answer("first"))
        self.advance(0.0)

    def heal(self):
        self.refused.clear()
        self.silent.clear()
        self.advance(1.0)


def test_request_is_relayed_while_no_server_is_reached():
    for are_refused in (True, False):
        for path in ("/once/x", "/repeat/x"):
            harness = CutOffHarness(are_refused=are_refused)
            harness.lose_contact()
            caller = harness.open_caller()
            caller.request(path, request_id="r2", X_Deadline_Ms="1500")
            harness.advance(0.01)
            peer, head, body = harness.take_request()
            headers = decode_headers(head)
            assert peer.address == PEER.caller_address
            assert (head.target, body) == (path.encode(), b"{}")
            assert headers["authorization"] == "Bearer secret-key"
            assert headers["x-attempt-id"] == "r2"
            assert 0 < int(headers["x-deadline-ms"]) <= 800  # the route's time
            assert headers["ebonyhaven-relayed-by"] == "n1;configuration=1;runs=0"
            peer.receive(answer("r2", b"whole"))
            harness.advance(0.0)
            status, headers, body, is_whole = caller.read_answer()
            assert (status, body, is_whole) == (200, b"whole", True)
            assert headers["x-server-stamp"] == "stamp-1"


def test_first_request_that_finds_no_server_is_relayed_in_time():
    for are_refused in (True, False):
        harness = CutOffHarness(are_refused=are_refused)
        caller = harness.open_caller()
        caller.request("/once/x", request_id="r1")
        harness.advance(0.65)
        peer, _, _ = harness.take_request()
        peer.receive(answer("r1"))
        harness.advance(0.0)
        assert caller.read_answer()[0] == 200


def test_stream_is_relayed_as_it_arrives():
    harness = CutOffHarness()
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    peer, _, _ = harness.take_request()
    peer.receive(stream_head("s1") + chunk(event(1)))
    harness.advance(0.0)
    status, _, body, is_whole = caller.read_answer()
    assert (status, body, is_whole) == (200, event(1), False)
    peer.receive(chunk(event(2)) + STREAM_END)
    harness.advance(0.0)
    assert caller.read_answer()[2:] == (event(1) + event(2), True)


def test_stream_that_breaks_off_at_the_other_instance_does_not_look_complete():
    harness = CutOffHarness()
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    peer, _, _ = harness.take_request()
    peer.receive(stream_head("s1") + chunk(event(1)))
    peer.close()
    harness.advance(0.0)
    assert caller.transport.aborted


def test_relayed_request_is_not_relayed_again():
    harness = CutOffHarness()
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r2", Ebonyhaven_Relayed_By="n4")
    harness.advance(0.8)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 503


def test_request_that_may_have_run_at_the_other_instance_is_not_repeated():
    harness = CutOffHarness(peers=(PEER, OTHER))
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r2")
    harness.advance(0.01)
    peer, _, _ = harness.take_request()
    peer.reset()
    harness.advance(0.1)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 502


def test_refused_request_is_tried_at_one_more_instance():
    harness = CutOffHarness(peers=(PEER, OTHER))
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r2")
    for _ in range(2):
        harness.advance(0.01)
        peer, _, _ = harness.take_request()
        peer.receive(answer("r2", b"", 503, X_Server_Stamp=None, Retry_After="0.50"))
    harness.advance(0.01)
    status, headers, _, _ = caller.read_answer()
    assert (status, headers["retry-after"]) == (503, "0.50")


def test_request_is_cancelled_at_the_other_instance_if_its_caller_leaves():
    harness = CutOffHarness()
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    peer, _, _ = harness.take_request()
    caller.disconnect()
    assert peer.transport.aborted


def test_other_instances_get_a_bounded_number_of_requests():
    harness = CutOffHarness()
    harness.lose_contact()
    for number in range(50):
        caller = harness.open_caller()
        caller.request("/stream/x", request_id=f"s{number}", X_Token_Count="10,10")
    harness.advance(0.1)
    assert harness.count_waiting() == 32


def test_servers_are_used_again_after_a_cut():
    harness = CutOffHarness()
    harness.lose_contact()
    harness.heal()
    assert not harness.is_contact_lost
    caller = harness.open_caller()
    caller.request("/once/x", request_id="r2")
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    assert server.address != PEER.caller_address


def test_servers_wait_for_no_other_instance_if_none_reaches_servers():
    harness = CutOffHarness(peers=())
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(2.0)
    harness.heal()
    harness.advance(0.5)
    assert harness.count_waiting() == 1  # not refused: servers may come back in time


def test_delivered_stream_ends_soon_so_that_its_caller_goes_on_elsewhere():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    server.receive(stream_head("s1") + chunk(event(1)))
    harness.advance(0.0)
    harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
    harness.refused.update(each.entry.address for each in harness.state.backends)
    server.reset()
    harness.advance(1.0)
    assert caller.transport.aborted


def test_begun_streams_are_not_cut_while_servers_of_other_data_centres_accept():
    # Guards against a silent server that makes an instance take itself for cut off.
    for seed in range(8):  # draws the servers that are asked whether they accept
        harness = ForwardingHarness(engines=9)
        harness.gateway._rng.seed(seed)
        harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
        reported = []
        harness.gateway._peer_reports.connect(_RecordingGroup(reported))
        callers = [harness.open_caller() for _ in range(2)]
        servers = [
            begin_stream(harness, caller, f"s{number}")
            for number, caller in enumerate(callers)
        ]
        harness.silent.update(
            each.entry.address
            for each in harness.state.backends
            if each.entry.data_centre == "dc-b"
        )
        for server in servers:
            harness.silent.add(server.address)
            server.reset()
            harness.advance(0.55)
        harness.advance(1.0)
        assert not [each for each in callers if each.transport.aborted], seed
        assert harness.count_waiting() == len(callers)  # they go on elsewhere
        assert "contact lost" not in reported, seed


def test_cut_that_begins_while_servers_are_asked_is_found_at_once():
    # Guards against servers reported as lost by an instance that is cut off itself.
    for seed in range(3):
        harness = ForwardingHarness(engines=9)
        harness.gateway._rng.seed(seed)
        reported = []
        harness.gateway._peer_reports.connect(_RecordingGroup(reported))
        silent = {
            each.entry.address
            for each in harness.state.backends
            if each.entry.data_centre == "dc-b"
        }
        harness.silent.update(silent)
        harness.gateway.pool.probe_address(
            min(silent), on_result=lambda _: None, timeout_s=0.1
        )
        harness.advance(0.2)  # a silent server keeps the check under way
        harness.silent.clear()
        harness.refused.update(each.entry.address for each in harness.state.backends)
        for number in range(6):
            harness.open_caller().request("/repeat/x", request_id=f"r{number}")
        harness.advance(0.4)
        assert harness.gateway._contact.is_lost, seed
        assert reported == ["contact lost"], seed


def begin_stream_before_cut(harness, caller):
    """Return the server of a stream, which has sent 19 events, all but its end.

    No server accepts connections any more; the open one has worked all the time.
    """
    harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
    server = begin_stream(harness, caller, "s1")
    harness.silent.update(each.entry.address for each in harness.state.backends)
    harness.open_caller().request("/repeat/first", request_id="first")
    for number in range(2, 20):
        harness.advance(0.1)
        server.receive(chunk(event(number)))
    assert harness.gateway._contact.is_confirmed_lost
    return server


def test_begun_stream_whose_server_falls_silent_after_a_cut_is_given_up():
    # Guards against callers that wait for a stream that others would go on with.
    harness = ForwardingHarness()
    caller = harness.open_caller()
    begin_stream_before_cut(harness, caller)
    harness.advance(1.5)
    assert not caller.transport.aborted
    harness.advance(2.5)
    assert caller.transport.aborted


def test_begun_stream_whose_server_pauses_after_a_cut_goes_on():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    server = begin_stream_before_cut(harness, caller)
    for number in range(20, 23):
        harness.advance(1.6)
        assert harness.gateway._contact.is_confirmed_lost
        server.receive(chunk(event(number)))
    server.receive(STREAM_END)
    harness.advance(0.0)
    assert caller.read_answer()[3]


def test_begun_stream_goes_on_if_servers_are_reached_again_soon():
    # Guards against streams cut by an instance whose own link is busy for a moment.
    harness = ForwardingHarness()
    harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
    caller = harness.open_caller()
    server = begin_stream(harness, caller, "s1")
    harness.silent.update(each.entry.address for each in harness.state.backends)
    server.reset()
    while not harness.gateway._contact.is_lost:
        harness.advance(0.01)
    harness.advance(0.4)
    harness.silent.clear()
    harness.advance(0.6)
    other, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "1"
    other.receive(stream_head("s1") + chunk(event(2)) + STREAM_END)
    harness.advance(0.0)
    assert caller.read_answer()[2:] == (event(1) + event(2), True)


def fill_link(harness, seconds):
    """Have the instance send messages that take its link some time."""
    link = LinkMonitor(
        bytes_per_s=LINK_BYTES_PER_S,
        registry=CollectorRegistry(),
        clock=harness.reactor.seconds,
    )
    link.record_sent(FrameKind.STATE, round(seconds * LINK_BYTES_PER_S))
    harness.gateway._contact._measure_link_wait_s = link.measure_wait_s


def test_servers_are_not_taken_for_lost_while_messages_fill_the_link():
    # Guards against a verdict about servers that tells of the own link.
    harness = ForwardingHarness()
    addresses = {each.entry.address for each in harness.state.backends}
    fill_link(harness, 0.6)
    harness.silent.update(addresses)
    harness.open_caller().request("/repeat/first", request_id="first")
    with capture_logs() as logs:
        harness.advance(0.65)
        harness.silent.clear()
        harness.advance(0.5)
    events = [line["event"] for line in logs]
    assert "attempt_failed" in events
    assert "server_contact_lost" not in events
    assert not harness.gateway._contact._is_checking()


def test_cut_is_found_while_messages_fill_the_link():
    harness = ForwardingHarness()
    fill_link(harness, 60.0)
    harness.silent.update(each.entry.address for each in harness.state.backends)
    harness.open_caller().request("/repeat/first", request_id="first")
    harness.advance(DETECTION_S)
    assert harness.gateway._contact.is_lost


def test_instance_whose_servers_all_leave_goes_on():
    # Guards against a check that asks nobody, and is repeated without a pause.
    harness = ForwardingHarness()
    addresses = [each.entry.address for each in harness.state.backends]
    entries = {
        each.server_id: each.entry._replace(state=BackendState.LEAVING)
        for each in harness.state.backends
    }
    harness.state.replace_backends(entries)
    harness.gateway.pool.probe_address(
        addresses[0], on_result=lambda _: None, timeout_s=0.1
    )
    harness.advance(0.01)
    harness.refused.update(addresses)
    for address in addresses:
        harness.gateway.pool.probe_address(
            address, on_result=lambda _: None, timeout_s=0.1
        )
    harness.advance(0.0)
    harness.gateway._contact._begin_check(None)
    harness.advance(1.0)
    assert harness.gateway._contact.is_lost


def begin_stream(harness, caller, request_id):
    """Send a request for a stream; return its server, which has sent one event."""
    caller.request("/stream/x", request_id=request_id, X_Token_Count="10,10")
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    server.receive(stream_head(request_id) + chunk(event(1)))
    harness.advance(0.0)
    return server


def test_losses_found_while_no_server_is_reached_are_no_evidence():
    # Guards against contents blamed for a cut, and other instances that suspect
    # servers which they reach.
    harness = CutOffHarness(peers=())
    reported = []
    harness.gateway._peer_reports.connect(_RecordingGroup(reported))
    harness.open_caller().request("/repeat/x", request_id="r1")
    harness.advance(DETECTION_S)
    assert harness.is_contact_lost
    assert reported == ["contact lost"]
    history: CrashHistory = harness.gateway._crash_history
    now = harness.reactor.seconds()
    assert not history.export(now, None)


def test_loss_of_one_server_is_told_while_others_are_reached():
    harness = ForwardingHarness()
    reported = []
    harness.gateway._peer_reports.connect(_RecordingGroup(reported))
    harness.refused.add(harness.find_address("p-0"))
    for number in range(6):
        harness.open_caller().request("/repeat/x", request_id=f"r{number}")
    harness.advance(0.3)
    assert "p-0" in reported
    assert "contact lost" not in reported


class _RecordingGroup:
    """Stands in for what an instance shares with others."""

    def __init__(self, reported):
        self._reported = reported

    def report_contact(self, *, is_lost):
        self._reported.append("contact lost" if is_lost else "contact regained")

    def report_lost_server(self, backend):
        self._reported.append(backend.server_id)

    def report_ended_process(self, process):
        self._reported.append(process)

    def schedule_use_report(self):
        pass

    def is_chosen(self, key):
        return True

    def list_reaching(self):
        return []


def test_request_that_may_have_run_at_one_instance_is_not_refused_by_another():
    # Guards against a refusal that says that a request was not run, and was.
    harness = CutOffHarness(peers=(PEER, OTHER))
    harness.lose_contact()
    caller = harness.open_caller()
    caller.request("/repeat/x", request_id="r2")
    harness.advance(0.01)
    peer, _, _ = harness.take_request()
    peer.reset()
    harness.advance(0.01)
    other, _, _ = harness.take_request()
    other.receive(answer("r2", b"", 503, X_Server_Stamp=None, Retry_After="0.50"))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


def test_stream_that_a_server_may_have_begun_is_not_refused_by_another_instance():
    harness = ForwardingHarness()
    harness.gateway._context.relay_peers._list_peers = lambda: [PEER]
    caller = harness.open_caller()
    caller.request("/stream/x", request_id="s1", X_Token_Count="10,10")
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    harness.refused.update(each.entry.address for each in harness.state.backends)
    server.reset()
    harness.advance(0.5)
    peer, _, _ = harness.take_request()
    assert peer.address == PEER.caller_address
    peer.receive(answer("s1", b"", 503, X_Server_Stamp=None, Retry_After="0.50"))
    harness.advance(0.01)
    assert caller.read_answer()[0] == 502


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
    harness.advance(SERVER_PAUSE_S)
    assert not caller.transport.aborted
    server.receive(chunk(event(20)) + STREAM_END)
    harness.advance(0.0)
    assert caller.read_answer()[3]
