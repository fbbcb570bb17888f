"""Section of the reports between instances with orders and stages of roll-outs."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ebonyhaven_decisions import check_integer
from ebonyhaven_decisions.forwarding.rollouts import (
    RolloutBook,
    StoredStage,
    decode_order,
    decode_stage,
    encode_order,
    encode_stage,
)

from ebonyhaven_node.forwarding._peer_sections import PeerSection

LINGER_S = 8.0  # after the end of a roll-out, for instances that missed the message


class StageSection(PeerSection):
    """Tells other instances of orders, stages and orders that were taken back.

    All instances get the report after a change; the interval of the reports covers
    messages that were lost.

    Parameters
    ----------
    book : RolloutBook
    list_instances : callable
        Returns the names of all instances.
    """

    code = "rs"

    def __init__(self, book: RolloutBook, list_instances: Callable[[], Iterable[str]]):
        self._book = book
        self._list_instances = list_instances
        self._has_news = False
        self._ended_at: float | None = None

    def announce(self) -> None:
        """Have the next report sent to all instances."""
        self._has_news = True
        self._ended_at = None

    def collect(self, now: float) -> object | None:
        """See `PeerSection.collect`."""
        book = self._book
        if not self._is_needed(now):
            return None
        services = book.list_services()
        orders = [book.find_order(each) for each in services]
        stages = [
            [encode_stage(stage), book.read_row_version(each)]
            for each in services
            if (stage := book.find_stage(each)) is not None
        ]
        return [
            [encode_order(each) for each in orders if each is not None],
            stages,
            [encode_order(each) for each in book.list_withdrawn()],
        ]

    def merge(self, sender: str, payload: object, now: float) -> None:
        """See `PeerSection.merge`."""
        orders, stages, withdrawn, *_ = payload
        for each in orders:
            self._book.put_order(decode_order(each))
        for values, row_version in stages:
            stage = decode_stage(values)
            self._book.merge_stage(StoredStage(stage, check_integer(row_version)))
        for each in withdrawn:
            self._book.merge_withdrawn(decode_order(each))

    def list_receivers(self) -> Iterable[str]:
        """See `PeerSection.list_receivers`."""
        has_news, self._has_news = self._has_news, False
        return self._list_instances() if has_news else ()

    def _is_needed(self, now: float) -> bool:
        if not self._book.list_services():
            return False
        if self._has_news or self._book.list_open():
            self._ended_at = None
            return True
        if self._ended_at is None:
            self._ended_at = now
        return now - self._ended_at < LINGER_S
