"""Limits on the attempts of a request with a single response."""

from __future__ import annotations

import attrs
from ebonyhaven_decisions.forwarding import Route

# Share of the target latency before hedging; the hedge may still meet the target.
HEDGE_DELAY_TARGET_SHARE = 0.5
MIN_TARGET_LATENCY_S = 0.05
MAX_REFUSALS = 4  # by backend servers, before the request itself is refused


@attrs.define(slots=True)
class CallLimits:
    """Counts the attempts of a request and decides whether there is another one.

    Parameters
    ----------
    route : Route
    earlier_runs : int
        Servers that may have run the request through another instance.

    Attributes
    ----------
    possible_runs : int
        Servers that may have run the request.
    attempts : int
        Attempts whose request was sent, or is being sent, by any instance.
    unreached : int
        Attempts that were not sent although the server may get requests.
    refusals : int
        Servers that refused the request.
    is_budget_exhausted : bool
        Whether the retry budget allowed no further attempt.
    is_unsendable : bool
        Whether no server can get the request.
    """

    _route: Route
    _earlier_runs: int = attrs.field(kw_only=True)
    possible_runs: int = attrs.field(init=False)
    attempts: int = attrs.field(init=False)
    unreached: int = attrs.field(default=0, init=False)
    refusals: int = attrs.field(default=0, init=False)
    is_budget_exhausted: bool = attrs.field(default=False, init=False)
    is_unsendable: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self.possible_runs = self.attempts = self._earlier_runs

    @property
    def is_retry(self) -> bool:
        """Whether an attempt now would follow another one."""
        return self.attempts > 0

    @property
    def hedge_delay_s(self) -> float:
        """Time without an answer after which a second server is asked, seconds."""
        target_s = max(self._route.target_latency_s, MIN_TARGET_LATENCY_S)
        return HEDGE_DELAY_TARGET_SHARE * target_s

    def is_exhausted(self) -> bool:
        """Return whether no further attempt is allowed."""
        if self.is_budget_exhausted or self.is_unsendable:
            return True
        if self.refusals >= MAX_REFUSALS:
            return True
        return self.possible_runs > 0 and not self._can_retry()

    def can_hedge(self) -> bool:
        """Return whether a second attempt may run beside the first one."""
        return self._route.may_retry and self.attempts < self._route.max_attempts

    def _can_retry(self) -> bool:
        return self._route.may_retry and self.possible_runs < self._route.max_attempts
