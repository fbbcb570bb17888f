"""Bound on the repeats of a service's requests."""

from __future__ import annotations

from collections import deque

import attrs

BUCKETS = 20
SAFETY = 0.85  # of the allowance: windows slide, and counts here go by steps


@attrs.define(slots=True)
class _Bucket:
    """Counts of one step of the window.

    Parameters
    ----------
    number : float
        Steps since the start of the clock.
    """

    number: float
    requests: int = 0
    repeats: int = 0


class ServiceRetryBudget:
    """Share of this instance in what all instances may repeat.

    The bound holds for any span of a window's length over all instances
    together. The part that follows the requests is proportional to the requests
    that this instance takes; the fixed part is split between the instances.

    Parameters
    ----------
    ratio : float
        Repeats for each request of the window.
    window_s : float
        Length of the window, seconds.
    slack : float
        Repeats that are allowed on top, for all instances together.
    """

    __slots__ = ("_counts", "_ratio", "_slack", "_window_s", "instances")

    def __init__(self, *, ratio: float, window_s: float, slack: float):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._counts: dict[str, deque[_Bucket]] = {}
        self.instances = 1

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        self._bucket(service, now).requests += 1

    def acquire_retry(self, service: str, now: float) -> bool:
        """Spend one repeat.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the bound allows it.
        """
        bucket = self._bucket(service, now)
        counts = self._counts[service]
        requests = sum(each.requests for each in counts)
        repeats = sum(each.repeats for each in counts)
        allowed = self._ratio * requests + self._slack / max(1, self.instances)
        if repeats + 1 > SAFETY * allowed:
            return False
        bucket.repeats += 1
        return True

    def refund_retry(self, service: str, now: float) -> None:
        """Take back a repeat that never reached a server.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        self._bucket(service, now).repeats -= 1

    def _bucket(self, service: str, now: float) -> _Bucket:
        width_s = self._window_s / BUCKETS
        number = now // width_s
        counts = self._counts.setdefault(service, deque())
        while counts and counts[0].number <= number - BUCKETS:
            counts.popleft()
        if not counts or counts[-1].number != number:
            counts.append(_Bucket(number))
        return counts[-1]
