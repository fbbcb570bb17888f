from __future__ import annotations

import random
from collections import Counter

from ebonyhaven_decisions import (
    LeastConnectionsRouter,
    LoadAwareRouter,
    RoundRobinRouter,
    ServerReport,
    ServerTable,
    SlotAllowance,
)
from hypothesis import given
from hypothesis import strategies as st

from tests.decisions.scheduling import INSTANCE_LOCALITY, build_entries, build_item

NOW = 10.0
NO_SERVERS = frozenset()


def build_table(count=20, **options):
    table = ServerTable()
    table.replace(build_entries(count, **options))
    for state in table:
        state.record_report(ServerReport(4, 0, NOW, capacity=16, pace_ms=30.0), 60.0)
    return table


def choose(router, table, item=None, allowance=None, excluded=NO_SERVERS):
    return router.choose(
        item or build_item("x"),
        table,
        allowance=allowance or SlotAllowance(),
        excluded=excluded,
        now=NOW,
    )


def build_routers():
    return (
        LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY),
        RoundRobinRouter(),
        LeastConnectionsRouter(random.Random(1)),
    )


def test_independent_routers_spread_requests_despite_stale_report():
    table = build_table()
    table.get("s003").record_report(ServerReport(0, 0, NOW, capacity=16), 60.0)
    counts = Counter()
    for seed in range(200):
        router = LoadAwareRouter(random.Random(seed), INSTANCE_LOCALITY)
        counts[choose(router, table).server.name] += 1
    assert max(counts.values()) <= 200 * 6 / 20  # six times the mean


def test_requests_of_one_instance_spread_between_reports():
    table = build_table()
    router = LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY)
    counts = Counter()
    for _ in range(100):
        server = choose(router, table).server
        server.record_dispatch(10, NOW)
        counts[server.name] += 1
    assert max(counts.values()) <= 10


def test_server_with_cached_prefix_is_preferred_until_it_is_full():
    table = build_table()
    router = LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY)
    item = build_item(
        "x", prompt_tokens=2000, prefix_digests=("00ab",), prefix_tokens=(1900,)
    )
    router.record_cached("s005", "00ab", NOW)
    assert choose(router, table, item).server.name == "s005"
    assert choose(router, table, item).cached_tokens == 1900
    cached_server = table.get("s005")
    cached_server.record_report(ServerReport(16, 4, NOW, capacity=16), 60.0)
    assert choose(router, table, item).server.name != "s005"
    router.record_evicted("s005", "00ab")
    assert choose(router, table, item).cached_tokens == 0


def test_servers_in_same_data_centre_are_preferred_at_equal_load():
    same_centre = build_entries(4)
    other_centre = build_entries(4, prefix="t", data_centre="dc-b")
    table = ServerTable()
    table.replace(same_centre + other_centre)
    router = LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY)
    counts = Counter(choose(router, table).server.name[0] for _ in range(50))
    assert counts["s"] > counts["t"]


def test_slots_are_reserved_for_urgent_classes_and_resumed_streams():
    table = build_table(1)
    state = table.get("s000")
    state.record_report(ServerReport(13, 0, NOW, capacity=16, pace_ms=30), 60.0)
    router = LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY)
    assert choose(router, table, allowance=SlotAllowance(reserved_share=0.125)) is None
    assert (
        choose(router, table, allowance=SlotAllowance(may_exceed_limit=True))
        is not None
    )
    state.record_report(ServerReport(15, 0, NOW, capacity=16, pace_ms=30), 60.0)
    assert choose(router, table, allowance=SlotAllowance(may_exceed_limit=True)) is None
    resume_allowance = SlotAllowance(may_exceed_limit=True, spare_slots=0)
    assert choose(router, table, allowance=resume_allowance) is not None


@given(
    st.sets(st.integers(0, 5)),
    st.sets(st.integers(0, 5)),
    st.sets(st.integers(0, 5)),
)
def test_no_router_chooses_excluded_leaving_or_suspect_servers(
    excluded_indices, leaving, suspect
):
    for router in build_routers():
        table = build_table(6)
        states = list(table)
        for index in leaving:
            states[index].reports_leaving = True
        for index in suspect:
            states[index].record_failure(NOW)
        excluded = {states[index].name for index in excluded_indices}
        usable = set(range(6)) - excluded_indices - leaving - suspect
        choice = choose(router, table, excluded=excluded)
        if not usable:
            assert choice is None
        else:
            assert choice.server.name in {states[index].name for index in usable}


def test_no_router_chooses_a_server_without_the_model():
    for router in build_routers():
        assert choose(router, build_table(3), build_item("x", model="other")) is None


def test_server_with_missing_model_is_not_chosen():
    table = build_table(1)
    table.get("s000").missing_models = frozenset({"dossier"})
    assert choose(LoadAwareRouter(random.Random(1), INSTANCE_LOCALITY), table) is None
