"""Exhaustive exploration of claim and dispatch with two instances.

Both instances may submit the same request, crash and restart at any time, lose the
confirmation of the write and be paused between claim and dispatch.
"""

from __future__ import annotations

from typing import NamedTuple

from ebonyhaven_decisions import (
    Claimant,
    ClaimDecision,
    ClaimRow,
    build_continuation_claim,
    evaluate_claim,
    may_dispatch,
)

from tests.decisions.exploration import Exploration, Transition, explore

DIGEST = "d"
PAUSE_ENDED_AT = 1.0
DEADLINE = 5.0
MAX_INCARNATION = 2


class Instance(NamedTuple):
    incarnation: int = 1
    phase: str = "idle"  # idle, writing, claimed, done
    was_paused: bool = False


class SystemState(NamedTuple):
    row: tuple[int, int] | None = None  # owner and incarnation
    instances: tuple[Instance, Instance] = (Instance(), Instance())
    dispatch_count: int = 0


def make_row(owner: int, incarnation: int) -> ClaimRow:
    return ClaimRow(
        owner=f"n{owner}",
        incarnation=incarnation,
        generation="0" * 8,
        server="s",
        epoch=1,
        digest=DIGEST,
        claimed_at_ms=0,
    )


def evaluate_row(row, index, instance):
    claimant = Claimant(instance=f"n{index}", incarnation=instance.incarnation)
    is_own_insert = row == (index, instance.incarnation) and instance.phase == "writing"
    return evaluate_claim(
        make_row(*row),
        claimant=claimant,
        digest=DIGEST,
        inserted_by_submission=is_own_insert,
    )


def evaluate_row_by_instance(row, index, instance):
    """Dispatch for any row of the same instance, whatever its incarnation."""
    return ClaimDecision.DISPATCH if row[0] == index else ClaimDecision.ATTACH


def list_transitions(state: SystemState, evaluate) -> list[Transition]:
    transitions = []
    for index, instance in enumerate(state.instances):
        transitions += list_instance_transitions(state, index, instance, evaluate)
    return transitions


def list_instance_transitions(state, index, instance, evaluate):
    def change(action, *, row=state.row, dispatch_count=state.dispatch_count, **fields):
        instances = list(state.instances)
        instances[index] = instance._replace(**fields)
        name = f"{action} n{index}"
        return Transition(name, SystemState(row, tuple(instances), dispatch_count))

    transitions = []
    if instance.incarnation < MAX_INCARNATION:
        next_incarnation = instance.incarnation + 1
        transitions.append(
            change(
                "restart", incarnation=next_incarnation, phase="idle", was_paused=False
            )
        )
    if not instance.was_paused and instance.phase in ("writing", "claimed"):
        transitions.append(change("pause", was_paused=True))
    if instance.phase == "idle":
        transitions.append(change("submit", phase="writing"))
    if instance.phase == "writing":
        if state.row is None:
            inserted_row = (index, instance.incarnation)
            transitions.append(change("write, confirmation lost", row=inserted_row))
        else:
            is_claimed = evaluate(state.row, index, instance) is ClaimDecision.DISPATCH
            phase = "claimed" if is_claimed else "done"
            transitions.append(change("read back", phase=phase))
    if instance.phase == "claimed":
        pause_ended_at = PAUSE_ENDED_AT if instance.was_paused else float("-inf")
        is_dispatched = may_dispatch(
            write_sent_at=0.0, deadline=DEADLINE, pause_ended_at=pause_ended_at, now=2.0
        )
        dispatch_count = state.dispatch_count + is_dispatched
        transitions.append(
            change("dispatch", phase="done", dispatch_count=dispatch_count)
        )
    return transitions


def explore_claims(evaluate) -> Exploration:
    return explore(
        SystemState(),
        lambda state: list_transitions(state, evaluate),
        lambda state: state.dispatch_count <= 1,
    )


def test_no_interleaving_dispatches_a_request_twice():
    result = explore_claims(evaluate_row)
    assert result.violation is None
    assert result.states > 100


def test_exploration_detects_evaluation_without_incarnation():
    violation = explore_claims(evaluate_row_by_instance).violation
    assert violation is not None
    assert sum(action.startswith("dispatch") for action in violation) == 2


def test_claim_with_another_digest_is_a_mismatch():
    decision = evaluate_claim(
        make_row(0, 1),
        claimant=Claimant(instance="n0", incarnation=1),
        digest="other",
        inserted_by_submission=True,
    )
    assert decision is ClaimDecision.DIGEST_MISMATCH


def test_no_dispatch_after_a_pause_or_the_deadline():
    no_pause = float("-inf")
    times = {"write_sent_at": 5.0, "deadline": 9.0}
    assert may_dispatch(**times, pause_ended_at=no_pause, now=8.9)
    assert may_dispatch(**times, pause_ended_at=4.0, now=8.9)
    assert not may_dispatch(**times, pause_ended_at=6.0, now=8.9)
    assert not may_dispatch(**times, pause_ended_at=no_pause, now=9.1)


def test_continuation_increments_the_epoch_and_keeps_the_generation():
    claimant = Claimant(instance="n7", incarnation=3)
    continued = build_continuation_claim(make_row(0, 1), claimant=claimant, server="s2")
    assert (continued["epoch"], continued["owner"], continued["server"]) == (
        2,
        "n7",
        "s2",
    )
    assert continued["generation"] == "0" * 8
    decision = evaluate_claim(
        continued, claimant=claimant, digest=DIGEST, inserted_by_submission=True
    )
    assert decision is ClaimDecision.ATTACH
