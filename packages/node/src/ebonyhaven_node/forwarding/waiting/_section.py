"""Section of the reports between instances: what waits, by service and rank."""

from __future__ import annotations

import math

from ebonyhaven_decisions import check_number
from ebonyhaven_decisions.forwarding.waiting import RANKS, RankNews

from ebonyhaven_node.forwarding._peer_sections import PeerSection
from ebonyhaven_node.forwarding.waiting._state import WaitingState

MS_PER_S = 1000.0
NONE = -1  # a target or time that does not exist


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

    def collect(self, now: float) -> object | None:
        payload = {}
        for service, waiting in self._state.items():
            news = waiting.own_ranks.tell(waiting.line.count_by_rank(RANKS), now)
            if news is not None:
                payload[service] = [_encode(each) for each in news]
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
