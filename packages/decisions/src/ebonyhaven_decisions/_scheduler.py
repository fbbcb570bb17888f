"""Admission, queueing and dispatch of one instance behind one interface."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from ebonyhaven_decisions._admission import (
    MAX_QUEUED,
    Admission,
    Forecast,
    ServiceRate,
    forecast_service,
)
from ebonyhaven_decisions._dispatching import Dispatcher
from ebonyhaven_decisions._limits import RetryBudget
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._queueing import LaneKey, WorkQueue
from ebonyhaven_decisions._servers import DEFAULT_PREFILL_TOKENS_PER_S
from ebonyhaven_decisions._usage import UsageEntry
from ebonyhaven_decisions._work import (
    Dispatch,
    Refusal,
    RefusalReason,
    WorkItem,
    compute_cost,
)

MAX_RECHECKED = 256
RETRY_LANE_S = 0.1
NO_SERVER_RETRY_S = 1.0
MIN_FLIGHTS_FOR_RATE = 4
FRESH_EXCLUDED: frozenset[str] = frozenset()


class Decisions(NamedTuple):
    """What the node has to do now.

    Parameters
    ----------
    dispatches : list of Dispatch
        Requests to send; they are counted as running already.
    refusals : list of Refusal
        Requests to answer as not run.
    """

    dispatches: list[Dispatch]
    refusals: list[Refusal]


class _Block(NamedTuple):
    changes: int
    since: float


class Scheduler:
    """Decides when and where the requests of an instance run.

    The caller runs `next_dispatches` after each call that may free or fill a
    server, and at the time given by `read_next_timeout`.

    Parameters
    ----------
    dispatcher : Dispatcher
        Servers and running requests; its ``record_*`` methods are called
        directly.
    queue : WorkQueue
    admission : Admission
    random_source : random.Random
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        *,
        queue: WorkQueue,
        admission: Admission,
        random_source: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.retry_budget = RetryBudget()
        self._queue = queue
        self._admission = admission
        self._random = random_source
        self._timeouts: list[tuple[float, str]] = []
        self._queued: dict[str, WorkItem] = {}
        self._fresh: dict[str, WorkItem] = {}
        self._excluded: dict[str, Set[str]] = {}
        self._blocked: dict[LaneKey, _Block] = {}
        self._checked_losses = 0
        self._must_recheck = False

    def __len__(self) -> int:
        return len(self._queue)

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Take over the policies of a new configuration.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        """
        self.dispatcher.policies = policies
        self.dispatcher.changes += 1
        self._queue.replace_policies(policies)
        self._must_recheck = True

    def submit(self, item: WorkItem, now: float) -> Refusal | None:
        """Queue a request; `next_dispatches` decides about it.

        Parameters
        ----------
        item : WorkItem
        now : float
            Seconds.

        Returns
        -------
        Refusal or None
        """
        policy = self.dispatcher.policies.get(item.class_name)
        if policy is None:
            return self._admission.refuse(item, RefusalReason.UNKNOWN_CLASS, 0.0)
        if len(self._queue) >= MAX_QUEUED:
            return self._admission.refuse(item, RefusalReason.QUEUE_FULL, 0.0)
        self.retry_budget.record_attempt(item.class_name, item.workspace)
        self._enqueue(item, policy, now)
        return None

    def requeue(self, item: WorkItem, excluded: Set[str], now: float) -> Refusal | None:
        """Queue a request again that is known not to have run.

        Parameters
        ----------
        item : WorkItem
        excluded : set of str
            Servers that must not be chosen.
        now : float
            Seconds.

        Returns
        -------
        Refusal or None
            A refusal when the retry budget is spent.
        """
        policy = self.dispatcher.policies.get(item.class_name)
        if policy is None:
            return self._admission.refuse(item, RefusalReason.UNKNOWN_CLASS, 0.0)
        if not self.retry_budget.take_retry(item.class_name, item.workspace):
            return self._admission.refuse(
                item, RefusalReason.RETRY_BUDGET, NO_SERVER_RETRY_S
            )
        self._excluded[item.item_id] = excluded
        self._enqueue(item, policy, now)
        return None

    def cancel(self, item_id: str, now: float) -> None:
        """Forget a request whose caller left, waiting or running.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.
        """
        self._dequeue(item_id)
        self.dispatcher.record_end(item_id, now, is_whole=False)

    def next_dispatches(self, now: float) -> Decisions:
        """Return the requests to send and those to give up.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        Decisions
        """
        refusals = self._collect_expired(now)
        dispatches: list[Dispatch] = []
        for lane in self._queue.list_lanes():
            self._drain_lane(lane, dispatches, now)
        refusals.extend(self._collect_hopeless(now))
        return Decisions(dispatches, refusals)

    def read_next_timeout(self) -> float:
        """Return when a waiting request expires, seconds; infinite for none."""
        while self._timeouts and self._timeouts[0][1] not in self._queued:
            heapq.heappop(self._timeouts)
        return self._timeouts[0][0] if self._timeouts else math.inf

    def build_usage_digest(self, now: float) -> list[UsageEntry]:
        """Return the digest of consumption for the other instances."""
        queued = self._queue.sum_queued()
        return self.dispatcher.ledger.build_digest(queued, now, self._random)

    def merge_usage_digest(
        self, peer: str, entries: Sequence[UsageEntry], now: float
    ) -> None:
        """Take over the digest of consumption of another instance."""
        self.dispatcher.ledger.merge_digest(peer, entries, now)

    def _enqueue(self, item: WorkItem, policy: ClassPolicy, now: float) -> None:
        limit_s = self._admission.compute_queue_limit_s(policy)
        expires_at = min(item.arrival + limit_s, item.deadline)
        heapq.heappush(self._timeouts, (expires_at, item.item_id))
        self._queued[item.item_id] = item
        self._fresh[item.item_id] = item
        self._queue.push(item, self._estimate_cost(item), now)

    def _dequeue(self, item_id: str) -> None:
        if self._queued.pop(item_id, None) is None:
            return
        self._queue.remove(item_id)
        self._fresh.pop(item_id, None)
        self._excluded.pop(item_id, None)

    def _drain_lane(
        self, lane: LaneKey, dispatches: list[Dispatch], now: float
    ) -> None:
        if self._is_blocked(lane, now):
            return
        while (item := self._queue.peek(lane)) is not None:
            yields = self._queue.must_yield(lane, now)
            excluded = self._excluded.get(item.item_id, FRESH_EXCLUDED)
            choice = self.dispatcher.choose(
                item, excluded=excluded, yields=yields, now=now
            )
            if choice is None:
                if not excluded and not yields:
                    self._blocked[lane] = _Block(self.dispatcher.changes, now)
                return
            self._dequeue(item.item_id)
            dispatches.append(self.dispatcher.dispatch(item, choice, now))

    def _is_blocked(self, lane: LaneKey, now: float) -> bool:
        block = self._blocked.pop(lane, None)
        if block is None or block.changes != self.dispatcher.changes:
            return False
        if now - block.since >= RETRY_LANE_S:
            return False
        self._blocked[lane] = block
        return True

    def _collect_expired(self, now: float) -> list[Refusal]:
        refusals = []
        while self.read_next_timeout() <= now:
            _, item_id = heapq.heappop(self._timeouts)
            item = self._queued[item_id]
            self._dequeue(item_id)
            wait_s = self._forecast(item, now).queue_s
            refusals.append(
                self._admission.refuse(item, RefusalReason.QUEUE_TIMEOUT, wait_s)
            )
        return refusals

    def _collect_hopeless(self, now: float) -> list[Refusal]:
        """Refuse what cannot meet its targets any more.

        New requests are checked once; all are checked again after a loss.
        """
        losses = self.dispatcher.losses
        candidates = list(self._fresh.values())
        if self._must_recheck or losses != self._checked_losses:
            candidates = list(self._queued.values())[-MAX_RECHECKED:]
        self._must_recheck = False
        self._checked_losses = losses
        self._fresh.clear()
        checked = [self._check(item, now) for item in candidates]
        return [refusal for refusal in checked if refusal is not None]

    def _check(self, item: WorkItem, now: float) -> Refusal | None:
        policy = self.dispatcher.policies.get(item.class_name)
        if policy is None:
            self._dequeue(item.item_id)
            return self._admission.refuse(item, RefusalReason.UNKNOWN_CLASS, 0.0)
        if not self._has_servers(item, now):
            return self._check_without_server(item, policy)
        forecast = self._forecast(item, now)
        refusal = self._admission.check(item, policy, forecast, now)
        if refusal is not None:
            self._dequeue(item.item_id)
        return refusal

    def _check_without_server(
        self, item: WorkItem, policy: ClassPolicy
    ) -> Refusal | None:
        if self._admission.compute_queue_limit_s(policy) > NO_SERVER_RETRY_S:
            return None
        self._dequeue(item.item_id)
        return self._admission.refuse(item, RefusalReason.NO_SERVER, NO_SERVER_RETRY_S)

    def _has_servers(self, item: WorkItem, now: float) -> bool:
        servers = self.dispatcher.table.list_for(item.model)
        return any(server.is_usable(now) for server in servers)

    def _forecast(self, item: WorkItem, now: float) -> Forecast:
        cost = self._estimate_cost(item)
        ahead = self._queue.estimate_tokens_ahead(item, cost, now)
        if item.item_id in self._queued:
            ahead = max(ahead - cost, 0.0)
        flights = self.dispatcher.flights
        policy = self.dispatcher.policies.get(item.class_name)
        names = self.dispatcher.list_not_more_urgent(policy) if policy else []
        mean_cost = flights.read_mean_cost(item.class_name) or cost
        ends_per_s = flights.sum_ends_per_s(names)
        if len(flights) < MIN_FLIGHTS_FOR_RATE:
            ends_per_s = max(
                ends_per_s,
                self.dispatcher.estimate_share_ends_per_s(item.model, mean_cost, now),
            )
        ahead = max(ahead, self._estimate_own_ahead(item, cost, ends_per_s, now))
        rate = ServiceRate(
            ends_per_s=ends_per_s,
            mean_cost=mean_cost,
            pace_ms=flights.pace_ms,
            prefill_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S,
        )
        return forecast_service(
            item,
            tokens_ahead=ahead,
            output_tokens=flights.estimate_output(item),
            rate=rate,
        )

    def _estimate_own_ahead(
        self, item: WorkItem, cost: float, ends_per_s: float, now: float
    ) -> float:
        """Return the service ahead at the speed of the workspace alone.

        Those who were served less go first, now and when they arrive later, so
        one that was not is served at its own present speed.
        """
        if self.dispatcher.is_underserved(item, now):
            return 0.0
        own_ends_per_s = self.dispatcher.flights.estimate_workspace_ends_per_s(
            item.class_name, item.workspace
        )
        if own_ends_per_s <= 0.0:
            return 0.0
        backlog = max(self._queue.read_backlog(item) - cost, 0.0)
        return backlog * ends_per_s / own_ends_per_s

    def _estimate_cost(self, item: WorkItem) -> float:
        output = self.dispatcher.flights.estimate_output(item)
        return compute_cost(item.prompt_tokens, output)
