from __future__ import annotations

import math
import random

from ebonyhaven_decisions import (
    ClassTargets,
    FailureKind,
    RefusalReason,
    SchedulingAlgorithm,
    build_scheduler,
    derive_policies,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.scheduling import (
    INSTANCE_LOCALITY,
    POLICIES,
    TARGETS,
    build_entries,
    build_fair_scheduler,
    build_item,
    complete_request,
    report_local_load,
)

ANALYSIS_POLICIES = derive_policies({"analysis": TARGETS["analysis"]})


def submit_many(scheduler, count, now=0.0, **options):
    for index in range(count):
        item = build_item(f"fill{index}", arrival=now, **options)
        assert scheduler.submit(item, now) is None
    return scheduler.collect_decisions(now)


def test_request_is_dispatched_with_the_priority_of_its_class():
    scheduler = build_fair_scheduler()
    scheduler.submit(build_item("a"), 0.0)
    scheduler.submit(build_item("l", class_name="look-up"), 0.0)
    dispatches = scheduler.collect_decisions(0.0).dispatches
    assert [(each.item.item_id, each.engine_priority) for each in dispatches] == [
        ("l", 1),
        ("a", 3),
    ]


def test_unknown_class_is_refused():
    refusal = build_fair_scheduler().submit(build_item("x", class_name="none"), 0.0)
    assert refusal.reason is RefusalReason.UNKNOWN_CLASS


def test_full_servers_queue_analyses_and_reserve_slots_for_look_ups():
    scheduler = build_fair_scheduler(servers=2, capacity=8)
    decisions = submit_many(scheduler, 20)
    assert 0 < len(decisions.dispatches) <= 2 * (8 - 2)
    assert len(scheduler) + len(decisions.dispatches) == 20
    scheduler.submit(build_item("l", class_name="look-up"), 0.0)
    assert len(scheduler.collect_decisions(0.0).dispatches) == 1


def test_freed_slot_goes_to_the_next_waiting_request():
    scheduler = build_fair_scheduler()
    first = submit_many(scheduler, 20).dispatches
    complete_request(scheduler, first[0], 1.0)
    assert len(scheduler.collect_decisions(1.0).dispatches) == 1


def test_request_that_would_be_late_is_refused_immediately():
    scheduler = build_fair_scheduler(servers=1, capacity=4)
    submit_many(scheduler, 10, class_name="look-up", max_tokens=1000)
    item = build_item("late", class_name="look-up", max_tokens=1000)
    scheduler.submit(item, 0.0)
    refusals = scheduler.collect_decisions(0.0).refusals
    assert [each.item.item_id for each in refusals] == ["late"]
    assert refusals[0].reason is RefusalReason.LATE_FIRST_TOKEN
    assert refusals[0].retry_after_s > 0.0


def test_spare_slots_are_given_to_an_underserved_workspace():
    scheduler = build_fair_scheduler(servers=2, capacity=4, policies=ANALYSIS_POLICIES)
    assert len(submit_many(scheduler, 20, workspace="large").dispatches) == 2 * 3
    scheduler.submit(build_item("small", workspace="small", arrival=1.0), 1.0)
    dispatched = scheduler.collect_decisions(1.0).dispatches
    assert [each.item.workspace for each in dispatched] == ["small"]


def test_backlog_of_a_large_workspace_does_not_refuse_a_small_one():
    scheduler = build_fair_scheduler(servers=2, capacity=8)
    submit_many(scheduler, 400, workspace="large", max_tokens=400)
    scheduler.submit(build_item("small", workspace="small", max_tokens=400), 0.0)
    assert scheduler.collect_decisions(0.0).refusals == []
    late = build_item("large", workspace="large", max_tokens=400)
    scheduler.submit(late, 0.0)
    assert [each.item for each in scheduler.collect_decisions(0.0).refusals] == [late]


def test_waiting_request_is_refused_at_its_queue_limit():
    scheduler = build_fair_scheduler(servers=2, capacity=8)
    submit_many(scheduler, 40, max_tokens=1000)
    limit = POLICIES["analysis"].queue_limit_s
    assert scheduler.read_next_timeout() == limit
    assert scheduler.collect_decisions(limit - 0.1).refusals == []
    refused = scheduler.collect_decisions(limit).refusals
    assert {each.reason for each in refused} == {RefusalReason.QUEUE_TIMEOUT}
    assert len(scheduler) == 0
    assert scheduler.read_next_timeout() == math.inf


def test_tighter_target_applies_to_waiting_requests():
    scheduler = build_fair_scheduler(servers=1, capacity=4)
    submit_many(scheduler, 30, max_tokens=200)
    waiting = len(scheduler)
    assert waiting > 10
    tight = TARGETS["analysis"]._replace(first_token_ms=600, may_wait_ms=0)
    scheduler.replace_policies(derive_policies(TARGETS | {"analysis": tight}))
    refusals = scheduler.collect_decisions(0.1).refusals
    assert len(refusals) == waiting - len(scheduler) > 0


def test_retry_avoids_the_lost_server():
    scheduler = build_fair_scheduler()
    dispatch = submit_many(scheduler, 1).dispatches[0]
    lost = dispatch.choice.server.name
    scheduler.dispatcher.record_failure("fill0", FailureKind.LOST, 1.0)
    assert scheduler.requeue(dispatch.item, frozenset({lost}), 1.0) is None
    again = scheduler.collect_decisions(1.0).dispatches[0]
    assert again.choice.server.name != lost


def test_retries_beyond_the_budget_are_refused():
    scheduler = build_fair_scheduler()
    item = build_item("x")
    outcomes = [scheduler.requeue(item, frozenset(), 0.0) for _ in range(5)]
    assert outcomes[0] is None
    assert outcomes[-1].reason is RefusalReason.RETRY_BUDGET


def test_resumed_stream_uses_slots_reserved_from_new_requests():
    scheduler = build_fair_scheduler(servers=2, capacity=4)
    running = submit_many(scheduler, 20).dispatches
    dispatch = running[0]
    lost = dispatch.choice.server.name
    scheduler.dispatcher.record_failure(dispatch.item.item_id, FailureKind.LOST, 1.0)
    resumed = scheduler.dispatcher.route_resume(dispatch.item, frozenset({lost}), 1.0)
    assert resumed.choice.server.name != lost
    all_servers = frozenset(state.name for state in scheduler.dispatcher.table)
    assert scheduler.dispatcher.route_resume(dispatch.item, all_servers, 1.0) is None


def test_cancel_releases_waiting_and_running_requests():
    scheduler = build_fair_scheduler(servers=1, capacity=4)
    running = submit_many(scheduler, 10).dispatches
    for index in range(10):
        scheduler.cancel(f"fill{index}", 1.0)
    assert len(scheduler) == 0
    assert len(scheduler.dispatcher.in_flight_requests) == 0
    assert running[0].choice.server.local_in_flight == 0
    assert running[0].choice.server.local_prefill_tokens == 0


def test_request_waits_while_all_servers_are_full():
    scheduler = build_fair_scheduler(servers=2, capacity=4)
    for state in scheduler.dispatcher.table:
        state.record_full(0.0)
    decisions = submit_many(scheduler, 1)
    assert decisions.dispatches == decisions.refusals == []


def test_only_classes_with_a_long_queue_limit_wait_without_servers():
    scheduler = build_fair_scheduler(servers=0)
    assert submit_many(scheduler, 1).refusals == []
    scheduler.submit(build_item("l", class_name="look-up"), 0.0)
    refusal = scheduler.collect_decisions(0.0).refusals[0]
    assert refusal.reason is RefusalReason.NO_SERVER


def test_baselines_dispatch_immediately_in_order_of_arrival():
    for scheduling in (
        SchedulingAlgorithm.ROUND_ROBIN,
        SchedulingAlgorithm.LEAST_CONNECTIONS,
    ):
        scheduler = build_scheduler(
            scheduling,
            POLICIES,
            locality=INSTANCE_LOCALITY,
            random_source=random.Random(1),
            now=0.0,
        )
        scheduler.dispatcher.table.replace(build_entries(2))
        dispatches = submit_many(scheduler, 100).dispatches
        assert [each.item.item_id for each in dispatches] == [
            f"fill{index}" for index in range(100)
        ]
        loads = [state.local_in_flight for state in scheduler.dispatcher.table]
        assert loads == [50, 50]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["submit", "finish", "cancel", "lose", "report", "wait"]),
            st.integers(0, 9),
        ),
        max_size=80,
    ),
    st.integers(0, 3),
)
def test_each_request_ends_once_and_releases_its_slot(events, seed):
    scheduler = build_fair_scheduler(servers=3, capacity=4, seed=seed)
    dispatcher = scheduler.dispatcher
    now, open_items, running = 0.0, {}, {}
    for number, (kind, value) in enumerate(events):
        now += 0.2 if kind != "wait" else 10.0 * value
        class_name = "look-up" if value % 2 else "analysis"
        item = build_item(
            number, workspace=f"w{value}", class_name=class_name, arrival=now
        )
        if kind == "submit" and scheduler.submit(item, now) is None:
            open_items[item.item_id] = item
        elif kind == "report":
            report_local_load(scheduler, 4, now=now)
        elif running and kind in ("finish", "lose", "cancel"):
            dispatch = running.pop(sorted(running)[value % len(running)])
            del open_items[dispatch.item.item_id]
            if kind == "finish":
                complete_request(scheduler, dispatch, now)
            elif kind == "cancel":
                scheduler.cancel(dispatch.item.item_id, now)
            else:
                dispatcher.record_failure(dispatch.item.item_id, FailureKind.LOST, now)
        decisions = scheduler.collect_decisions(now)
        for dispatch in decisions.dispatches:
            assert dispatch.item.item_id not in running
            running[dispatch.item.item_id] = dispatch
        for refusal in decisions.refusals:
            assert refusal.item.item_id not in running
            assert refusal.retry_after_s > 0.0
            del open_items[refusal.item.item_id]
        assert len(open_items) == len(scheduler) + len(dispatcher.in_flight_requests)
        assert sum(state.local_in_flight for state in dispatcher.table) == len(running)
        assert all(state.local_in_flight <= 4 for state in dispatcher.table)


def test_class_targets_accept_the_fields_of_a_declaration():
    assert ClassTargets(**{"first_token_ms": 1, "gap_ms": 2, "resume_ms": 3}) == (
        1,
        2,
        3,
        0.0,
    )
