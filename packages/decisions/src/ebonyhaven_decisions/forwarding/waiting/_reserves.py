"""What each rank of requests may fill of an engine.

Designed for a burst of the least urgent requests. Their targets are long, so that they
queue on engines until a prompt of a more urgent request behind them is late, and fill
the memory until there is no room for one.
"""

from __future__ import annotations

from collections.abc import Sequence


def limit_memory_share(
    memory_share: float,
    *,
    tokens: int,
    memory_tokens: int,
    more_urgent_ranks: int,
) -> float:
    """Return the share of an engine's memory that a prompt of a rank may use.

    It leaves room for a run of its own size for each more urgent rank.

    Parameters
    ----------
    memory_share : float
        Share without regard to ranks.
    tokens : int
        Engine memory that the run requires.
    memory_tokens : int
        Memory capacity of the engine.
    more_urgent_ranks : int
        Number of more urgent ranks that are present.
    """
    reserved = more_urgent_ranks * tokens / memory_tokens
    # An engine with no other run takes the prompt in any case; one token more keeps
    # rounding from refusing it.
    own_share = (tokens + 1) / memory_tokens
    return max(memory_share - reserved, min(memory_share, own_share))


def leaves_time_to_urgent(
    *, queue_s: float, prompt_s: float, more_urgent_targets: Sequence[float]
) -> bool:
    """Return whether a more urgent prompt behind a prompt would meet its target.

    Parameters
    ----------
    queue_s : float
        Time to prefill the prompts queued on the engine and this one; 0 if the engine
        has no queued prompt.
    prompt_s : float
        Time to prefill this prompt alone; another one takes about as long.
    more_urgent_targets : sequence of float
        Targets of the more urgent ranks that are present, seconds.
    """
    return queue_s == 0.0 or all(
        queue_s + prompt_s <= target_s for target_s in more_urgent_targets
    )
