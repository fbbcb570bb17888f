"""Explores two instances, one lease and one backend server that ignores fences.

Writes commit late, answers are lost, instances stop between any two actions and
orders arrive up to the allowed pause after the check that preceded them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ebonyhaven_decisions import (
    LeaseAction,
    LeaseRow,
    LeaseTerms,
    LeaseView,
    confirm_lease,
    decide_lease,
    draft_row,
    is_held,
    may_order,
    observe_lease,
)

from tests.decisions.exploration import Exploration, Step, explore

TERMS = LeaseTerms(duration_s=2.0, renew_after_s=1.0, margin_s=0.0, rate_error=0.0)
PAUSE_S = 1.0
HORIZON_S = 4.0
LAST_VERSION = 3


class Flight(NamedTuple):
    row: LeaseRow
    base: int
    sent_at: float
    committed: int = -1


class Order(NamedTuple):
    fence: int
    checked_at: float


class Member(NamedTuple):
    view: LeaseView
    flight: Flight | None = None
    order: Order | None = None


class State(NamedTuple):
    now: float
    row: LeaseRow | None
    version: int
    members: tuple[Member, ...]
    executed_fence: int = 0
    stale_order_ran: bool = False


class Rules(NamedTuple):
    confirm: Callable = confirm_lease
    decide: Callable = decide_lease
    may_order: Callable = may_order


def make_initial() -> State:
    members = tuple(Member(LeaseView(owner=name, incarnation=1)) for name in "ab")
    return State(0.0, None, 0, members)


def replace_member(state: State, index: int, member: Member) -> State:
    members = list(state.members)
    members[index] = member
    return state._replace(members=tuple(members))


def list_write_steps(state: State, index: int, rules: Rules) -> Iterator[Step]:
    member = state.members[index]
    view, flight, now = member.view, member.flight, state.now
    if flight is None:
        if state.version > view.row_version:
            seen = observe_lease(view, state.row, state.version, now)
            yield Step("read", replace_member(state, index, member._replace(view=seen)))
        action = rules.decide(view, TERMS, now)
        if action is not LeaseAction.WAIT and state.version < LAST_VERSION:
            row = draft_row(view, action, TERMS, 0.0)
            sent = Flight(row, view.row_version, now)
            yield Step(
                "send", replace_member(state, index, member._replace(flight=sent))
            )
    elif flight.committed >= 0:
        dropped = member._replace(flight=None)
        yield Step("lose answer", replace_member(state, index, dropped))
        confirmed = rules.confirm(
            view, flight.row, flight.committed, TERMS, sent_at=flight.sent_at, now=now
        )
        answered = member._replace(view=confirmed, flight=None)
        yield Step("answer", replace_member(state, index, answered))
    elif flight.base == state.version:
        version = state.version + 1
        landed = member._replace(flight=flight._replace(committed=version))
        committed = replace_member(state, index, landed)
        yield Step("commit", committed._replace(row=flight.row, version=version))
    else:
        dropped = member._replace(flight=None)
        yield Step("refuse", replace_member(state, index, dropped))


def list_order_steps(state: State, index: int, rules: Rules) -> Iterator[Step]:
    member = state.members[index]
    order = member.order
    if order is None:
        if rules.may_order(member.view, state.now, longest_pause_s=PAUSE_S):
            checked = Order(member.view.fence, state.now)
            yield Step(
                "check", replace_member(state, index, member._replace(order=checked))
            )
        return
    delivered = replace_member(state, index, member._replace(order=None))
    if state.now - order.checked_at > PAUSE_S:
        yield Step("drop order", delivered)
        return
    yield Step(
        "order",
        delivered._replace(
            executed_fence=max(order.fence, state.executed_fence),
            stale_order_ran=order.fence < state.executed_fence,
        ),
    )


def list_steps(state: State, rules: Rules) -> Iterator[Step]:
    if state.now < HORIZON_S:
        yield Step("tick", state._replace(now=state.now + 1))
    for index in range(len(state.members)):
        name = "ab"[index]
        for step in list_write_steps(state, index, rules):
            yield Step(f"{name}: {step.action}", step.state)
        for step in list_order_steps(state, index, rules):
            yield Step(f"{name}: {step.action}", step.state)


def holds(state: State) -> bool:
    held = [is_held(member.view, state.now) for member in state.members]
    return sum(held) <= 1 and not state.stale_order_ran


def explore_rules(rules: Rules) -> Exploration:
    return explore(make_initial(), lambda state: list_steps(state, rules), holds)


def test_lease_has_one_holder_and_no_order_of_an_earlier_one_comes_late():
    result = explore_rules(Rules())
    assert result.violation is None
    assert result.states > 10_000


def test_counting_from_the_confirmation_is_caught():
    def confirm_from_answer(view, row, version, terms, *, sent_at, now):
        return confirm_lease(view, row, version, terms, sent_at=now, now=now)

    assert explore_rules(Rules(confirm=confirm_from_answer)).violation is not None


def test_taking_over_early_is_caught():
    def decide_early(view, terms, now):
        return decide_lease(view, terms, now + 1.0)

    assert explore_rules(Rules(decide=decide_early)).violation is not None


def test_ordering_at_once_after_a_takeover_is_caught():
    def may_order_at_once(view, now, *, longest_pause_s):
        return may_order(view, now, longest_pause_s=0.0)

    assert explore_rules(Rules(may_order=may_order_at_once)).violation is not None
