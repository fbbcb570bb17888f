"""Tests of what the log and the metrics tell about changes of the server list."""

from __future__ import annotations

import math

from structlog.testing import capture_logs

from tests.platform_adapter.fed_instances import start_fed
from tests.platform_adapter.state_sources import (
    SERVER,
    build_source,
    make_rows,
    send_between_instances,
    start_with_complete_state,
)

LEAVING_SERVER = {**SERVER, "state": "draining"}


def list_origins(lines):
    """Return how the changes in a log came, with event, era and version of each."""
    return [
        (line["event"], line["via"], line["era"], line["list_version"])
        for line in lines
        if line["event"] in ("backend_listed", "backend_unlisted")
    ]


def test_line_of_a_change_tells_that_an_own_read_brought_it():
    with capture_logs() as lines:
        clock, store, _, _ = start_with_complete_state()
        store.push("servers", make_rows(15, s_1=LEAVING_SERVER))
        clock.advance(0.3)
        store.push("servers", make_rows(16, s_1=None))
    assert list_origins(lines) == [
        ("backend_listed", "table", 0, 12),
        ("backend_listed", "poll", 0, 15),
        ("backend_unlisted", "poll", 0, 16),
    ]


def test_line_of_a_change_tells_that_a_reader_sent_it():
    harness = start_fed()
    with capture_logs() as lines:
        harness.change(14, s_1=LEAVING_SERVER)
    assert list_origins(lines) == [
        ("backend_listed", "poll", 0, 14),
        ("backend_listed", "reader", 0, 14),
    ]


def test_line_of_a_change_tells_that_the_state_of_a_peer_contained_it():
    _, _, _, source = start_with_complete_state()
    _, _, _, other = build_source()
    with capture_logs() as lines:
        other.merge(send_between_instances(source.export()))
    assert list_origins(lines) == [("backend_listed", "peer", 0, 12)]


def test_polls_without_a_change_are_not_logged():
    clock, store, _, _ = start_with_complete_state()
    with capture_logs() as lines:
        for version in range(15, 25):
            store.push("servers", make_rows(version, s_1=SERVER))
            clock.advance(0.3)
    assert not lines


def test_messages_that_are_passed_over_are_logged_once_a_second():
    harness = start_fed()
    with capture_logs() as lines:
        for version in range(20, 40):
            harness.other.apply_changes([0, version, version + 1, []])
            harness.other_clock.advance(0.1)
        harness.other.apply_changes([1, 2, 3, []])
    skipped = [line for line in lines if line["event"] == "server_changes_skipped"]
    assert [line["reason"] for line in skipped] == ["gap", "gap", "era"]
    assert skipped[0]["known"] == 13
    assert sum(line["count"] for line in skipped) == 21


def test_age_of_the_list_is_that_of_the_newest_poll_or_message():
    harness = start_fed()
    _, _, _, unstarted = build_source()
    assert unstarted.measure_list_age_s() == math.inf
    harness.other_clock.advance(0.5)
    assert harness.other.measure_list_age_s() == 0.5
    harness.change(14, s_1=LEAVING_SERVER)
    assert harness.other.measure_list_age_s() == 0.35
