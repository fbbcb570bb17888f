"""Reads that show that the list of servers holds all changes up to a moment."""

from __future__ import annotations

import contextlib
import signal

from ebonyhaven_adapter._server_list import CONFIRMATION_READS
from ebonyhaven_adapter._store import RowBatch
from twisted.internet.defer import ensureDeferred

from tests.platform_adapter.program_harness import PlatformHarness
from tests.platform_adapter.stand_ins import make_entry
from tests.platform_adapter.state_sources import (
    SERVER,
    build_source,
    make_rows,
    make_store_error,
    start_with_complete_state,
)
from tests.waiting import wait_until

OTHER = {**SERVER, "address": "10.0.0.2:80", "version": "v2"}


def confirm(source) -> list[bool]:
    """Start a read and return a list that its result is added to."""
    results: list[bool] = []
    ensureDeferred(source.read_server_changes()).addCallback(results.append)
    return results


def test_changes_are_read_beside_the_poll_in_progress():
    clock, store, state, source = start_with_complete_state()
    poll = store.pending_calls.pop("servers")
    results = confirm(source)
    assert store.calls[-1] == ("changes", "servers", 12)
    store.push("servers", make_rows(15, s_2=OTHER))
    assert results == [True]
    assert state.backends.find("s-2").software_version == "v2"
    store.push("servers", make_rows(16, s_2=None))
    poll.callback(make_rows(15, s_2=OTHER))
    clock.advance(1.0)
    assert ("changes", "servers", 15) in store.calls
    assert state.backends.find("s-2") is None


def test_list_is_not_confirmed_if_the_store_does_not_answer():
    _, store, _, source = start_with_complete_state()
    poll = store.pending_calls.pop("servers")
    for _ in range(CONFIRMATION_READS):
        store.push("servers", make_store_error())
    assert confirm(source) == [False]
    assert not poll.called


def test_second_read_confirms_the_list_after_a_silent_connection():
    _, store, _, source = start_with_complete_state()
    store.pending_calls.pop("servers")
    store.push("servers", make_store_error())
    store.push("servers", make_rows(13))
    assert confirm(source) == [True]


def test_list_of_another_era_is_not_confirmed():
    _, store, state, source = start_with_complete_state()
    store.pending_calls.pop("servers")
    for _ in range(CONFIRMATION_READS):
        store.push("servers", make_rows(11, era=1, s_2=OTHER))
    assert confirm(source) == [False]
    assert state.backends.find("s-2") is None


def test_list_that_was_not_read_yet_is_not_confirmed():
    _, _, _, source = build_source()
    assert confirm(source) == [False]


def is_past_known(clock, state) -> bool:
    versions = state.backends.versions
    versions.add_earlier([], clock.seconds())
    return versions.is_past_known(clock.seconds())


def test_removal_of_a_server_that_was_never_seen_leaves_the_past_unknown():
    clock, store, state, _ = start_with_complete_state()
    assert is_past_known(clock, state)
    store.push("servers", make_rows(15, s_1=None))
    assert state.backends.versions.is_past_known(clock.seconds())
    clock.advance(0.3)
    store.push("servers", make_rows(17, s_9=None))
    assert not state.backends.versions.is_past_known(clock.seconds())


def test_second_removal_of_a_server_shows_that_its_return_was_missed():
    clock, store, state, _ = start_with_complete_state()
    assert is_past_known(clock, state)
    store.push("servers", make_rows(15, s_1=None))
    clock.advance(0.3)
    store.push("servers", make_rows(18, s_1=None))
    assert not state.backends.versions.is_past_known(clock.seconds())


def test_removal_that_a_reader_tells_of_a_server_never_seen_is_noticed():
    clock, _, state, source = start_with_complete_state()
    assert is_past_known(clock, state)
    source.apply_changes([0, 12, 14, [[13, "s-1", None]]])
    assert state.backends.versions.is_past_known(clock.seconds())
    source.apply_changes([0, 14, 16, [[15, "s-9", None]]])
    assert not state.backends.versions.is_past_known(clock.seconds())


def test_table_that_is_read_again_leaves_the_past_unknown():
    clock, store, state, _ = start_with_complete_state()
    assert is_past_known(clock, state)
    store.push("servers", make_store_error(status=410))
    store.push("servers", RowBatch(make_rows(30, s_1=SERVER).rows, 30, False))
    assert not state.backends.versions.is_past_known(clock.seconds())


def find_retries(harness) -> list[dict]:
    return [
        headers
        for engine in harness.engines.values()
        for headers in engine.received_headers
        if "last-event-id" in headers
    ]


def test_retry_at_an_instance_that_stood_still_while_a_version_joined():
    # Guards against streams of two versions: the instance's next poll has not returned.
    with contextlib.ExitStack() as stack:
        harness = PlatformHarness(stack)
        harness.configure()
        wait_until(harness.is_ready)
        harness.store.holds_polls = True
        harness.node.process.send_signal(signal.SIGSTOP)
        entry = make_entry("engines", "127.0.0.9:9")
        harness.put("servers", "e-9", {**entry, "version": "v2"})
        harness.node.process.send_signal(signal.SIGCONT)
        headers = {"Last-Event-Id": "2", "X-Token-Count": "10,10", "Resumes": "r0"}
        headers["X-Deadline-Ms"] = "1500"
        response = harness.send("/stream/x", "r1", **headers).getresponse()
        assert find_retries(harness) == []
        assert response.status == 503
