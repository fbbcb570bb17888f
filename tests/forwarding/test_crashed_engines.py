"""Engines that crash and come back, perhaps as another software version."""

from __future__ import annotations

from ebonyhaven_node.forwarding._crash_monitor import ENTRY_EXPIRY_S

from tests.forwarding.test_software_versions import (
    VERSIONS,
    find_version,
    list_entries,
    start_mixed_stream,
)


def crash_version(harness, version):
    """Crash the engines of a version; others accept connections at their addresses."""
    entries = list_entries(harness, version)
    addresses = {each.address for each in entries}
    harness.refused |= addresses
    for server in harness.connections:
        if server.address in addresses and not server.is_closed:
            server.reset()
    harness.advance(0.3)
    harness.refused -= addresses
    return entries


def test_stream_does_not_go_on_at_the_successor_of_a_crashed_engine():
    # Guards against events of two versions in a stream: engines crash and are back
    # under their ids as another version, before the list says so.
    harness, caller, _, _, version = start_mixed_stream()
    entries = crash_version(harness, version)
    harness.advance(1.5)
    assert harness.count_waiting() == 0
    other = next(each for each in VERSIONS if each != version)
    for each in entries:
        restarted = each._replace(started_ms=2, software_version=other)
        harness.state.put_backend(restarted)
    harness.advance(1.0)
    assert harness.count_waiting() == 0
    assert not caller.read_answer()[3]


def test_stream_goes_on_at_a_crashed_engine_that_is_back_as_the_same_version():
    harness, _, _, _, version = start_mixed_stream()
    entries = crash_version(harness, version)
    harness.advance(0.6)
    assert harness.count_waiting() == 0
    harness.state.put_backend(entries[0]._replace(started_ms=2))
    harness.advance(0.3)
    server, _, _ = harness.take_request()
    assert server.address == entries[0].address


def test_server_that_was_taken_for_ended_is_used_again_if_it_stays_listed():
    harness, _, _, _, version = start_mixed_stream()
    crash_version(harness, version)
    harness.state.record_list_current(harness.reactor.seconds() + ENTRY_EXPIRY_S)
    harness.advance(0.3)
    server, _, _ = harness.take_request()
    assert find_version(harness, server.address) == version
