"""Graceful shutdown of an instance: what it still accepts, and what became of it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from ebonyhaven_decisions.forwarding import RequestKind, Route

from ebonyhaven_node.forwarding._exchanges import Exchange, ExchangeEnd
from ebonyhaven_node.forwarding._outcomes import NOT_RUN_STATUSES

STREAM_ADMISSION_GRACE_SHARE = 0.25  # a stream started later would be cut off
MAX_STREAM_ADMISSION_S = 2.5  # callers use other instances by then
SHUTDOWN_MARGIN_S = 0.6  # connections close this long before the process is killed
MAX_LOGGED_IDS = 20
REFUSED = "refused"


class Shutdown:
    """Times of the graceful shutdown of an instance.

    Parameters
    ----------
    grace_s : float
        Time from the start of the shutdown until the process is killed.
    clock : callable
        Returns seconds.
    """

    def __init__(self, grace_s: float, clock: Callable[[], float]):
        self._grace_s = grace_s
        self._clock = clock
        self._began_at: float | None = None
        self._stream_admission_s = min(
            STREAM_ADMISSION_GRACE_SHARE * grace_s, MAX_STREAM_ADMISSION_S
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the shutdown has begun."""
        return self._began_at is not None

    @property
    def closing_time(self) -> float:
        """Time at which open connections are closed, seconds."""
        return self._began_at + self._grace_s - SHUTDOWN_MARGIN_S

    def begin(self, asked_at: float | None = None) -> None:
        """Begin the shutdown now.

        Parameters
        ----------
        asked_at : float or None
            From which the grace period counts, seconds; None for now.
        """
        self._began_at = self._clock() if asked_at is None else asked_at

    def accepts(self, route: Route) -> bool:
        """Return whether a request that arrives now can finish before the end.

        Parameters
        ----------
        route : Route
        """
        if self._began_at is None:
            return True
        now = self._clock()
        if route.kind is RequestKind.STREAM:
            return now < self._began_at + self._stream_admission_s
        return not self.cuts(now + route.timeout_s)

    def cuts(self, deadline: float) -> bool:
        """Return whether the shutdown ends before a deadline.

        Parameters
        ----------
        deadline : float
            Seconds.
        """
        return self.is_leaving and self.closing_time <= deadline

    def limit_deadline(self, deadline: float) -> float:
        """Return a deadline, or the end of the shutdown if that is earlier.

        Parameters
        ----------
        deadline : float
            Seconds.
        """
        return min(deadline, self.closing_time) if self.is_leaving else deadline


class ShutdownReport:
    """Counts what became of requests while an instance shut down, for its log."""

    def __init__(self) -> None:
        self._counts: dict[str, Counter[str]] = {}
        self._ids: dict[str, list[str]] = {}

    def record(self, exchange: Exchange, kind: str, request_id: str | None) -> None:
        """Count a request that has ended.

        Parameters
        ----------
        exchange : Exchange
        kind : str
            Kind of the route, ``none`` without one.
        request_id : str or None
        """
        self._add(_name_end(exchange), kind, request_id)

    def summarize(self) -> dict[str, Any]:
        """Return counts by end and kind, and a few ids of those not answered."""
        fields: dict[str, Any] = {
            end: dict(counts) for end, counts in self._counts.items()
        }
        fields.update({f"{end}_ids": ids for end, ids in self._ids.items()})
        return fields

    def _add(self, end: str, kind: str, request_id: str | None) -> None:
        self._counts.setdefault(end, Counter())[kind] += 1
        if end == ExchangeEnd.ANSWERED.value or request_id is None:
            return
        ids = self._ids.setdefault(end, [])
        if len(ids) < MAX_LOGGED_IDS:
            ids.append(request_id)


def _name_end(exchange: Exchange) -> str:
    if exchange.end is ExchangeEnd.ANSWERED and exchange.status in NOT_RUN_STATUSES:
        return REFUSED
    end = exchange.end or ExchangeEnd.ABORTED
    return end.value
