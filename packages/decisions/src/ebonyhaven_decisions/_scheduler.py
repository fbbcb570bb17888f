"""Scheduler of an instance: admission, queueing and dispatch."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from ebonyhaven_decisions._admission import (
    MAX_QUEUED_REQUESTS,
    Admission,
    Forecast,
    ServiceRate,
    forecast_service,
)
from ebonyhaven_decisions._dispatching import Dispatcher
from ebonyhaven_decisions._limits import RetryBudget
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._queueing import SubqueueKey, WorkQueue
from ebonyhaven_decisions._servers import DEFAULT_PREFILL_TOKENS_PER_S
from ebonyhaven_decisions._usage import UsageEntry
from ebonyhaven_decisions._work import (
    Dispatch,
    Refusal,
    RefusalReason,
    WorkItem,
    compute_cost,
)

MAX_RECHECKED_REQUESTS = 256
BLOCKED_SUBQUEUE_RETRY_S = 0.1
DEFAULT_RETRY_AFTER_S = 1.0
MIN_REQUESTS_FOR_RATE = 4
NO_EXCLUDED_SERVERS: frozenset[str] = frozenset()


class SchedulingDecisions(NamedTuple):
    """Requests that the node has to send or answer now.

    Parameters
    ----------
    dispatches : list of Dispatch
        Requests to send; they are already counted as in flight.
    refusals : list of Refusal
        Requests to answer with the outcome `not_run`.
    """

    dispatches: list[Dispatch]
    refusals: list[Refusal]


class _BlockedState(NamedTuple):
    change_count: int
    blocked_at: float


class Scheduler:
    """Decides when and where the requests of an instance run.

    The node calls `collect_decisions` after each call that may change the load of a
    server, and at the time that `read_next_timeout` returns.

    Parameters
    ----------
    dispatcher : Dispatcher
        Servers and requests in flight; the node calls its ``record_*``
        methods directly.
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
        self._unchecked: dict[str, WorkItem] = {}
        self._excluded: dict[str, Set[str]] = {}
        self._blocked: dict[SubqueueKey, _BlockedState] = {}
        self._checked_failures = 0
        self._must_recheck = False

    def __len__(self) -> int:
        return len(self._queue)

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Apply the policies of a new configuration.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        """
        self.dispatcher.policies = policies
        self.dispatcher.change_count += 1
        self._queue.replace_policies(policies)
        self._must_recheck = True

    def submit(self, item: WorkItem, now: float) -> Refusal | None:
        """Queue a new request, which `collect_decisions` dispatches or refuses.

        Parameters
        ----------
        item : WorkItem
        now : float
            Seconds.

        Returns
        -------
        Refusal or None
            A refusal if the class is unknown or the queue is full.
        """
        policy = self.dispatcher.policies.get(item.class_name)
        if policy is None:
            return self._admission.refuse(item, RefusalReason.UNKNOWN_CLASS, 0.0)
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            return self._admission.refuse(item, RefusalReason.QUEUE_FULL, 0.0)
        self.retry_budget.record_first_attempt(item.class_name, item.workspace)
        self._enqueue(item, policy, now)
        return None

    def requeue(self, item: WorkItem, excluded: Set[str], now: float) -> Refusal | None:
        """Queue a retry of a request that is known not to have run.

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
            A refusal if the class is unknown or the retry budget is spent.
        """
        policy = self.dispatcher.policies.get(item.class_name)
        if policy is None:
            return self._admission.refuse(item, RefusalReason.UNKNOWN_CLASS, 0.0)
        if not self.retry_budget.acquire_retry(item.class_name, item.workspace):
            return self._admission.refuse(
                item, RefusalReason.RETRY_BUDGET, DEFAULT_RETRY_AFTER_S
            )
        self._excluded[item.item_id] = excluded
        self._enqueue(item, policy, now)
        return None

    def cancel(self, item_id: str, now: float) -> None:
        """Drop a queued or in-flight request that its caller cancelled.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.
        """
        self._dequeue(item_id)
        self.dispatcher.record_end(item_id, now, is_complete=False)

    def collect_decisions(self, now: float) -> SchedulingDecisions:
        """Return the requests to send and those to refuse.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        SchedulingDecisions
        """
        refusals = self._refuse_expired(now)
        dispatches: list[Dispatch] = []
        for key in self._queue.list_subqueues():
            self._dispatch_subqueue(key, dispatches, now)
        refusals.extend(self._refuse_late(now))
        return SchedulingDecisions(dispatches, refusals)

    def read_next_timeout(self) -> float:
        """Return when the next queued request expires, seconds; infinite if none."""
        while self._timeouts and self._timeouts[0][1] not in self._queued:
            heapq.heappop(self._timeouts)
        return self._timeouts[0][0] if self._timeouts else math.inf

    def build_usage_digest(self, now: float) -> list[UsageEntry]:
        """Return the usage digest for the other instances."""
        queued = self._queue.sum_queued_tokens()
        return self.dispatcher.ledger.build_digest(queued, now, self._random)

    def merge_usage_digest(
        self, peer: str, entries: Sequence[UsageEntry], now: float
    ) -> None:
        """Apply the usage digest of another instance."""
        self.dispatcher.ledger.merge_digest(peer, entries, now)

    def _enqueue(self, item: WorkItem, policy: ClassPolicy, now: float) -> None:
        limit_s = self._admission.compute_queue_limit_s(policy)
        expires_at = min(item.arrival + limit_s, item.deadline)
        heapq.heappush(self._timeouts, (expires_at, item.item_id))
        self._queued[item.item_id] = item
        self._unchecked[item.item_id] = item
        self._queue.push(item, self._estimate_cost(item), now)

    def _dequeue(self, item_id: str) -> None:
        if self._queued.pop(item_id, None) is None:
            return
        self._queue.remove(item_id)
        self._unchecked.pop(item_id, None)
        self._excluded.pop(item_id, None)

    def _dispatch_subqueue(
        self, key: SubqueueKey, dispatches: list[Dispatch], now: float
    ) -> None:
        if self._is_blocked(key, now):
            return
        while (item := self._queue.peek(key)) is not None:
            must_yield = self._queue.must_yield(key, now)
            excluded = self._excluded.get(item.item_id, NO_EXCLUDED_SERVERS)
            choice = self.dispatcher.choose(
                item, excluded=excluded, must_yield=must_yield, now=now
            )
            if choice is None:
                if not excluded and not must_yield:
                    self._blocked[key] = _BlockedState(
                        self.dispatcher.change_count, now
                    )
                return
            self._dequeue(item.item_id)
            dispatches.append(self.dispatcher.dispatch(item, choice, now))

    def _is_blocked(self, key: SubqueueKey, now: float) -> bool:
        state = self._blocked.pop(key, None)
        if state is None or state.change_count != self.dispatcher.change_count:
            return False
        if now - state.blocked_at >= BLOCKED_SUBQUEUE_RETRY_S:
            return False
        self._blocked[key] = state
        return True

    def _refuse_expired(self, now: float) -> list[Refusal]:
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

    def _refuse_late(self, now: float) -> list[Refusal]:
        """Refuse queued requests that can no longer meet their targets.

        Each new request is checked once. After a server failure or a change of the
        policies, the latest `MAX_RECHECKED_REQUESTS` queued requests are checked
        again.
        """
        server_failures = self.dispatcher.server_failures
        candidates = list(self._unchecked.values())
        if self._must_recheck or server_failures != self._checked_failures:
            candidates = list(self._queued.values())[-MAX_RECHECKED_REQUESTS:]
        self._must_recheck = False
        self._checked_failures = server_failures
        self._unchecked.clear()
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
        if self._admission.compute_queue_limit_s(policy) > DEFAULT_RETRY_AFTER_S:
            return None
        self._dequeue(item.item_id)
        return self._admission.refuse(
            item, RefusalReason.NO_SERVER, DEFAULT_RETRY_AFTER_S
        )

    def _has_servers(self, item: WorkItem, now: float) -> bool:
        servers = self.dispatcher.table.list_for(item.model)
        return any(server.is_usable(now) for server in servers)

    def _forecast(self, item: WorkItem, now: float) -> Forecast:
        cost = self._estimate_cost(item)
        tokens_ahead = self._queue.estimate_tokens_ahead(item, cost, now)
        if item.item_id in self._queued:
            tokens_ahead = max(tokens_ahead - cost, 0.0)
        in_flight_requests = self.dispatcher.in_flight_requests
        policy = self.dispatcher.policies.get(item.class_name)
        names = self.dispatcher.list_classes_not_more_urgent(policy) if policy else []
        mean_cost = in_flight_requests.read_mean_cost(item.class_name) or cost
        completions_per_s = in_flight_requests.estimate_completions_per_s(names)
        if len(in_flight_requests) < MIN_REQUESTS_FOR_RATE:
            completions_per_s = max(
                completions_per_s,
                self.dispatcher.estimate_share_completions_per_s(
                    item.model, mean_cost, now
                ),
            )
        tokens_ahead = max(
            tokens_ahead,
            self._estimate_workspace_tokens_ahead(item, cost, completions_per_s, now),
        )
        rate = ServiceRate(
            completions_per_s=completions_per_s,
            mean_cost=mean_cost,
            pace_ms=in_flight_requests.pace_ms,
            prefill_tokens_per_s=DEFAULT_PREFILL_TOKENS_PER_S,
        )
        return forecast_service(
            item,
            tokens_ahead=tokens_ahead,
            output_tokens=in_flight_requests.estimate_output_tokens(item),
            rate=rate,
        )

    def _estimate_workspace_tokens_ahead(
        self, item: WorkItem, cost: float, completions_per_s: float, now: float
    ) -> float:
        """Return the tokens served until the backlog of the workspace is served.

        Workspaces that were served less come first, including those whose requests
        arrive later. The backlog of a workspace that is not underserved is therefore
        served at the rate at which its requests complete now.
        """
        if self.dispatcher.is_underserved(item, now):
            return 0.0
        workspace_completions_per_s = (
            self.dispatcher.in_flight_requests.estimate_workspace_completions_per_s(
                item.class_name, item.workspace
            )
        )
        if workspace_completions_per_s <= 0.0:
            return 0.0
        backlog = max(self._queue.read_workspace_backlog(item) - cost, 0.0)
        return backlog * completions_per_s / workspace_completions_per_s

    def _estimate_cost(self, item: WorkItem) -> float:
        output = self.dispatcher.in_flight_requests.estimate_output_tokens(item)
        return compute_cost(item.prompt_tokens, output)
