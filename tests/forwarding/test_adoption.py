from __future__ import annotations

from ebonyhaven_node.forwarding.interfaces import InspectedServer

from tests.forwarding.harness import World, answer, headers_of, make_entry

SIZE = {"X_Token_Count": "8000,700"}


def meet_other_process(world, other="e-9"):
    """Let an engine answer that another process has its address."""
    caller = world.open_caller()
    caller.request("/stream/x", **SIZE)
    server, head, _ = world.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None, X_Instance_Id=other))
    world.advance(0.01)
    return server, headers_of(head)["x-expect-instance"]


def test_restarted_engine_is_used_while_the_list_cannot_be_read():
    world = World(engines=1)
    world.source.behind = True
    server, old = meet_other_process(world)
    adopted = world.state.backends.find("e-9")
    assert adopted.entry.address == server.address
    assert adopted.entry.started_ms == 5
    assert not world.state.backends.find(old).is_usable(world.reactor.seconds())
    _, head, _ = world.take_request()
    assert headers_of(head)["x-expect-instance"] == "e-9"


def test_nothing_is_adopted_while_the_list_is_read():
    world = World(engines=1)
    meet_other_process(world)
    assert world.state.backends.find("e-9") is None
    assert world.inspector.asked == []


def test_process_that_is_no_engine_is_not_adopted():
    world = World(engines=1)
    world.source.behind = True
    world.inspector.answer = InspectedServer(is_engine=False, started_ms=0)
    meet_other_process(world)
    assert world.state.backends.find("e-9") is None


def test_short_services_are_never_adopted():
    world = World(plain=1)
    world.source.behind = True
    caller = world.open_caller()
    caller.request("/once/x")
    server, _, _ = world.take_request()
    server.receive(answer("r1", b"", 421, X_Server_Stamp=None, X_Instance_Id="p-9"))
    world.advance(0.01)
    assert world.state.backends.find("p-9") is None


def test_adopted_engine_stays_when_the_list_confirms_it_and_goes_otherwise():
    for is_confirmed in (True, False):
        world = World(engines=1)
        world.source.behind = True
        server, _ = meet_other_process(world)
        adoption = world.gateway._adoption
        adoption.review()
        world.source.behind = False
        world.state.replace_backends({})  # the list as it was before
        assert world.state.backends.find("e-9") is not None
        if is_confirmed:
            entry = make_entry("e-9", "engines", started_ms=5, address=server.address)
            world.state.put_backend(entry)
        world.advance(3.0)
        adoption.review()
        assert (world.state.backends.find("e-9") is not None) is is_confirmed


def kill_server(world):
    """Let the server that has the request die for some seconds."""
    server, _, _ = world.take_request()
    world.refused.add(server.address)
    server.reset()
    world.advance(0.8)


def test_content_that_kills_one_server_after_the_other_is_stopped_for_all_callers():
    world = World(engines=9)
    caller = world.open_caller()
    caller.request("/stream/x", **SIZE)
    for _ in range(3):
        kill_server(world)
    if world.count_waiting():  # sent before the last death was confirmed
        kill_server(world)
    assert world.count_waiting() == 0
    assert caller.read_answer()[0] == 502
    again = world.open_caller()
    again.request("/stream/x", request_id="r2", **SIZE)
    assert world.count_waiting() == 0
    assert again.read_answer()[0] == 503
    other = world.open_caller()
    other.request("/stream/x", request_id="r3", body=b"another", **SIZE)
    assert world.count_waiting() == 1


def test_loss_of_a_data_centre_is_no_evidence_against_a_popular_content():
    # Callers that ask the same were once refused after one loss of a data centre.
    world = World(engines=9)
    for number in range(9):
        world.open_caller().request("/stream/x", request_id=f"r{number}", **SIZE)
    lost = {world.find_address(name) for name in ("e-0", "e-3", "e-6")}
    world.refused |= lost
    for server in [each for each in world.connections if each.address in lost]:
        server.reset()
    world.advance(0.8)
    assert len(lost & {each.address for each in world.connections}) >= 2
    assert not world.gateway._crashes._ledger.read_evidence()


def test_reset_by_a_server_that_lives_is_no_evidence():
    world = World(engines=6)
    for number in range(4):
        caller = world.open_caller()
        caller.request("/stream/x", request_id=f"r{number}", **SIZE)
        server, _, _ = world.take_request()
        server.reset()
        world.advance(1.0)
        for each in world.connections:
            if each.has_request():
                each.read_request()
        caller.leave()
    assert not world.gateway._crashes._ledger.read_evidence()
