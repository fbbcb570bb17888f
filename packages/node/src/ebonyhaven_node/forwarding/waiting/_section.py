"""Section of the reports between instances: what waits, by service and rank."""

from __future__ import annotations

import math

from ebonyhaven_decisions import check_number
from ebonyhaven_decisions.forwarding.waiting import RANKS, RankNews

from ebonyhaven_node.forwarding._peer_sections import PeerSection
from ebonyhaven_node.forwarding.waiting._state import WaitingState

MS_PER_S = 1000.0
NONE = -1  # a target or time that does not exist
WAITING_INTERVAL_S = 0.25  # between two tellings while streams wait
RANKS_INTERVAL_S = 2.0  # while none waits; peers keep a rank for longer


class WaitingSection(PeerSection):
    """Tells peers how many streams of each rank wait, and which ranks are present.

    Parameters
    ----------
    state : WaitingState
        Takes what peers tell.
    """

    code = "waiting"

    def __init__(self, state: WaitingState):
        self._state = state
        self._told_at = -math.inf

    def collect(self, now: float) -> object | None:
        is_waiting = any(self._state.count_by_rank())
        interval_s = WAITING_INTERVAL_S if is_waiting else RANKS_INTERVAL_S
        if now - self._told_at < interval_s:
            return None
        payload = {}
        for service, waiting in self._state.items():
            news = waiting.own_ranks.tell(waiting.line.count_by_rank(RANKS), now)
            if news is not None:
                payload[service] = [_encode(each) for each in news]
        if payload:
            self._told_at = now
        return payload or None

    def merge(self, sender: str, payload: object, now: float) -> None:
        decoded = {
            str(service): [_decode(*fields[:3]) for fields in ranks[:RANKS]]
            for service, ranks in payload.items()
        }
        for service, news in decoded.items():
            waiting = self._state.get(service)
            waiting.peers.record(sender, news, now)
            for rank, each in enumerate(news):
                if math.isfinite(each.idle_s):
                    waiting.ranks.record(rank, each.target_s, now - each.idle_s)


def _encode(news: RankNews) -> list[int]:
    return [news.waiting, _to_ms(news.target_s), _to_ms(news.idle_s)]


def _decode(waiting: object, target_ms: object, idle_ms: object) -> RankNews:
    return RankNews(
        max(0, int(check_number(waiting))), _to_s(target_ms), _to_s(idle_ms)
    )


def _to_ms(seconds: float) -> int:
    return round(MS_PER_S * seconds) if math.isfinite(seconds) else NONE


def _to_s(milliseconds: object) -> float:
    value = check_number(milliseconds)
    return value / MS_PER_S if value >= 0 else math.inf
