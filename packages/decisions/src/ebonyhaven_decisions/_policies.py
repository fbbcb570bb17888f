"""Scheduling policies of the classes, derived from their targets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import attrs

MS_PER_S = 1000.0
MAX_RESERVED_SLOTS_SHARE = 0.25
GAP_LIMIT_RATIO = 0.95
FIRST_TOKEN_QUEUE_SHARE = 0.5


class ClassTargets(NamedTuple):
    """Latency targets of a class, set by the operators.

    Parameters
    ----------
    first_token_ms : float
        Time to the first token, before `may_wait_ms` is added.
    gap_ms : float
        Time between two consecutive tokens.
    resume_ms : float
        Time from the loss of a backend server until its streams resume.
    may_wait_ms : float
        Time that a request may wait in a queue in addition to `first_token_ms`.
    """

    first_token_ms: float
    gap_ms: float
    resume_ms: float
    may_wait_ms: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class ClassPolicy:
    """Limits and priority that the scheduler applies to one class.

    Parameters
    ----------
    name : str
    rank : int
        Position in the order of service; 0 is served first. Classes with the same
        first-token limit share a rank.
    engine_priority : int
        Priority sent to engines; 0 is served first.
    first_token_limit_s : float
        Longest time from arrival to the first token that meets the targets,
        seconds.
    queue_limit_s : float
        Longest time in the queue of an instance, seconds.
    gap_limit_ms : float
        Gap between tokens beyond which a batch must not grow, milliseconds.
    reserved_share : float
        Largest share of the slots that may be reserved for this class and withheld
        from less urgent ones.
    resume_limit_s : float
        Longest pause of a stream after the loss of its backend server, seconds.
    """

    name: str
    rank: int
    engine_priority: int
    first_token_limit_s: float
    queue_limit_s: float
    gap_limit_ms: float
    reserved_share: float
    resume_limit_s: float


def compute_first_token_limit_ms(targets: ClassTargets) -> float:
    """Return the longest time from arrival to the first token of a class.

    Parameters
    ----------
    targets : ClassTargets

    Returns
    -------
    float
        Milliseconds.
    """
    return targets.first_token_ms + targets.may_wait_ms


def derive_policies(targets: Mapping[str, ClassTargets]) -> dict[str, ClassPolicy]:
    """Derive the policy of each class from the targets of all classes.

    Parameters
    ----------
    targets : mapping of str to ClassTargets
        By name of class.

    Returns
    -------
    dict of str to ClassPolicy
        By name of class, in order of urgency.
    """
    if not targets:
        return {}
    limits_ms = {
        name: compute_first_token_limit_ms(each) for name, each in targets.items()
    }
    ranks = {value: rank for rank, value in enumerate(sorted(set(limits_ms.values())))}
    longest_ms = max(limits_ms.values())
    urgent_classes = sum(1 for value in limits_ms.values() if value < longest_ms)
    ordered = sorted(targets, key=lambda name: (limits_ms[name], name))
    return {
        name: _derive_policy(
            name,
            targets[name],
            rank=ranks[limits_ms[name]],
            urgency=1.0 - limits_ms[name] / longest_ms if longest_ms else 0.0,
            urgent_classes=urgent_classes,
        )
        for name in ordered
    }


def _derive_policy(
    name: str,
    targets: ClassTargets,
    *,
    rank: int,
    urgency: float,
    urgent_classes: int,
) -> ClassPolicy:
    queue_ms = targets.may_wait_ms + targets.first_token_ms * FIRST_TOKEN_QUEUE_SHARE
    reserved = (
        MAX_RESERVED_SLOTS_SHARE * urgency / urgent_classes if urgent_classes else 0.0
    )
    return ClassPolicy(
        name=name,
        rank=rank,
        engine_priority=rank,
        first_token_limit_s=compute_first_token_limit_ms(targets) / MS_PER_S,
        queue_limit_s=queue_ms / MS_PER_S,
        gap_limit_ms=targets.gap_ms * GAP_LIMIT_RATIO,
        reserved_share=reserved,
        resume_limit_s=targets.resume_ms / MS_PER_S,
    )
