"""Queues of an instance: fair between workspaces, or first in, first out."""

from __future__ import annotations

import abc
import heapq
import itertools
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import attrs

from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._usage import UsageLedger
from ebonyhaven_decisions._work import WorkItem

MAX_SAMPLED_WORKSPACES = 32
YIELD_MARGIN_TOKENS = 256.0
YIELD_MARGIN_RATIO = 0.15
OVER_SHARE_FACTOR = 1.1


class SubqueueKey(NamedTuple):
    """Identifies the subqueue of a class and a model."""

    class_name: str
    model: str


@attrs.frozen(slots=True)
class _Queued:
    item: WorkItem
    cost: float
    key: SubqueueKey


class WorkQueue(abc.ABC):
    """Requests that wait at an instance, in subqueues by class and model."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, item: WorkItem, cost: float, now: float) -> None:
        """Add a request.

        Parameters
        ----------
        item : WorkItem
        cost : float
            Expected service, decode tokens.
        now : float
            Seconds.
        """

    @abc.abstractmethod
    def list_subqueues(self) -> list[SubqueueKey]:
        """Return the subqueues with waiting requests, in order of service."""

    @abc.abstractmethod
    def peek(self, key: SubqueueKey) -> WorkItem | None:
        """Return the next request of a subqueue, or None if it is empty."""

    @abc.abstractmethod
    def remove(self, item_id: str) -> WorkItem | None:
        """Remove and return a request, or return None if it is not queued."""

    @abc.abstractmethod
    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Return the service of the requests served before a new one.

        Parameters
        ----------
        item : WorkItem
            Request that is not queued.
        cost : float
            Its expected service, decode tokens.
        now : float
            Seconds.

        Returns
        -------
        float
            Decode tokens.
        """

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Apply the policies of a new configuration.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        """
        return

    def read_workspace_backlog(self, item: WorkItem) -> float:
        """Return the queued service of a workspace in the subqueue of a request.

        Parameters
        ----------
        item : WorkItem

        Returns
        -------
        float
            Decode tokens.
        """
        return 0.0

    def must_yield(self, key: SubqueueKey, now: float) -> bool:
        """Return whether a workspace at another instance has to be served first.

        Parameters
        ----------
        key : SubqueueKey
        now : float
            Seconds.
        """
        return False

    def sum_queued_tokens(self) -> dict[tuple[str, str], float]:
        """Return the queued service by class and workspace, decode tokens."""
        return {}


class _Subqueue:
    """Waiting requests of one class and model, by workspace.

    Attributes
    ----------
    queues : dict of str to deque
        Requests of each workspace in order of arrival.
    costs : dict of str to float
        Queued service of each workspace, decode tokens.
    heap : list of tuple
        Workspaces by usage at the time of the push, which may be outdated.
    rebases : int
        Value of `UsageLedger.rebases` when the heap was built.
    """

    __slots__ = ("costs", "heap", "queues", "rebases")

    def __init__(self) -> None:
        self.queues: dict[str, deque[_Queued]] = {}
        self.costs: dict[str, float] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.rebases = 0


class FairQueue(WorkQueue):
    """Serves classes by urgency, and in each class the workspace with the least usage.

    A class that used more than an equal share of the instance is served after
    the other classes that have waiting requests.

    Parameters
    ----------
    policies : mapping of str to ClassPolicy
    ledger : UsageLedger
        Usage of the workspaces; the queue only reads it.
    """

    def __init__(
        self, policies: Mapping[str, ClassPolicy], ledger: UsageLedger
    ) -> None:
        self._policies = policies
        self._ledger = ledger
        self._subqueues: dict[SubqueueKey, _Subqueue] = {}
        self._items: dict[str, _Queued] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Apply the policies of a new configuration."""
        self._policies = policies

    def push(self, item: WorkItem, cost: float, now: float) -> None:
        """Add a request; see `WorkQueue.push`."""
        key = SubqueueKey(item.class_name, item.model)
        subqueue = self._subqueues.setdefault(key, _Subqueue())
        queued = _Queued(item, cost, key)
        self._items[item.item_id] = queued
        queue = subqueue.queues.get(item.workspace)
        if queue is None:
            queue = subqueue.queues[item.workspace] = deque()
            self._push_heap(subqueue, key, item.workspace)
        queue.append(queued)
        subqueue.costs[item.workspace] = subqueue.costs.get(item.workspace, 0.0) + cost

    def list_subqueues(self) -> list[SubqueueKey]:
        """Return the subqueues in order of service; see `WorkQueue.list_subqueues`."""
        for key in [
            key for key, subqueue in self._subqueues.items() if not subqueue.queues
        ]:
            del self._subqueues[key]
        over = self._find_classes_over_share()
        return sorted(
            self._subqueues,
            key=lambda key: (key.class_name in over, self._read_rank(key), key.model),
        )

    def peek(self, key: SubqueueKey) -> WorkItem | None:
        """Return the next request of a subqueue; see `WorkQueue.peek`."""
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            return None
        workspace = self._find_least_served(subqueue, key)
        return subqueue.queues[workspace][0].item if workspace is not None else None

    def remove(self, item_id: str) -> WorkItem | None:
        """Remove a request; see `WorkQueue.remove`."""
        queued = self._items.pop(item_id, None)
        if queued is None:
            return None
        subqueue = self._subqueues[queued.key]
        workspace = queued.item.workspace
        queue = subqueue.queues[workspace]
        if queue[0] is queued:
            queue.popleft()
        else:
            queue.remove(queued)
        subqueue.costs[workspace] -= queued.cost
        if not queue:
            del subqueue.queues[workspace]
            del subqueue.costs[workspace]
        return queued.item

    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Estimate the service before a request; see `WorkQueue`.

        Another workspace is served first while its usage is below the one
        that the workspace of the request reaches with its backlog and the request.
        With more than `MAX_SAMPLED_WORKSPACES` workspaces, the sum is extrapolated
        from a sample.
        """
        subqueue = self._subqueues.get(SubqueueKey(item.class_name, item.model))
        if subqueue is None:
            return 0.0
        backlog = subqueue.costs.get(item.workspace, 0.0)
        scale = self._ledger.scale_to_epoch(1.0, now)
        key = (item.class_name, item.workspace)
        final_usage = self._ledger.read(key) / scale + backlog + cost
        step = -(-len(subqueue.queues) // MAX_SAMPLED_WORKSPACES) or 1
        sampled = list(itertools.islice(subqueue.queues, None, None, step))
        ahead = 0.0
        for name in sampled:
            if name == item.workspace:
                continue
            usage = self._ledger.read((item.class_name, name)) / scale
            ahead += min(max(final_usage - usage, 0.0), subqueue.costs[name])
        return backlog + (
            ahead * len(subqueue.queues) / len(sampled) if sampled else 0.0
        )

    def read_workspace_backlog(self, item: WorkItem) -> float:
        """Return the backlog; see `WorkQueue.read_workspace_backlog`."""
        subqueue = self._subqueues.get(SubqueueKey(item.class_name, item.model))
        return subqueue.costs.get(item.workspace, 0.0) if subqueue else 0.0

    def must_yield(self, key: SubqueueKey, now: float) -> bool:
        """Return whether another instance is served first; see `WorkQueue`."""
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            return False
        workspace = self._find_least_served(subqueue, key)
        if workspace is None:
            return False
        allowed = self._ledger.scale_to_epoch(YIELD_MARGIN_TOKENS, now)
        usage = self._ledger.read((key.class_name, workspace))
        least = self._ledger.find_min_remote_usage(key.class_name)
        return least * (1.0 + YIELD_MARGIN_RATIO) + allowed < usage

    def sum_queued_tokens(self) -> dict[tuple[str, str], float]:
        """Return the queued service by class and workspace, decode tokens."""
        queued: dict[tuple[str, str], float] = {}
        for key, subqueue in self._subqueues.items():
            for workspace, cost in subqueue.costs.items():
                name = (key.class_name, workspace)
                queued[name] = queued.get(name, 0.0) + cost
        return queued

    def _find_least_served(self, subqueue: _Subqueue, key: SubqueueKey) -> str | None:
        # A rebase changes the scale of the entries; a long heap is mostly outdated.
        if subqueue.rebases != self._ledger.rebases or len(subqueue.heap) > 4 * (
            len(subqueue.queues) + 16
        ):
            self._rebuild_heap(subqueue, key)
        while subqueue.heap:
            usage, _, workspace = subqueue.heap[0]
            if workspace not in subqueue.queues:
                heapq.heappop(subqueue.heap)
                continue
            current = self._ledger.read((key.class_name, workspace))
            if current <= usage:
                return workspace
            entry = (current, next(self._sequence), workspace)
            heapq.heapreplace(subqueue.heap, entry)
        return None

    def _push_heap(self, subqueue: _Subqueue, key: SubqueueKey, workspace: str) -> None:
        usage = self._ledger.read((key.class_name, workspace))
        heapq.heappush(subqueue.heap, (usage, next(self._sequence), workspace))

    def _rebuild_heap(self, subqueue: _Subqueue, key: SubqueueKey) -> None:
        subqueue.rebases = self._ledger.rebases
        subqueue.heap = []
        for workspace in subqueue.queues:
            self._push_heap(subqueue, key, workspace)

    def _read_rank(self, key: SubqueueKey) -> int:
        policy = self._policies.get(key.class_name)
        return policy.rank if policy else len(self._policies)

    def _find_classes_over_share(self) -> set[str]:
        waiting = {key.class_name for key in self._subqueues}
        if len(waiting) <= 1:
            return set()
        usage = {name: self._ledger.read_class_usage(name) for name in waiting}
        share = OVER_SHARE_FACTOR * sum(usage.values()) / len(waiting)
        return {name for name, value in usage.items() if value > share > 0.0}


class FifoQueue(WorkQueue):
    """Serves requests in order of arrival, regardless of class and workspace."""

    def __init__(self) -> None:
        self._subqueues: dict[SubqueueKey, dict[str, _Queued]] = {}
        self._keys: dict[str, SubqueueKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def push(self, item: WorkItem, cost: float, now: float) -> None:
        """Add a request; see `WorkQueue.push`."""
        key = SubqueueKey("", item.model)
        self._subqueues.setdefault(key, {})[item.item_id] = _Queued(item, cost, key)
        self._keys[item.item_id] = key

    def list_subqueues(self) -> list[SubqueueKey]:
        """Return the subqueues with requests; see `WorkQueue.list_subqueues`."""
        return [key for key, subqueue in self._subqueues.items() if subqueue]

    def peek(self, key: SubqueueKey) -> WorkItem | None:
        """Return the oldest request of a subqueue; see `WorkQueue.peek`."""
        queued = next(iter(self._subqueues.get(key, {}).values()), None)
        return queued.item if queued else None

    def remove(self, item_id: str) -> WorkItem | None:
        """Remove a request; see `WorkQueue.remove`."""
        key = self._keys.pop(item_id, None)
        return self._subqueues[key].pop(item_id).item if key is not None else None

    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Return the service of all requests for a model; see `WorkQueue`."""
        subqueue = self._subqueues.get(SubqueueKey("", item.model), {})
        return sum(queued.cost for queued in subqueue.values())
