"""Adaptive concurrency limit of a backend server, and retry budgets."""

from __future__ import annotations

from collections import OrderedDict

import attrs

INITIAL_SLOTS = 8.0
MIN_SLOTS = 1.0
LIMIT_SMOOTHING_FACTOR = 0.3
LIMIT_GROWTH_FACTOR = 1.25
BUSY_SLOTS_SHARE = 0.75

RETRIES_PER_REQUEST = 0.1
MAX_BUDGETED_RETRIES = 5.0
INITIAL_BUDGETED_RETRIES = 1.0
RETRY_COST = 1.0
MAX_RETRY_BUDGETS = 4096  # the least recently used budget is evicted


@attrs.define(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Largest number of sequences at which a backend server meets the gap target.

    The limit follows the observed pace. While the batch is busy, it approaches
    the number of sequences whose pace would equal the target. While the pace
    exceeds the target, it decreases even if the batch is not busy.

    Parameters
    ----------
    slots : float
        Current limit, sequences.
    """

    slots: float = INITIAL_SLOTS
    _is_capacity_reported: bool = attrs.field(default=False, init=False)

    def record_capacity(self, capacity: int) -> None:
        """Apply the capacity that the server reports.

        Parameters
        ----------
        capacity : int
            Sequences that the server runs at most.
        """
        if not self._is_capacity_reported:
            self._is_capacity_reported = True
            self.slots = max(MIN_SLOTS, float(capacity))
        self.slots = min(self.slots, float(capacity))

    def record_pace(
        self, *, running: int, pace_ms: float, gap_limit_ms: float, capacity: int
    ) -> None:
        """Adjust the limit to an observed pace.

        Parameters
        ----------
        running : int
            Sequences that were running when the pace was measured.
        pace_ms : float
            Gap between tokens, milliseconds.
        gap_limit_ms : float
            Largest allowed gap between tokens, milliseconds.
        capacity : int
            Sequences that the server runs at most.
        """
        if running < 1 or pace_ms <= 0.0:
            return
        exceeds_target = pace_ms > gap_limit_ms
        if not exceeds_target and running < self.slots * BUSY_SLOTS_SHARE:
            return
        target_slots = running * gap_limit_ms / pace_ms
        target_slots = min(target_slots, self.slots * LIMIT_GROWTH_FACTOR + 1.0)
        if exceeds_target:
            target_slots = min(target_slots, self.slots)
        smoothed = self.slots + LIMIT_SMOOTHING_FACTOR * (target_slots - self.slots)
        self.slots = min(max(smoothed, MIN_SLOTS), float(capacity))


class RetryBudget:
    """Limits the retries of each class and workspace by its first attempts.

    Each first attempt adds a tenth of a retry to the budget, so the retries after
    the loss of backend servers cannot multiply the load on the others.
    """

    __slots__ = ("_balances", "attempts", "refused", "retries")

    def __init__(self) -> None:
        self._balances: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.attempts = 0
        self.retries = 0
        self.refused = 0

    def record_first_attempt(self, class_name: str, workspace: str) -> None:
        """Add a fraction of a retry to the budget for a first attempt.

        Parameters
        ----------
        class_name, workspace : str
        """
        self.attempts += 1
        balance = self._read(class_name, workspace) + RETRIES_PER_REQUEST
        self._store(class_name, workspace, min(balance, MAX_BUDGETED_RETRIES))

    def acquire_retry(self, class_name: str, workspace: str) -> bool:
        """Spend one retry if the budget allows it.

        Parameters
        ----------
        class_name, workspace : str

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        balance = self._read(class_name, workspace)
        if balance < RETRY_COST:
            self.refused += 1
            return False
        self.retries += 1
        self._store(class_name, workspace, balance - RETRY_COST)
        return True

    def _read(self, class_name: str, workspace: str) -> float:
        return self._balances.get((class_name, workspace), INITIAL_BUDGETED_RETRIES)

    def _store(self, class_name: str, workspace: str, balance: float) -> None:
        self._balances[class_name, workspace] = balance
        self._balances.move_to_end((class_name, workspace))
        if len(self._balances) > MAX_RETRY_BUDGETS:
            self._balances.popitem(last=False)
