"""Streams of a service whose servers run several software versions."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import BackendEntry, BackendState, Workspace
from ebonyhaven_decisions.forwarding._stream_retention import MIN_RETENTION_S
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S

from tests.forwarding.harness import (
    STREAM_END,
    ForwardingHarness,
    chunk,
    decode_headers,
    event,
    make_configuration,
    make_entry,
    refusal,
    stream_head,
)
from tests.forwarding.losses import FakeNetwork
from tests.forwarding.streaming import SIZE_HEADERS, open_stream, start_stream

STREAM_COUNT = 8
RETRY_COUNT = 12
VERSIONS = ("v1", "v2")
RESTARTED_MS = 999_999


def find_version(harness, address) -> str:
    """Return the software version of the engine at an address."""
    entries = [each.entry for each in harness.state.backends]
    return next(each.software_version for each in entries if each.address == address)


def suspect_server(harness, address) -> None:
    """Report the engine at an address as unreachable."""
    backends = harness.state.backends
    backend = next(each for each in backends if each.entry.address == address)
    backends.record_unreachable(backend, harness.reactor.seconds())


def list_entries(harness, version) -> list[BackendEntry]:
    return [
        each.entry
        for each in harness.state.backends
        if each.entry.service == "engines" and each.software_version == version
    ]


def withdraw_version(harness, version) -> None:
    """Let all engines of a version announce that they leave, and remove them."""
    for entry in list_entries(harness, version):
        harness.state.put_backend(entry._replace(state=BackendState.LEAVING))
        harness.state.remove_backend(entry.server_id)


def retry_stream(harness, position="2", original="r1", **options):
    """Retry a stream from a position with a new request id."""
    caller = harness.open_caller()
    headers = {**SIZE_HEADERS, "Last_Event_Id": position, "Resumes": original}
    caller.request("/stream/x", "r2", **{**headers, **options})
    harness.advance(0.01)
    return caller


def start_mixed_stream():
    """Start a stream of two events, and return also its server and its version."""
    harness, caller = start_stream(engines=6, versions=VERSIONS)
    server, sent = open_stream(harness, 1, 2)
    return harness, caller, server, sent, find_version(harness, server.address)


def test_streams_have_their_copies_at_their_own_software_version():
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    for number in range(STREAM_COUNT):
        prompt = f"aa:200,{number:02x}:7800"
        caller = harness.open_caller()
        headers = {**SIZE_HEADERS, "X_Prompt_Prefix": prompt}
        caller.request("/stream/x", f"r{number}", **headers)
        server, head, _ = harness.take_request()
        holder = decode_headers(head)["x-kv-backup"]
        version = find_version(harness, server.address)
        assert find_version(harness, holder) == version


def test_stream_that_lost_its_server_goes_on_at_the_version_that_began_it():
    # Guards against streams that held events of two software versions.
    harness, caller, server, sent, version = start_mixed_stream()
    server.reset()
    harness.advance(0.01)
    holder, _, _ = harness.take_request()
    assert holder.address == sent["x-kv-backup"]
    holder.receive(refusal("r1"))
    harness.advance(0.01)
    third, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)
    assert find_version(harness, third.address) == version
    third.receive(stream_head("r1") + chunk(event(3)) + STREAM_END)
    assert caller.read_answer()[2:] == (event(1) + event(2) + event(3), True)


def test_stream_whose_software_version_has_left_ends_at_once():
    harness, caller, server, _, version = start_mixed_stream()
    withdraw_version(harness, version)
    server.reset()
    harness.advance(0.01)
    assert harness.count_waiting() == 0
    assert caller.transport.aborted
    assert caller.read_answer()[2:] == (event(1) + event(2), False)


def test_streams_that_callers_retry_go_on_at_the_version_that_began_them():
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    for number in range(STREAM_COUNT):
        first, second = f"first-{number}", f"second-{number}"
        headers = {**SIZE_HEADERS, "X_Prompt_Prefix": f"aa:200,{number:02x}:7800"}
        caller = harness.open_caller()
        caller.request("/stream/x", first, **headers)
        server, _, _ = harness.take_request()
        server.receive(stream_head(first) + chunk(event(1) + event(2)))
        version = find_version(harness, server.address)
        harness.advance(0.0)
        caller.disconnect()
        suspect_server(harness, server.address)
        retry = harness.open_caller()
        headers |= {"Last_Event_Id": "2", "Resumes": first}
        retry.request("/stream/x", second, **headers)
        harness.advance(0.01)
        holder, _, _ = harness.take_request()
        holder.receive(refusal(second))
        harness.advance(0.01)
        successor, _, _ = harness.take_request()
        assert find_version(harness, successor.address) == version
        successor.receive(stream_head(second) + chunk(event(3)) + STREAM_END)
        assert retry.read_answer()[2:] == (event(3), True)
        harness.advance(1.0)  # the suspicions end


def test_retry_of_a_stream_whose_software_version_has_left_is_refused_at_once():
    harness, caller, _, _, version = start_mixed_stream()
    caller.disconnect()
    withdraw_version(harness, version)
    status, headers, _, _ = retry_stream(harness).read_answer()
    assert status == 503
    assert "retry-after" not in headers
    assert harness.count_waiting() == 0


def test_retry_of_a_stream_of_unknown_software_version_is_refused_at_once():
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    retry = retry_stream(harness)
    harness.advance(0.1)
    assert harness.count_waiting() == 0
    assert retry.read_answer()[0] == 503


def make_connected_harness() -> ForwardingHarness:
    """Return an instance that is the recorder of all streams."""
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    FakeNetwork().join(harness.gateway._stream_index, "n1", [])
    return harness


def lose_all_instances():
    """Return the successor of a lost instance, and the version of its open stream."""
    lost, successor = make_connected_harness(), make_connected_harness()
    lost.open_caller().request("/stream/x", **SIZE_HEADERS)
    server, _ = open_stream(lost, 1, 2)
    for number in range(3, 13):
        server.receive(chunk(event(number)))
        lost.advance(WRITE_INTERVAL_S / 9)
    successor.record_store.segments = lost.record_store.segments
    return successor, find_version(lost, server.address)


def test_software_version_of_a_stream_outlives_all_instances():
    successor, version = lose_all_instances()
    retry_stream(successor, "12")
    holder, _, _ = successor.take_request()
    holder.receive(refusal("r2"))
    successor.advance(0.01)
    second, _, _ = successor.take_request()
    assert find_version(successor, second.address) == version


def test_long_stream_of_lost_instances_goes_on_at_its_version():
    # Guards against refusing callers of streams that began more than 15 s before all
    # instances were lost, while streams may last for 25 s.
    lost, successor = make_connected_harness(), make_connected_harness()
    lost.open_caller().request("/stream/x", **SIZE_HEADERS)
    server, _ = open_stream(lost, 1, 2)
    for number in range(3, 61):  # 18 s
        server.receive(chunk(event(number)))
        lost.advance(0.31)
    headers = {**SIZE_HEADERS, "X_Prompt_Prefix": "aa:200,cc:7800"}
    lost.open_caller().request("/stream/x", "r3", **headers)
    other, _, _ = lost.take_request()
    other.receive(stream_head("r3") + chunk(event(1)))
    server.receive(chunk(event(61)))
    lost.advance(0.5)
    server.receive(chunk(event(62)))
    lost.advance(0.6)
    successor.record_store.segments = lost.record_store.segments
    retry_stream(successor, "62")
    holder, _, _ = successor.take_request()
    version = find_version(lost, server.address)
    assert find_version(successor, holder.address) == version


def test_stream_is_taken_up_with_another_key_of_its_workspace():
    # Guards against refusing callers whose key was revoked while their stream ran.
    harness, caller, server, _, version = start_mixed_stream()
    caller.disconnect()
    configuration = make_configuration(version=2)
    workspaces = {"other-key": Workspace("studio-a", None)}
    harness.state.apply_configuration(configuration._replace(workspaces=workspaces))
    retry_stream(harness, Authorization="Bearer other-key")
    holder, _, _ = harness.take_request()
    assert find_version(harness, holder.address) == version


def test_stream_is_not_taken_up_with_a_key_of_another_workspace():
    harness, caller, *_ = start_mixed_stream()
    caller.disconnect()
    configuration = make_configuration(version=2)
    workspaces = {"other-key": Workspace("studio-b", None)}
    harness.state.apply_configuration(configuration._replace(workspaces=workspaces))
    retry = retry_stream(harness, Authorization="Bearer other-key")
    assert harness.count_waiting() == 0
    assert retry.read_answer()[0] == 503


def test_successor_keeps_the_streams_that_were_recorded_before_its_start():
    # A caller of a machine that lost its power comes back after many seconds. The
    # successor has written records of its own by then.
    successor, version = lose_all_instances()
    headers = {**SIZE_HEADERS, "X_Prompt_Prefix": "aa:200,cc:7800"}
    successor.open_caller().request("/stream/x", "r3", **headers)
    server, _, _ = successor.take_request()
    server.receive(stream_head("r3") + chunk(event(1)))
    successor.advance(8.0)
    assert successor.record_store.writes
    kept = successor.record_store.segments.values()
    requests = {each.request_id for records in kept for each in records.values()}
    assert requests == {"r1", "r3"}
    retry_stream(successor, "12")
    waiting = [each for each in successor.connections if each.has_request()]
    requests = [each.read_request()[0] for each in waiting]
    targets = [
        each.address
        for each, head in zip(waiting, requests, strict=True)
        if decode_headers(head)["x-attempt-id"] == "r2"
    ]
    assert [find_version(successor, each) for each in targets] == [version]


def serve_waiting(harness, number) -> set[str]:
    """Send an event and the end to all waiting streams; return their versions."""
    waiting = [each for each in harness.connections if each.has_request()]
    for server in waiting:
        head, _ = server.read_request()
        request_id = decode_headers(head)["x-attempt-id"]
        server.receive(stream_head(request_id) + chunk(event(number)) + STREAM_END)
    return {find_version(harness, each.address) for each in waiting}


def test_all_streams_of_a_version_go_on_at_the_two_engines_that_it_has_left():
    # Replays the end of a release: the copies are gone with their engines, and all
    # callers come back at once, among twice as many engines of the new version.
    harness = ForwardingHarness(engines=6)
    callers = [harness.open_caller() for _ in range(RETRY_COUNT)]
    for number, caller in enumerate(callers):
        headers = {**SIZE_HEADERS, "X_Prompt_Prefix": f"aa:200,{number:02x}:7800"}
        caller.request("/stream/x", f"first-{number}", **headers)
        server, _, _ = harness.take_request()
        server.receive(stream_head(f"first-{number}") + chunk(event(1)))
        harness.advance(0.0)
    for number in range(6, 10):
        entry = make_entry(f"e-{number}", "engines", software_version="v2")
        harness.state.put_backend(entry)
    for name in ("e-0", "e-1", "e-2", "e-3"):
        entry = harness.state.backends.find(name).entry
        harness.state.put_backend(entry._replace(state=BackendState.LEAVING))
        harness.state.remove_backend(name)
    for caller in callers:
        caller.disconnect()
    retries = [harness.open_caller() for _ in range(RETRY_COUNT)]
    for number, retry in enumerate(retries):
        headers = {**SIZE_HEADERS, "X_Prompt_Prefix": f"aa:200,{number:02x}:7800"}
        headers |= {"Last_Event_Id": "1", "Resumes": f"first-{number}"}
        retry.request("/stream/x", f"second-{number}", **headers)
    for _ in range(RETRY_COUNT):
        harness.advance(0.2)
        assert serve_waiting(harness, 2) <= {"v1"}
    bodies = [retry.read_answer()[2:] for retry in retries]
    assert bodies == [(event(2), True)] * RETRY_COUNT


def test_retry_that_names_another_request_is_of_unknown_software_version():
    harness, caller, _, _, _ = start_mixed_stream()
    caller.disconnect()
    retry = retry_stream(harness, original="another")
    assert harness.count_waiting() == 0
    assert retry.read_answer()[0] == 503


def test_retry_of_an_unknown_stream_goes_on_where_one_version_has_served():
    harness = ForwardingHarness(engines=6)
    retry_stream(harness)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "2"


def test_retry_of_an_unknown_stream_is_refused_soon_after_a_release():
    harness = ForwardingHarness(engines=6, versions=VERSIONS)
    withdraw_version(harness, "v1")
    harness.advance(MIN_RETENTION_S / 2)
    assert retry_stream(harness).read_answer()[0] == 503
    harness.advance(MIN_RETENTION_S)
    retry_stream(harness)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "2"


def test_stream_waits_for_entries_of_its_version_that_expired():
    # Entries that expire while the store is away return within two seconds.
    harness, caller, server, _, version = start_mixed_stream()
    entries = list_entries(harness, version)
    for entry in entries:
        harness.state.remove_backend(entry.server_id)
    server.reset()
    harness.advance(1.5)
    assert harness.count_waiting() == 0
    assert not caller.transport.aborted
    for entry in entries:
        harness.state.put_backend(entry)
    harness.advance(0.2)
    successor, _, _ = harness.take_request()
    assert find_version(harness, successor.address) == version


def test_stream_is_not_begun_at_the_only_engine_of_its_version():
    # Nobody could go on with it after the loss of that engine.
    harness = ForwardingHarness(engines=5, versions=("v1", "v1", "v1", "v1", "v2"))
    for number in range(STREAM_COUNT):
        headers = {**SIZE_HEADERS, "X_Prompt_Prefix": f"aa:200,{number:02x}:7800"}
        harness.open_caller().request("/stream/x", f"r{number}", **headers)
        server, _, _ = harness.take_request()
        assert find_version(harness, server.address) == "v1"


def lose_server(harness, server) -> str:
    """Reset the connection of a stream's server and refuse its copy.

    Returns the version of the server that the stream goes on at.
    """
    suspect_server(harness, server.address)
    server.reset()
    harness.advance(0.01)
    successor, head, _ = harness.take_request()
    if "kv-from" in decode_headers(head):
        successor.receive(refusal("r1"))
        harness.advance(0.01)
        successor, _, _ = harness.take_request()
    return find_version(harness, successor.address)


def test_server_that_starts_again_under_its_id_may_have_another_version():
    # Nothing tells the two processes apart but their versions.
    harness, _, server, sent, version = start_mixed_stream()
    other = next(each for each in VERSIONS if each != version)
    known = harness.state.backends.find(sent["x-expect-instance"]).entry
    harness.state.put_backend(known._replace(software_version=other))
    assert lose_server(harness, server) == version


def test_stream_does_not_go_on_at_an_engine_that_restarted_unnoticed():
    # Guards against streams that held events of two software versions: the list still
    # showed the processes before.
    for kept in range(2):
        harness, _ = start_stream(engines=4)
        server, sent = open_stream(harness, 1, 2)
        server.reset()
        harness.advance(0.01)
        holder, _, _ = harness.take_request()
        others = [
            each.entry.address
            for each in harness.state.backends
            if each.entry.service == "engines"
            and each.entry.address not in (server.address, holder.address)
        ]
        restarted = [holder.address, others[1 - kept]]
        harness.inspector.started_ms = dict.fromkeys(restarted, RESTARTED_MS)
        holder.receive(refusal("r1"))
        harness.advance(0.01)
        third, _, _ = harness.take_request()
        assert third.address == others[kept]
        assert sent["x-kv-backup"] == holder.address


def test_version_that_was_inferred_wrongly_is_corrected_by_the_list():
    harness = ForwardingHarness(engines=4, versions=("v1", "v1", "v2", "v2"))
    known = harness.state.backends.find("e-0").entry
    adopted = known._replace(server_id="e-9", address="10.0.0.9:9009")
    for number in range(4):
        harness.state.put_backend(
            harness.state.backends.find(f"e-{number}").entry._replace(
                state=BackendState.LEAVING
            )
        )
    harness.state.adopt_backend(adopted)
    harness.open_caller().request("/stream/x", **SIZE_HEADERS)
    server, _ = open_stream(harness, 1)
    for number in range(4):
        harness.state.put_backend(
            harness.state.backends.find(f"e-{number}").entry._replace(
                state=BackendState.READY
            )
        )
    harness.state.put_backend(adopted._replace(software_version="v2"))
    assert lose_server(harness, server) == "v2"


def test_stream_of_an_engine_of_unknown_version_has_no_copy_and_does_not_go_on():
    # Such engines are found while the list of servers cannot be read.
    harness, caller = start_stream(engines=3, versions=(None,))
    server, sent = open_stream(harness, 1)
    assert "x-kv-backup" not in sent
    server.reset()
    harness.advance(0.01)
    assert harness.count_waiting() == 0
    assert caller.transport.aborted


def test_begun_stream_is_not_sent_to_an_engine_that_says_that_it_leaves():
    # The engine was asked who it is, and its report says that it leaves.
    harness, _ = start_stream(engines=4)
    server, _ = open_stream(harness, 1, 2)
    server.reset()
    harness.advance(0.01)
    holder, _, _ = harness.take_request()
    inspect = harness.inspector.inspect
    leaving = []

    async def inspect_leaving(address, *, timeout_s=0.5):
        answer = await inspect(address, timeout_s=timeout_s)
        if not leaving:
            leaving.append(address)
        return answer and answer._replace(is_leaving=address in leaving)

    harness.inspector.inspect = inspect_leaving
    holder.receive(refusal("r1"))
    harness.advance(0.01)
    third, _, _ = harness.take_request()
    assert leaving
    assert third.address not in leaving
