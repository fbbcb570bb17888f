"""Retry budgets of services over a sliding window."""

from __future__ import annotations

import math
from collections import deque

import attrs

WINDOW_BUCKETS = 20
USABLE_ALLOWANCE_SHARE = 0.85  # buckets only approximate the sliding window


@attrs.define(slots=True)
class _Bucket:
    """Counts of one interval of the window.

    Parameters
    ----------
    number : float
        Number of the interval, counted from clock time 0.
    requests, retries : int
    """

    number: float
    requests: int = 0
    retries: int = 0


class ServiceRetryBudget:
    """Retry budget of one instance, a share of the budget of all instances.

    The limit applies to each service over any time span as long as the window, for
    all instances together. The proportional allowance follows the requests that this
    instance accepts; the fixed allowance is divided equally among the instances.

    Parameters
    ----------
    ratio : float
        Retries per request in the window.
    window_s : float
        Length of the window, seconds.
    slack : float
        Additional retries per window, for all instances together.
    started_at : float
        Start of this instance, seconds. Its share of the slack grows over the first
        window, because its predecessor may have used it.

    Attributes
    ----------
    instances : int
        Instances that share the fixed allowance.
    """

    __slots__ = ("_counts", "_ratio", "_slack", "_started_at", "_window_s", "instances")

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: float,
        started_at: float = -math.inf,
    ):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._started_at = started_at
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
        self._get_bucket(service, now).requests += 1

    def acquire_retry(self, service: str, now: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        service : str
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the budget allows the retry.
        """
        bucket = self._get_bucket(service, now)
        counts = self._counts[service]
        requests = sum(each.requests for each in counts)
        retries = sum(each.retries for each in counts)
        slack = self._slack / max(1, self.instances)
        slack *= min(1.0, (now - self._started_at) / self._window_s)
        allowed = self._ratio * requests + slack
        if retries + 1 > USABLE_ALLOWANCE_SHARE * allowed:
            return False
        bucket.retries += 1
        return True

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that never reached a server to the budget.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        self._get_bucket(service, now).retries -= 1

    def _get_bucket(self, service: str, now: float) -> _Bucket:
        width_s = self._window_s / WINDOW_BUCKETS
        number = now // width_s
        counts = self._counts.setdefault(service, deque())
        while counts and counts[0].number <= number - WINDOW_BUCKETS:
            counts.popleft()
        if not counts or counts[-1].number != number:
            counts.append(_Bucket(number))
        return counts[-1]
