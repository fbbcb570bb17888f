"""Retry budgets of services over a sliding window.

Designed for many instances with a few requests each. An equal share of the budget is
then a retry or two, so that streams whose engines are lost twice wait for the window to
pass while most of the budget of all is unused. As long as the instances together use
little of it, each may exceed its share.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import attrs

WINDOW_BUCKETS = 20
KEPT_WINDOWS = 2  # whose requests are averaged; those of one instance vary much
USABLE_ALLOWANCE_SHARE = 0.85  # buckets only approximate the sliding window
# Of the allowance of all, which processes that start together may use again: what their
# predecessors used is not known.
RESTART_ALLOWANCE_SHARE = 1.0 - USABLE_ALLOWANCE_SHARE
# With more in use by all instances, each keeps to its share. The rest covers retries
# that the reports do not show yet.
POOLED_ALLOWANCE_SHARE = 0.4
# Of which the use of all is extrapolated. With fewer instances, a share is enough.
MIN_REPORTING_PEERS = 12
# Losses reach many instances at the same moment: part of them are taken to need as many
# retries as this one since they reported.
LIKE_PEER_SHARE = 0.25
UNREPORTED_BUCKETS = 2  # for which most reports do not show the use yet
# Of the window, over which instances that started together begin to exceed their
# shares: longer than the reports of the first of them take.
POOL_OPENING_SHARE = 0.2
# Age after which the report of a peer is dropped. Peers report every second, unless
# connections to them are silent; then all may need retries at once.
USE_TTL_S = 1.2


class BudgetUse(NamedTuple):
    """Use of the retry budget of one service by one instance, within the window.

    Parameters
    ----------
    requests, retries : int
    """

    requests: int = 0
    retries: int = 0


class _PeerReport(NamedTuple):
    """What a peer told last.

    Parameters
    ----------
    at : float
        Seconds.
    uses : mapping of str to BudgetUse
        By service.
    is_settled : bool
        See `ServiceRetryBudget.is_settled`.
    """

    at: float
    uses: Mapping[str, BudgetUse]
    is_settled: bool


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
    instance accepts; the fixed allowance is divided equally among the instances. A
    share may be exceeded while the peers report that little of the budget of all is
    in use.

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
    rounding : float
        Random, 0 to 1. A young instance has one retry more with the probability of the
        fraction of its share, as the shares of many are below one retry each. It
        also spreads the moments from which instances exceed their shares.

    Attributes
    ----------
    instances : int
        Instances that share the fixed allowance.
    """

    __slots__ = (
        "_began_at",
        "_counts",
        "_peers",
        "_ratio",
        "_rounding",
        "_slack",
        "_started_at",
        "_window_s",
        "instances",
    )

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: float,
        started_at: float = -math.inf,
        rounding: float = 0.0,
    ):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._started_at = started_at
        self._rounding = rounding
        self._counts: dict[str, deque[_Bucket]] = {}
        self._began_at: dict[str, float] = {}  # first request or retry, by service
        self._peers: dict[str, _PeerReport] = {}
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
        if not self.has_retry(service, now):
            return False
        bucket.retries += 1
        return True

    def has_retry(self, service: str, now: float) -> bool:
        """Return whether the budget allows a retry.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        return self._has_share(service, now) or self._has_pool(service, now)

    def is_settled(self, now: float) -> bool:
        """Return whether this process is older than a window.

        What its predecessor used no longer counts then.

        Parameters
        ----------
        now : float
            Seconds.
        """
        return now - self._started_at >= self._window_s

    def record_peer(
        self,
        peer: str,
        uses: Mapping[str, BudgetUse],
        now: float,
        *,
        is_settled: bool = True,
    ) -> None:
        """Replace the report of a peer.

        Parameters
        ----------
        peer : str
        uses : mapping of str to BudgetUse
            By service.
        now : float
            Seconds.
        is_settled : bool
            What the peer tells of itself, see `is_settled`.
        """
        self._peers.pop(peer, None)  # keeps the reports in order of their age
        self._peers[peer] = _PeerReport(now, uses, is_settled)

    def read_uses(self, now: float) -> dict[str, BudgetUse]:
        """Return the use of this instance by service, for its peers.

        Parameters
        ----------
        now : float
            Seconds.
        """
        uses = {service: self._read_use(service, now) for service in self._counts}
        return {service: use for service, use in uses.items() if any(use)}

    def refund_retry(self, service: str, now: float) -> None:
        """Return a retry that never reached a server to the budget.

        Parameters
        ----------
        service : str
        now : float
            Seconds.
        """
        self._get_bucket(service, now).retries -= 1

    def _has_share(self, service: str, now: float) -> bool:
        use = self._read_use(service, now)
        slack = self._slack / max(1, self.instances)
        slack *= min(1.0, (now - self._started_at) / self._window_s)
        requests = min(use.requests, self._average_requests(service, now))
        allowed = self._ratio * requests + slack
        share = self._compute_usable_share(now) * allowed
        rounding = 0.0 if self.is_settled(now) else self._rounding
        return use.retries + 1 <= share + rounding

    def _compute_usable_share(self, now: float) -> float:
        """Return the share of its allowance that this instance may use.

        Soon after its start, the more of the instances are as young as it, as far as
        their reports tell, the less.
        """
        if self.is_settled(now):
            return USABLE_ALLOWANCE_SHARE
        reports = self._list_reports(now)
        young = 1 + sum(not each.is_settled for each in reports)
        share = RESTART_ALLOWANCE_SHARE * (1 + len(reports)) / young
        return min(USABLE_ALLOWANCE_SHARE, share)

    def _average_requests(self, service: str, now: float) -> float:
        """Return the average number of requests in the last windows."""
        windows = (now - self._began_at[service]) / self._window_s
        requests = sum(each.requests for each in self._counts[service])
        return requests / min(max(windows, 1.0), KEPT_WINDOWS)

    def _has_pool(self, service: str, now: float) -> bool:
        """Return whether all instances together use little of the budget.

        Unknown within a window of the start: if many start at the same time, what
        their predecessors used is in no report. They do not begin at the same moment
        to use more than their shares, as none would know of the others.
        """
        opening_s = POOL_OPENING_SHARE * self._rounding * self._window_s
        if not self.is_settled(now - opening_s):
            return False
        reports = self._list_reports(now)
        if len(reports) < MIN_REPORTING_PEERS:
            return False
        reported = [each.uses.get(service, BudgetUse()) for each in reports]
        own = self._read_use(service, now)
        scale = self.instances / (1 + len(reported))
        requests = scale * (own.requests + sum(use.requests for use in reported))
        retries = scale * (own.retries + sum(use.retries for use in reported))
        unreported = self._list_buckets(service, now, UNREPORTED_BUCKETS)
        own_unreported = sum(each.retries for each in unreported)
        retries += LIKE_PEER_SHARE * self.instances * own_unreported
        allowed = self._ratio * requests + self._slack
        return retries + 1 <= POOLED_ALLOWANCE_SHARE * allowed

    def _list_reports(self, now: float) -> list[_PeerReport]:
        """Return the reports that are not out of date."""
        while self._peers:
            peer, report = next(iter(self._peers.items()))
            if now - report.at <= USE_TTL_S:
                break
            del self._peers[peer]
        return list(self._peers.values())

    def _read_use(self, service: str, now: float) -> BudgetUse:
        counts = self._list_buckets(service, now, WINDOW_BUCKETS)
        return BudgetUse(
            sum(each.requests for each in counts), sum(each.retries for each in counts)
        )

    def _list_buckets(self, service: str, now: float, count: int) -> list[_Bucket]:
        """Return the buckets of the last intervals."""
        last = self._get_bucket(service, now).number
        return [each for each in self._counts[service] if each.number > last - count]

    def _get_bucket(self, service: str, now: float) -> _Bucket:
        width_s = self._window_s / WINDOW_BUCKETS
        number = now // width_s
        self._began_at.setdefault(service, now)
        counts = self._counts.setdefault(service, deque())
        while counts and counts[0].number <= number - KEPT_WINDOWS * WINDOW_BUCKETS:
            counts.popleft()
        if not counts or counts[-1].number != number:
            counts.append(_Bucket(number))
        return counts[-1]
