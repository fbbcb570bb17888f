"""Who waits for room at model engines, who goes first, and who is refused.

Decisions without input, output or clock.
"""

from ebonyhaven_decisions.forwarding.waiting._forecasts import (
    WaitForecast,
    choose_retry_after_s,
    estimate_freed_tokens_per_s,
    forecast_wait,
    limit_patience_s,
)
from ebonyhaven_decisions.forwarding.waiting._lines import (
    WaitingLine,
    WaitingStream,
)
from ebonyhaven_decisions.forwarding.waiting._ranks import (
    NEWS_TTL_S,
    RANK_MEMORY_S,
    RANKS,
    PeerRanks,
    RankActivity,
    RankNews,
    limit_rank,
)
from ebonyhaven_decisions.forwarding.waiting._reserves import (
    leaves_time_to_urgent,
    limit_memory_share,
)
from ebonyhaven_decisions.forwarding.waiting._scarce_room import (
    ScarceRoom,
    count_places,
)

__all__ = [
    "NEWS_TTL_S",
    "RANKS",
    "RANK_MEMORY_S",
    "PeerRanks",
    "RankActivity",
    "RankNews",
    "ScarceRoom",
    "WaitForecast",
    "WaitingLine",
    "WaitingStream",
    "choose_retry_after_s",
    "count_places",
    "estimate_freed_tokens_per_s",
    "forecast_wait",
    "leaves_time_to_urgent",
    "limit_memory_share",
    "limit_patience_s",
    "limit_rank",
]
