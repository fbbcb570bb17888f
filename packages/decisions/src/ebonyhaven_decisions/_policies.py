"""Scheduling policy of each class, derived from its targets alone."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import attrs

MS_PER_S = 1000.0
MAX_RESERVED_SHARE = 0.25
GAP_HEADROOM = 0.95
QUEUE_SHARE_OF_FIRST_TOKEN = 0.5


class ClassTargets(NamedTuple):
    """Targets that operators give to a class of work.

    Parameters
    ----------
    first_token_ms : float
        Time from arrival, or from the end of the allowed wait, to the first
        token.
    gap_ms : float
        Time between two tokens.
    resume_ms : float
        Time from the death of a backend server until the stream goes on.
    may_wait_ms : float
        Time that a request may spend in a queue on top of `first_token_ms`.
    """

    first_token_ms: float
    gap_ms: float
    resume_ms: float
    may_wait_ms: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class ClassPolicy:
    """What the scheduler does with the requests of one class.

    Parameters
    ----------
    name : str
    rank : int
        Position in the order of service; 0 is served first. Classes with equal
        patience share a rank.
    engine_priority : int
        Priority sent to engines; 0 is served first.
    first_token_limit_s : float
        Latest first token after arrival that still meets the targets, seconds.
    queue_limit_s : float
        Longest time in the queue of an instance, seconds.
    gap_limit_ms : float
        Gap between tokens up to which a batch may grow, milliseconds.
    reserved_share : float
        Largest share of the slots of a backend server that is kept free of less
        urgent classes for this one.
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


def compute_patience_ms(targets: ClassTargets) -> float:
    """Return how long after its arrival a request may get its first token.

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
        By name of class, the most urgent first.
    """
    if not targets:
        return {}
    patience = {name: compute_patience_ms(each) for name, each in targets.items()}
    ranks = {value: rank for rank, value in enumerate(sorted(set(patience.values())))}
    longest = max(patience.values())
    urgent = sum(1 for value in patience.values() if value < longest)
    ordered = sorted(targets, key=lambda name: (patience[name], name))
    return {
        name: _derive_policy(
            name,
            targets[name],
            rank=ranks[patience[name]],
            urgency=1.0 - patience[name] / longest if longest else 0.0,
            urgent_classes=urgent,
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
    queue_ms = targets.may_wait_ms + targets.first_token_ms * QUEUE_SHARE_OF_FIRST_TOKEN
    reserved = MAX_RESERVED_SHARE * urgency / urgent_classes if urgent_classes else 0.0
    return ClassPolicy(
        name=name,
        rank=rank,
        engine_priority=rank,
        first_token_limit_s=compute_patience_ms(targets) / MS_PER_S,
        queue_limit_s=queue_ms / MS_PER_S,
        gap_limit_ms=targets.gap_ms * GAP_HEADROOM,
        reserved_share=reserved,
        resume_limit_s=targets.resume_ms / MS_PER_S,
    )
