from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendState
from ebonyhaven_node.forwarding.interfaces import InspectedServer

from tests.forwarding.harness import (
    ForwardingHarness,
    answer,
    decode_headers,
    make_entry,
)

TOKEN_COUNT_HEADER = {"X_Token_Count": "8000,700"}


def answer_from_other_process(harness, other="e-9"):
    """Respond to a stream request with the id of another process.

    Returns the connection of the server and the id that the request expected.
    """
    caller = harness.open_caller()
    caller.request("/stream/x", **TOKEN_COUNT_HEADER)
    server, head, _ = harness.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None, X_Instance_Id=other))
    harness.advance(0.01)
    return server, decode_headers(head)["x-expect-instance"]


def test_restarted_engine_is_adopted_while_the_list_cannot_be_read():
    harness = ForwardingHarness(engines=1)
    harness.inspector.result = InspectedServer(is_engine=True, started_ms=5)
    harness.source.unresponsive = True
    server, expected_id = answer_from_other_process(harness)
    adopted = harness.state.backends.find("e-9")
    assert adopted.entry.address == server.address
    assert adopted.entry.started_ms == 5
    assert not harness.state.backends.find(expected_id).is_usable(
        harness.reactor.seconds()
    )
    _, head, _ = harness.take_request()
    assert decode_headers(head)["x-expect-instance"] == "e-9"


def test_adopted_engine_has_the_software_version_of_its_predecessor():
    # Guards against streams that could not go on at engines that restarted during an
    # outage of the store, as their version was unknown.
    for state, version in ((BackendState.READY, "v1"), (BackendState.LEAVING, None)):
        harness = ForwardingHarness(engines=1)
        harness.source.unresponsive = True
        caller = harness.open_caller()
        caller.request("/stream/x", **TOKEN_COUNT_HEADER)
        server, _, _ = harness.take_request()
        known = harness.state.backends.find("e-0").entry
        harness.state.put_backend(known._replace(state=state))
        refusal = answer("r1", b"", 421, X_Server_Stamp=None, X_Instance_Id="e-9")
        server.receive(refusal)
        harness.advance(0.01)
        assert harness.state.backends.find("e-9").software_version == version


def test_nothing_is_adopted_while_the_list_can_be_read():
    harness = ForwardingHarness(engines=1)
    answer_from_other_process(harness)
    assert harness.state.backends.find("e-9") is None
    assert harness.inspector.inspected == []


def test_engine_that_leaves_is_not_adopted():
    harness = ForwardingHarness(engines=1)
    harness.source.unresponsive = True
    harness.inspector.result = InspectedServer(True, 5, is_leaving=True)
    answer_from_other_process(harness)
    assert harness.state.backends.find("e-9") is None
    assert harness.count_waiting() == 0


def test_process_other_than_an_engine_is_not_adopted():
    harness = ForwardingHarness(engines=1)
    harness.source.unresponsive = True
    harness.inspector.result = InspectedServer(is_engine=False, started_ms=0)
    answer_from_other_process(harness)
    assert harness.state.backends.find("e-9") is None


def test_servers_of_plain_services_are_not_adopted():
    harness = ForwardingHarness(plain=1)
    harness.source.unresponsive = True
    caller = harness.open_caller()
    caller.request("/once/x")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None, X_Instance_Id="p-9"))
    harness.advance(0.01)
    assert harness.state.backends.find("p-9") is None


def test_adopted_engine_is_removed_unless_the_list_confirms_it():
    for is_confirmed in (True, False):
        harness = ForwardingHarness(engines=1)
        harness.source.unresponsive = True
        server, _ = answer_from_other_process(harness)
        adopter = harness.gateway._adopter
        adopter.remove_unconfirmed()
        harness.source.unresponsive = False
        harness.state.replace_backends({})  # not yet listed again
        assert harness.state.backends.find("e-9") is not None
        if is_confirmed:
            entry = make_entry("e-9", "engines", started_ms=5, address=server.address)
            harness.state.put_backend(entry)
        harness.advance(3.0)
        adopter.remove_unconfirmed()
        assert (harness.state.backends.find("e-9") is not None) is is_confirmed


def kill_server(harness):
    """Reset the connection of the server that has the request and refuse new ones."""
    server, _, _ = harness.take_request()
    harness.refused.add(server.address)
    server.reset()
    harness.advance(0.8)


def test_content_that_crashes_servers_repeatedly_is_rejected_for_all_callers():
    harness = ForwardingHarness(engines=9)
    caller = harness.open_caller()
    caller.request("/stream/x", **TOKEN_COUNT_HEADER)
    for _ in range(3):
        kill_server(harness)
    if harness.count_waiting():  # sent before the last death was confirmed
        kill_server(harness)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[0] == 502
    again = harness.open_caller()
    again.request("/stream/x", request_id="r2", **TOKEN_COUNT_HEADER)
    assert harness.count_waiting() == 0
    assert again.read_answer()[0] == 503
    other = harness.open_caller()
    other.request("/stream/x", request_id="r3", body=b"another", **TOKEN_COUNT_HEADER)
    assert harness.count_waiting() == 1


def test_loss_of_a_data_centre_is_no_crash_evidence_against_a_frequent_content():
    # Guards against counting the loss of one data centre as several crashes by the
    # same content, after which further requests with that content are rejected.
    harness = ForwardingHarness(engines=9)
    for number in range(9):
        harness.open_caller().request(
            "/stream/x", request_id=f"r{number}", **TOKEN_COUNT_HEADER
        )
    harness.open_caller().request("/once/y", request_id="other", body=b"other")
    lost = {harness.find_address(name) for name in ("e-0", "e-3", "e-6")}
    lost |= {each.address for each in harness.connections if ":8" in each.address}
    harness.refused |= lost
    for server in [each for each in harness.connections if each.address in lost]:
        server.reset()
    harness.advance(0.8)
    assert len(lost & {each.address for each in harness.connections}) == 4
    sent_count = harness.count_waiting()
    again = harness.open_caller()
    again.request("/stream/x", request_id="r9", **TOKEN_COUNT_HEADER)
    assert harness.count_waiting() == sent_count + 1


def test_connection_reset_by_a_live_server_is_no_crash_evidence():
    harness = ForwardingHarness(engines=6)
    for number in range(4):
        caller = harness.open_caller()
        caller.request("/stream/x", request_id=f"r{number}", **TOKEN_COUNT_HEADER)
        server, _, _ = harness.take_request()
        server.reset()
        harness.advance(1.0)
        for each in harness.connections:
            if each.has_request():
                each.read_request()
        caller.disconnect()
    assert len(harness.gateway._crash_history) == 0
