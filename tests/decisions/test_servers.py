from __future__ import annotations

import random

from ebonyhaven_decisions import (
    ServerEntry,
    ServerReport,
    ServerState,
    ServerTable,
    build_load_digest,
    merge_load_digest,
)
from hypothesis import given
from hypothesis import strategies as st

from tests.decisions.scheduling import MODEL, build_entries


def build_state():
    return ServerState(entry=ServerEntry("s000", "127.0.0.1:9000"))


def test_dispatched_request_is_counted_immediately_and_only_once():
    state = build_state()
    state.record_report(ServerReport(3, 0, 1.0), 60.0)
    state.record_dispatch(10, 2.0)
    assert state.estimate_load(2.0) > 1.0 + 1.0
    state.record_report(ServerReport(4, 0, 2.5), 60.0)
    assert abs(state.estimate_load(2.5) - 4.0) < 1e-9


def test_dispatch_after_a_measurement_is_added_to_the_reported_load():
    state = build_state()
    state.record_dispatch(10, 2.0)
    state.record_report(ServerReport(3, 0, 1.9), 60.0)
    assert abs(state.estimate_load(1.9) - 4.0) < 1e-9


def test_older_report_is_ignored():
    state = build_state()
    state.record_report(ServerReport(5, 0, 3.0), 60.0)
    state.record_report(ServerReport(0, 0, 2.0, is_leaving=True), 60.0)
    assert state.estimate_load(3.0) == 5.0
    assert not state.is_leaving


def test_server_is_leaving_by_listing_or_by_report():
    state = build_state()
    state.record_report(ServerReport(0, 0, 1.0, is_leaving=True), 60.0)
    assert not state.is_usable(2.0)
    state.record_report(ServerReport(0, 0, 2.0), 60.0)
    assert state.is_usable(2.0)
    state.entry = state.entry._replace(is_leaving=True)
    assert not state.is_usable(2.0)


def test_load_estimate_of_full_server_decays_without_reports():
    state = build_state()
    state.record_report(ServerReport(16, 8, 0.0), 60.0)
    assert state.estimate_load(60.0) < 4.0


def test_simultaneous_failures_extend_the_backoff_once():
    state = build_state()
    for _ in range(16):
        state.record_failure(10.0)
    assert state.is_usable(11.5)


def test_recovering_server_gets_one_request_at_a_time():
    state = build_state()
    state.record_failure(10.0)
    assert not state.is_usable(10.5)
    assert state.is_usable(11.5)
    state.record_dispatch(0, 11.5)
    assert not state.is_usable(11.6)
    state.record_success(11.7)
    assert state.is_usable(11.7)


@given(
    st.lists(
        st.tuples(st.sampled_from(["dispatch", "end", "report"]), st.integers(0, 40)),
        max_size=60,
    )
)
def test_load_estimate_is_at_least_the_local_requests_in_flight(events):
    state = build_state()
    for now, (kind, running) in enumerate(events):
        if kind == "dispatch":
            state.record_dispatch(1, now)
        elif kind == "end":
            state.record_end(now)
        else:
            state.record_report(ServerReport(running, 0, now - 0.5), 60.0)
        assert state.estimate_load(now) >= state.local_in_flight >= 0


def test_replacing_the_list_keeps_the_state_of_listed_servers():
    table = ServerTable()
    table.replace(build_entries(3))
    table.get("s001").record_dispatch(0, 1.0)
    table.replace(build_entries(2))
    assert table.get("s001").local_in_flight == 1
    assert [state.name for state in table.list_for(MODEL)] == ["s000", "s001"]


def test_hash_placement_is_equal_on_all_instances_and_stable():
    digests = [random.Random(seed).randbytes(8).hex() for seed in range(200)]
    table, other = ServerTable(), ServerTable()
    table.replace(build_entries(20))
    other.replace(reversed(build_entries(20)))
    first = [table.list_by_hash(MODEL, digest, 2)[0].name for digest in digests]
    assert first == [other.list_by_hash(MODEL, digest, 2)[0].name for digest in digests]
    other.replace(build_entries(19))
    moved = [
        name
        for name, digest in zip(first, digests, strict=True)
        if other.list_by_hash(MODEL, digest, 2)[0].name != name
    ]
    assert set(moved) <= {"s019"}


def test_load_digest_transfers_load_and_suspicion():
    table, other = ServerTable(), ServerTable()
    table.replace(build_entries(40))
    other.replace(build_entries(40))
    for state in table:
        state.record_report(ServerReport(5, 1, 9.0), 60.0)
    table.get("s007").record_failure(9.5)
    digest = build_load_digest(table, 10.0, random.Random(1))
    assert len(digest) == 16
    merge_load_digest(other, digest, 60.0, 10.0)
    assert not other.get("s007").is_usable(10.0)
    reported = [state for state in other if state.reported_at == 9.0]
    assert len(reported) == 15
    assert all(state.estimate_load(9.0) == 6.0 for state in reported)


def test_remote_suspicion_is_ignored_after_a_later_response():
    table, other = ServerTable(), ServerTable()
    table.replace(build_entries(1))
    other.replace(build_entries(1))
    table.get("s000").record_failure(9.5)
    other.get("s000").record_success(9.8)
    digest = build_load_digest(table, 10.0, random.Random(1))
    merge_load_digest(other, digest, 60.0, 10.0)
    assert other.get("s000").is_usable(10.0)
