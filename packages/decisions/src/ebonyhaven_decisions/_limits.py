"""Adaptive concurrency of a backend server, and the budget of retries."""

from __future__ import annotations

from collections import OrderedDict

import attrs

INITIAL_SLOTS = 8.0
MIN_SLOTS = 1.0
LIMIT_SMOOTHING = 0.3
LIMIT_GROWTH = 1.25
BUSY_SHARE = 0.75

RETRIES_PER_REQUEST = 0.1
RETRY_BUDGET_MAX = 5.0
RETRY_BUDGET_INITIAL = 1.0
RETRY_COST = 1.0
MAX_RETRY_BUDGETS = 4096


@attrs.define(slots=True, kw_only=True)
class ConcurrencyLimit:
    """Number of sequences up to which a backend server keeps the gap target.

    The limit moves with the observed pace: towards the number of sequences that
    would stretch the pace to the target when the batch is well used, and down
    at once when the pace is over the target.

    Parameters
    ----------
    slots : float
        Present limit, sequences.
    """

    slots: float = INITIAL_SLOTS
    _is_known: bool = attrs.field(default=False, init=False)

    def record_capacity(self, capacity: int) -> None:
        """Take over the capacity that the server reports.

        Parameters
        ----------
        capacity : int
            Sequences that the server runs at once.
        """
        if not self._is_known:
            self._is_known = True
            self.slots = max(MIN_SLOTS, float(capacity))
        self.slots = min(self.slots, float(capacity))

    def record_pace(
        self, *, running: int, pace_ms: float, gap_limit_ms: float, capacity: int
    ) -> None:
        """Adapt the limit to an observed pace.

        Parameters
        ----------
        running : int
            Sequences that ran when the pace was measured.
        pace_ms : float
            Gap between tokens, milliseconds.
        gap_limit_ms : float
            Largest gap that is allowed, milliseconds.
        capacity : int
            Sequences that the server runs at most.
        """
        if running < 1 or pace_ms <= 0.0:
            return
        is_over = pace_ms > gap_limit_ms
        if not is_over and running < self.slots * BUSY_SHARE:
            return
        wanted = running * gap_limit_ms / pace_ms
        wanted = min(wanted, self.slots * LIMIT_GROWTH + 1.0)
        if is_over:
            wanted = min(wanted, self.slots)
        moved = self.slots + LIMIT_SMOOTHING * (wanted - self.slots)
        self.slots = min(max(moved, MIN_SLOTS), float(capacity))


class RetryBudget:
    """Bounds the retries of each class and workspace by its first attempts.

    Each first attempt earns a tenth of a retry, so that lost backend servers
    cannot multiply the load on the others.
    """

    __slots__ = ("_balances", "attempts", "refused", "retries")

    def __init__(self) -> None:
        self._balances: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.attempts = 0
        self.retries = 0
        self.refused = 0

    def record_attempt(self, class_name: str, workspace: str) -> None:
        """Earn a share of a retry by a first attempt.

        Parameters
        ----------
        class_name, workspace : str
        """
        self.attempts += 1
        balance = self._read(class_name, workspace) + RETRIES_PER_REQUEST
        self._store(class_name, workspace, min(balance, RETRY_BUDGET_MAX))

    def take_retry(self, class_name: str, workspace: str) -> bool:
        """Spend one retry.

        Parameters
        ----------
        class_name, workspace : str

        Returns
        -------
        bool
            Whether the budget allowed it.
        """
        balance = self._read(class_name, workspace)
        if balance < RETRY_COST:
            self.refused += 1
            return False
        self.retries += 1
        self._store(class_name, workspace, balance - RETRY_COST)
        return True

    def _read(self, class_name: str, workspace: str) -> float:
        return self._balances.get((class_name, workspace), RETRY_BUDGET_INITIAL)

    def _store(self, class_name: str, workspace: str, balance: float) -> None:
        self._balances[class_name, workspace] = balance
        self._balances.move_to_end((class_name, workspace))
        if len(self._balances) > MAX_RETRY_BUDGETS:
            self._balances.popitem(last=False)
