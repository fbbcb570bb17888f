from __future__ import annotations

from ebonyhaven_decisions import MemberRecord, MemberState, MemberTable, merge_records
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.membership_cluster import SimulatedCluster, make_record

MAX_DETECTION_S = 3.0
DOWN_STATES = {MemberState.SUSPECT, MemberState.DEAD}
records = st.builds(
    MemberRecord,
    incarnation=st.integers(0, 4),
    state=st.sampled_from(MemberState),
    name=st.just("n1"),
    control_address=st.sampled_from(["a:1", "b:1"]),
    caller_address=st.just("a:2"),
    data_centre=st.just("dc-a"),
    region=st.just("r1"),
)


@given(records, records, records)
def test_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merge_records(a, b) == merge_records(b, a)
    assert merge_records(merge_records(a, b), c) == merge_records(
        a, merge_records(b, c)
    )
    assert merge_records(a, a) == a


@settings(derandomize=True)
@given(st.lists(records))
def test_incarnation_of_a_record_never_decreases(arrivals):
    table = MemberTable()
    highest = -1
    for record in arrivals:
        table.merge(record, 0.0)
        highest = max(highest, record.incarnation)
        assert table.get("n1").incarnation == highest


@given(st.permutations([make_record(f"n{i}", incarnation=i) for i in range(5)]))
def test_digest_does_not_depend_on_the_order_of_arrival(arrivals):
    table = MemberTable()
    for record in arrivals:
        table.merge(record, 0.0)
    other = MemberTable()
    for record in sorted(arrivals):
        other.merge(record, 0.0)
    assert table.digest == other.digest


def start_converged(count: int, **options) -> SimulatedCluster:
    cluster = SimulatedCluster(count, **options)
    cluster.run_until(cluster.has_converged, 30.0)
    cluster.run(3.0)
    return cluster


def test_instances_started_together_converge():
    for count in (2, 3, 9, 40):
        start_converged(count)


def test_killed_instance_is_suspected_by_all_others_in_time():
    for count in (3, 9, 40):
        cluster = start_converged(count)
        cluster.stopped.add("n1")
        detection_s = cluster.run_until(
            lambda p=cluster: p.list_states("n1") <= DOWN_STATES, 10.0
        )
        assert detection_s <= MAX_DETECTION_S, (count, detection_s)


def test_survivor_of_two_instances_reports_the_other_as_unresponsive():
    cluster = start_converged(2)
    cluster.stopped.add("n1")
    cluster.run(MAX_DETECTION_S)
    assert cluster.views["n0"].unresponsive == {"n1"}


def test_instance_paused_for_a_minute_rejoins_with_a_higher_incarnation():
    cluster = start_converged(9)
    cluster.stopped.add("n1")
    cluster.run(60.0)
    assert cluster.list_states("n1") == {MemberState.DEAD}
    before = cluster.views["n1"].own.incarnation
    cluster.stopped.discard("n1")
    cluster.run_until(lambda: cluster.list_states("n1") == {MemberState.LIVE}, 3.0)
    assert cluster.views["n1"].own.incarnation > before
    cluster.run_until(cluster.has_converged, 5.0)


def test_view_is_outdated_after_a_pause_until_it_has_caught_up():
    cluster = start_converged(9)
    view = cluster.views["n1"]
    assert not view.is_outdated(cluster.now)
    cluster.stopped.add("n1")
    cluster.run(10.0)
    cluster.stopped.add("n2")
    cluster.run(10.0)
    assert view.is_outdated(cluster.now)
    assert view.table.get("n2").state == MemberState.LIVE
    cluster.stopped.discard("n1")
    cluster.run_until(lambda: not view.is_outdated(cluster.now), 5.0)
    assert view.table.get("n2").state in DOWN_STATES


def test_one_way_link_failure_raises_no_suspicion():
    cluster = start_converged(9)
    heartbeat_target = cluster.views["n1"].targets[0]
    cluster.cut_links.add(("n1", heartbeat_target))
    cluster.run(20.0)
    assert cluster.list_states("n1") == {MemberState.LIVE}
    assert cluster.views[heartbeat_target].counts.indirect_signs > 0


def test_isolated_instance_raises_no_suspicion():
    cluster = start_converged(9)
    cluster.cut_links |= {(f"n{i}", "n1") for i in range(9)}
    cluster.run(20.0)
    assert cluster.views["n1"].counts.suspicions == 0
    assert cluster.views["n1"].unresponsive
    others = {f"n{i}" for i in range(9)} - {"n1"}
    for name in others:
        assert cluster.list_states(name) == {MemberState.LIVE}


def test_partitioned_data_centre_rejoins_after_the_partition():
    cluster = start_converged(9)
    inside = {"n0", "n3", "n6"}
    outside = {f"n{i}" for i in range(9)} - inside
    cluster.cut_links = {(a, b) for a in inside for b in outside}
    cluster.cut_links |= {(b, a) for a, b in cluster.cut_links}
    cluster.run(30.0)
    assert cluster.views["n0"].table.get("n1").state == MemberState.DEAD
    assert cluster.views["n1"].table.get("n0").state == MemberState.DEAD
    assert cluster.views["n0"].table.get("n3").state == MemberState.LIVE
    cluster.cut_links = set()
    cluster.run_until(cluster.has_converged, 20.0)


def test_restart_with_the_same_name_and_a_lower_incarnation_is_accepted():
    cluster = start_converged(6)
    cluster.views["n1"].own = cluster.views["n1"].own._replace(incarnation=9)
    cluster.stopped.add("n1")
    cluster.run(10.0)
    cluster.start("n1")
    cluster.run_until(cluster.has_converged, 5.0)


def test_older_process_of_the_same_name_is_superseded():
    cluster = start_converged(3)
    view = cluster.views["n1"]
    newer = view.own._replace(incarnation=50, control_address="n1:9")
    cluster.views["n0"].table.merge(newer, cluster.now)
    cluster.views["n2"].table.merge(newer, cluster.now)
    cluster.run(5.0)
    assert view.superseded


def test_message_loss_causes_no_deaths():
    cluster = start_converged(24, loss=0.01)
    cluster.run(120.0)
    assert sum(view.counts.deaths for view in cluster.views.values()) == 0


def test_message_rate_of_an_instance_is_independent_of_cluster_size():
    rates = []
    for count in (12, 48):
        cluster = start_converged(count)
        before = cluster.sent_message_count
        cluster.run(20.0)
        rates.append((cluster.sent_message_count - before) / 20.0 / count)
    assert max(rates) <= 10.0, rates
