"""Exhaustive exploration of a lease with two instances.

The backend server ignores fencing numbers. Writes may be committed late, their
responses may be lost, and instances may be paused between any two actions. An order
may arrive at the server up to the longest allowed pause after the instance has checked
its lease.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ebonyhaven_decisions import (
    LeaseAction,
    LeaseRow,
    LeaseTiming,
    LeaseView,
    build_lease_row,
    confirm_lease,
    decide_lease_action,
    is_held,
    may_order,
    observe_lease,
)

from tests.decisions.exploration import Exploration, Transition, explore

TIMING = LeaseTiming(
    duration_s=2.0, renew_after_s=1.0, safety_margin_s=0.0, max_clock_drift_ratio=0.0
)
LONGEST_PAUSE_S = 1.0
MAX_TIME_S = 4.0
MAX_VERSION = 3


class PendingWrite(NamedTuple):
    row: LeaseRow
    expected_version: int
    sent_at: float
    committed_version: int = -1


class Order(NamedTuple):
    """An order in transit; the lease was checked at the time ``checked_at``."""

    fence: int
    checked_at: float


class InstanceState(NamedTuple):
    view: LeaseView
    pending_write: PendingWrite | None = None
    order: Order | None = None


class State(NamedTuple):
    now: float
    row: LeaseRow | None
    version: int
    instances: tuple[InstanceState, ...]
    highest_executed_fence: int = 0
    stale_order_executed: bool = False


class Rules(NamedTuple):
    confirm: Callable = confirm_lease
    decide: Callable = decide_lease_action
    may_order: Callable = may_order


def make_initial_state() -> State:
    instances = tuple(
        InstanceState(LeaseView(owner=name, incarnation=1)) for name in "ab"
    )
    return State(0.0, None, 0, instances)


def replace_instance(state: State, index: int, instance: InstanceState) -> State:
    instances = list(state.instances)
    instances[index] = instance
    return state._replace(instances=tuple(instances))


def list_write_transitions(
    state: State, index: int, rules: Rules
) -> Iterator[Transition]:
    instance = state.instances[index]
    view, pending_write, now = instance.view, instance.pending_write, state.now
    if pending_write is None:
        if state.version > view.row_version:
            seen = observe_lease(view, state.row, state.version, now)
            yield Transition(
                "read", replace_instance(state, index, instance._replace(view=seen))
            )
        action = rules.decide(view, TIMING, now)
        if action is not LeaseAction.WAIT and state.version < MAX_VERSION:
            row = build_lease_row(view, action, TIMING, 0.0)
            new_write = PendingWrite(row, view.row_version, now)
            yield Transition(
                "send",
                replace_instance(
                    state, index, instance._replace(pending_write=new_write)
                ),
            )
    elif pending_write.committed_version >= 0:
        without_write = instance._replace(pending_write=None)
        yield Transition("lose response", replace_instance(state, index, without_write))
        confirmed = rules.confirm(
            view,
            pending_write.row,
            pending_write.committed_version,
            TIMING,
            sent_at=pending_write.sent_at,
            now=now,
        )
        confirmed_instance = instance._replace(view=confirmed, pending_write=None)
        yield Transition("response", replace_instance(state, index, confirmed_instance))
    elif pending_write.expected_version == state.version:
        version = state.version + 1
        committed_instance = instance._replace(
            pending_write=pending_write._replace(committed_version=version)
        )
        committed = replace_instance(state, index, committed_instance)
        yield Transition(
            "commit", committed._replace(row=pending_write.row, version=version)
        )
    else:
        without_write = instance._replace(pending_write=None)
        yield Transition("conflict", replace_instance(state, index, without_write))


def list_order_transitions(
    state: State, index: int, rules: Rules
) -> Iterator[Transition]:
    instance = state.instances[index]
    order = instance.order
    if order is None:
        if rules.may_order(instance.view, state.now, longest_pause_s=LONGEST_PAUSE_S):
            checked = Order(instance.view.fence, state.now)
            yield Transition(
                "check",
                replace_instance(state, index, instance._replace(order=checked)),
            )
        return
    delivered = replace_instance(state, index, instance._replace(order=None))
    if state.now - order.checked_at > LONGEST_PAUSE_S:
        yield Transition("drop order", delivered)
        return
    yield Transition(
        "order",
        delivered._replace(
            highest_executed_fence=max(order.fence, state.highest_executed_fence),
            stale_order_executed=order.fence < state.highest_executed_fence,
        ),
    )


def list_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    if state.now < MAX_TIME_S:
        yield Transition("tick", state._replace(now=state.now + 1))
    for index in range(len(state.instances)):
        name = "ab"[index]
        for transition in list_write_transitions(state, index, rules):
            yield Transition(f"{name}: {transition.action}", transition.state)
        for transition in list_order_transitions(state, index, rules):
            yield Transition(f"{name}: {transition.action}", transition.state)


def is_safe(state: State) -> bool:
    held = [is_held(instance.view, state.now) for instance in state.instances]
    return sum(held) <= 1 and not state.stale_order_executed


def explore_rules(rules: Rules) -> Exploration:
    return explore(
        make_initial_state(), lambda state: list_transitions(state, rules), is_safe
    )


def test_lease_has_one_holder_and_no_stale_order_is_executed():
    result = explore_rules(Rules())
    assert result.violation is None
    assert result.states > 10_000


def test_exploration_detects_a_lease_counted_from_the_confirmation():
    def confirm_from_response_time(view, row, version, timing, *, sent_at, now):
        return confirm_lease(view, row, version, timing, sent_at=now, now=now)

    assert (
        explore_rules(Rules(confirm=confirm_from_response_time)).violation is not None
    )


def test_exploration_detects_an_early_takeover():
    def decide_early(view, timing, now):
        return decide_lease_action(view, timing, now + 1.0)

    assert explore_rules(Rules(decide=decide_early)).violation is not None


def test_exploration_detects_an_order_right_after_a_takeover():
    def may_order_without_delay(view, now, *, longest_pause_s):
        return may_order(view, now, longest_pause_s=0.0)

    assert explore_rules(Rules(may_order=may_order_without_delay)).violation is not None
