from __future__ import annotations

from ebonyhaven_decisions import MemberRecord, MemberState, MemberTable, merge_records
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.membership_pump import Pump, make_record

OUT_OF_LISTS_S = 3.0
DOWN = {MemberState.SUSPECT, MemberState.DEAD}
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
def test_incarnation_of_a_record_never_goes_back(arrivals):
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


def settle(count: int, **options) -> Pump:
    pump = Pump(count, **options)
    pump.run_until(pump.is_settled, 30.0)
    pump.run(3.0)
    return pump


def test_instances_that_start_together_find_each_other():
    for count in (2, 3, 9, 40):
        settle(count)


def test_killed_instance_is_suspect_everywhere_within_the_bound():
    for count in (3, 9, 40):
        pump = settle(count)
        pump.stopped.add("n1")
        took_s = pump.run_until(lambda p=pump: p.states("n1") <= DOWN, 10.0)
        assert took_s <= OUT_OF_LISTS_S, (count, took_s)


def test_survivor_of_two_no_longer_hears_the_other():
    pump = settle(2)
    pump.stopped.add("n1")
    pump.run(OUT_OF_LISTS_S)
    assert pump.views["n0"].unheard == {"n1"}


def test_instance_that_pauses_a_minute_returns_with_a_higher_incarnation():
    pump = settle(9)
    pump.stopped.add("n1")
    pump.run(60.0)
    assert pump.states("n1") == {MemberState.DEAD}
    before = pump.views["n1"].own.incarnation
    pump.stopped.discard("n1")
    pump.run_until(lambda: pump.states("n1") == {MemberState.LIVE}, 3.0)
    assert pump.views["n1"].own.incarnation > before
    pump.run_until(pump.is_settled, 5.0)


def test_view_counts_as_outdated_from_the_end_of_a_pause_until_it_caught_up():
    pump = settle(9)
    view = pump.views["n1"]
    assert not view.is_outdated(pump.now)
    pump.stopped.add("n1")
    pump.run(10.0)
    pump.stopped.add("n2")
    pump.run(10.0)
    assert view.is_outdated(pump.now)
    assert view.table.get("n2").state == MemberState.LIVE
    pump.stopped.discard("n1")
    pump.run_until(lambda: not view.is_outdated(pump.now), 5.0)
    assert view.table.get("n2").state in DOWN


def test_one_way_cut_between_two_instances_raises_no_suspicion():
    pump = settle(9)
    watcher = pump.views["n1"].targets[0]
    pump.cut.add(("n1", watcher))
    pump.run(20.0)
    assert pump.states("n1") == {MemberState.LIVE}
    assert pump.views[watcher].counts.indirect_signs > 0


def test_instance_that_hears_nobody_suspects_nobody():
    pump = settle(9)
    pump.cut |= {(f"n{i}", "n1") for i in range(9)}
    pump.run(20.0)
    assert pump.views["n1"].counts.suspicions == 0
    assert pump.views["n1"].unheard
    others = {f"n{i}" for i in range(9)} - {"n1"}
    for name in others:
        assert pump.states(name) == {MemberState.LIVE}


def test_data_centre_that_is_cut_off_joins_again_after_the_cut():
    pump = settle(9)
    inside = {"n0", "n3", "n6"}
    outside = {f"n{i}" for i in range(9)} - inside
    pump.cut = {(a, b) for a in inside for b in outside}
    pump.cut |= {(b, a) for a, b in pump.cut}
    pump.run(30.0)
    assert pump.views["n0"].table.get("n1").state == MemberState.DEAD
    assert pump.views["n1"].table.get("n0").state == MemberState.DEAD
    assert pump.views["n0"].table.get("n3").state == MemberState.LIVE
    pump.cut = set()
    pump.run_until(pump.is_settled, 20.0)


def test_restart_under_the_same_name_with_a_lower_incarnation_is_taken_in():
    pump = settle(6)
    pump.views["n1"].own = pump.views["n1"].own._replace(incarnation=9)
    pump.stopped.add("n1")
    pump.run(10.0)
    pump.start("n1")
    pump.run_until(pump.is_settled, 5.0)


def test_older_process_of_a_name_steps_back():
    pump = settle(3)
    view = pump.views["n1"]
    newer = view.own._replace(incarnation=50, control_address="n1:9")
    pump.views["n0"].table.merge(newer, pump.now)
    pump.views["n2"].table.merge(newer, pump.now)
    pump.run(5.0)
    assert view.superseded


def test_lost_messages_cause_no_deaths():
    pump = settle(24, loss=0.01)
    pump.run(120.0)
    assert sum(view.counts.deaths for view in pump.views.values()) == 0


def test_messages_of_an_instance_do_not_grow_with_the_size():
    rates = []
    for count in (12, 48):
        pump = settle(count)
        before = pump.sent
        pump.run(20.0)
        rates.append((pump.sent - before) / 20.0 / count)
    assert max(rates) <= 10.0, rates
