"""Requests of each route in the time before an order.

Designed for a route whose callers pause while a new version is compared: the answers of
the other routes say nothing of it, and its callers come back.
"""

from __future__ import annotations

import math
from collections import Counter

TRAFFIC_SPAN_S = 30.0  # for which a request counts at least, and twice that at most


class RouteTraffic:
    """Answers by service and route of the last one to two spans."""

    __slots__ = ("_before", "_current", "_span")

    def __init__(self) -> None:
        self._current: dict[str, Counter] = {}
        self._before: dict[str, Counter] = {}
        self._span = -math.inf

    def record(self, service: str, route: str, now: float) -> None:
        """Record that a request had an answer.

        Parameters
        ----------
        service, route : str
        now : float
            Seconds.
        """
        self._advance(now)
        self._current.setdefault(service, Counter())[route] += 1

    def read(self, service: str, now: float) -> dict[str, int]:
        """Return the recent answers of a service's routes.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        dict of str to int
            By route.
        """
        self._advance(now)
        empty: Counter = Counter()
        return dict(
            self._current.get(service, empty) + self._before.get(service, empty)
        )

    def _advance(self, now: float) -> None:
        span = now // TRAFFIC_SPAN_S
        if span == self._span:
            return
        self._before = self._current if span == self._span + 1 else {}
        self._current = {}
        self._span = span
