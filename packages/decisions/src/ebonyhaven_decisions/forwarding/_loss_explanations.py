"""Whether what a request lacks explains the losses of servers under its traits."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from ebonyhaven_decisions.forwarding._losses import Loss
from ebonyhaven_decisions.forwarding._trait_survivals import TraitSurvivals


def is_explained(
    losses: Sequence[Loss],
    *,
    own: frozenset[str],
    survived_at: float,
    survivals: TraitSurvivals,
    max_crashes: int,
) -> bool:
    """Return whether a trait that a request lacks explains losses of one it has.

    Parameters
    ----------
    losses : sequence of Loss
        Those that count against the trait.
    own : frozenset of str
        All traits of the request.
    survived_at : float
        When servers last ran the trait that the losses count against, seconds.
    survivals : TraitSurvivals
    max_crashes : int
        Number of losses that block a trait.
    """
    smallest = min(losses, key=lambda loss: len(loss.traits))
    for other in smallest.traits - own:
        if survivals.get(other) <= survived_at and all(
            other in loss.traits for loss in losses
        ):
            return True
    if survived_at == -math.inf:
        return False
    # Some of what a server ran may not be known of each loss.
    min_explained = max(len(losses) - max_crashes + 1, max_crashes)
    found = Counter(trait for loss in losses for trait in loss.traits - own)
    return any(
        count >= min_explained and survivals.get(other) < survived_at
        for other, count in found.items()
    )
