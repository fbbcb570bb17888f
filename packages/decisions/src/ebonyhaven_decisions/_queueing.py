"""Queues of an instance: fair between workspaces, or first in first out."""

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
YIELD_AHEAD_TOKENS = 256.0
YIELD_AHEAD_SHARE = 0.15
OVER_SHARE_SLACK = 1.1


class LaneKey(NamedTuple):
    """One queue: the requests of a class for a model."""

    class_name: str
    model: str


@attrs.frozen(slots=True)
class _Queued:
    item: WorkItem
    cost: float
    lane: LaneKey


class WorkQueue(abc.ABC):
    """Requests that wait at an instance, in order of service."""

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
    def list_lanes(self) -> list[LaneKey]:
        """Return the lanes with waiting requests, in order of service."""

    @abc.abstractmethod
    def peek(self, lane: LaneKey) -> WorkItem | None:
        """Return the next request of a lane, or None when it is empty."""

    @abc.abstractmethod
    def remove(self, item_id: str) -> WorkItem | None:
        """Take a request out, or return None when it does not wait."""

    @abc.abstractmethod
    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Return the service that goes before a request, decode tokens.

        Parameters
        ----------
        item : WorkItem
            A request that does not wait yet.
        cost : float
            Its expected service, decode tokens.
        now : float
            Seconds.
        """

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Take over the policies of a new configuration.

        Parameters
        ----------
        policies : mapping of str to ClassPolicy
        """
        return

    def read_backlog(self, item: WorkItem) -> float:
        """Return the service that waits in the lane of a request for its workspace.

        Parameters
        ----------
        item : WorkItem

        Returns
        -------
        float
            Decode tokens.
        """
        return 0.0

    def must_yield(self, lane: LaneKey, now: float) -> bool:
        """Return whether a workspace at another instance is entitled to go first.

        Parameters
        ----------
        lane : LaneKey
        now : float
            Seconds.
        """
        return False

    def sum_queued(self) -> dict[tuple[str, str], float]:
        """Return the queued service by class and workspace, decode tokens."""
        return {}


class _Lane:
    """Waiting requests of one class and model, by workspace."""

    __slots__ = ("costs", "heap", "queues", "rebases")

    def __init__(self) -> None:
        self.queues: dict[str, deque[_Queued]] = {}
        self.costs: dict[str, float] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.rebases = 0


class FairQueue(WorkQueue):
    """Serves the workspace that consumed least, inside classes by urgency.

    A class that consumed more than an equal share of the instance goes after the
    other classes while those wait.

    Parameters
    ----------
    policies : mapping of str to ClassPolicy
    ledger : UsageLedger
        Consumption of the workspaces; it is only read here.
    """

    def __init__(
        self, policies: Mapping[str, ClassPolicy], ledger: UsageLedger
    ) -> None:
        self._policies = policies
        self._ledger = ledger
        self._lanes: dict[LaneKey, _Lane] = {}
        self._items: dict[str, _Queued] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def replace_policies(self, policies: Mapping[str, ClassPolicy]) -> None:
        """Take over the policies of a new configuration."""
        self._policies = policies

    def push(self, item: WorkItem, cost: float, now: float) -> None:
        """Add a request; see `WorkQueue.push`."""
        key = LaneKey(item.class_name, item.model)
        lane = self._lanes.setdefault(key, _Lane())
        queued = _Queued(item, cost, key)
        self._items[item.item_id] = queued
        queue = lane.queues.get(item.workspace)
        if queue is None:
            queue = lane.queues[item.workspace] = deque()
            self._push_heap(lane, key, item.workspace)
        queue.append(queued)
        lane.costs[item.workspace] = lane.costs.get(item.workspace, 0.0) + cost

    def list_lanes(self) -> list[LaneKey]:
        """Return the lanes in order of service; see `WorkQueue.list_lanes`."""
        for key in [key for key, lane in self._lanes.items() if not lane.queues]:
            del self._lanes[key]
        over = self._find_classes_over_share()
        return sorted(
            self._lanes,
            key=lambda key: (key.class_name in over, self._read_rank(key), key.model),
        )

    def peek(self, lane: LaneKey) -> WorkItem | None:
        """Return the next request of a lane; see `WorkQueue.peek`."""
        state = self._lanes.get(lane)
        if state is None:
            return None
        workspace = self._find_least_served(state, lane)
        return state.queues[workspace][0].item if workspace is not None else None

    def remove(self, item_id: str) -> WorkItem | None:
        """Take a request out; see `WorkQueue.remove`."""
        queued = self._items.pop(item_id, None)
        if queued is None:
            return None
        lane = self._lanes[queued.lane]
        workspace = queued.item.workspace
        queue = lane.queues[workspace]
        if queue[0] is queued:
            queue.popleft()
        else:
            queue.remove(queued)
        lane.costs[workspace] -= queued.cost
        if not queue:
            del lane.queues[workspace]
            del lane.costs[workspace]
        return queued.item

    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Return the service before a request; see `WorkQueue`.

        Another workspace is served first for as long as its consumption stays
        under that of the request's workspace after its own backlog. Beyond
        `MAX_SAMPLED_WORKSPACES` the sum is scaled up from a part of them.
        """
        lane = self._lanes.get(LaneKey(item.class_name, item.model))
        if lane is None:
            return 0.0
        own = lane.costs.get(item.workspace, 0.0)
        scale = self._ledger.scale_to_epoch(1.0, now)
        key = (item.class_name, item.workspace)
        finish = self._ledger.read(key) / scale + own + cost
        step = -(-len(lane.queues) // MAX_SAMPLED_WORKSPACES) or 1
        sampled = list(itertools.islice(lane.queues, None, None, step))
        ahead = 0.0
        for name in sampled:
            if name == item.workspace:
                continue
            usage = self._ledger.read((item.class_name, name)) / scale
            ahead += min(max(finish - usage, 0.0), lane.costs[name])
        return own + (ahead * len(lane.queues) / len(sampled) if sampled else 0.0)

    def read_backlog(self, item: WorkItem) -> float:
        """Return the backlog of a workspace; see `WorkQueue.read_backlog`."""
        lane = self._lanes.get(LaneKey(item.class_name, item.model))
        return lane.costs.get(item.workspace, 0.0) if lane else 0.0

    def must_yield(self, lane: LaneKey, now: float) -> bool:
        """Return whether another instance goes first; see `WorkQueue`."""
        state = self._lanes.get(lane)
        if state is None:
            return False
        workspace = self._find_least_served(state, lane)
        if workspace is None:
            return False
        allowed = self._ledger.scale_to_epoch(YIELD_AHEAD_TOKENS, now)
        usage = self._ledger.read((lane.class_name, workspace))
        least = self._ledger.find_min_remote_usage(lane.class_name)
        return least * (1.0 + YIELD_AHEAD_SHARE) + allowed < usage

    def sum_queued(self) -> dict[tuple[str, str], float]:
        """Return the queued service by class and workspace, decode tokens."""
        queued: dict[tuple[str, str], float] = {}
        for key, lane in self._lanes.items():
            for workspace, cost in lane.costs.items():
                name = (key.class_name, workspace)
                queued[name] = queued.get(name, 0.0) + cost
        return queued

    def _find_least_served(self, lane: _Lane, key: LaneKey) -> str | None:
        if lane.rebases != self._ledger.rebases or len(lane.heap) > 4 * (
            len(lane.queues) + 16
        ):
            self._rebuild_heap(lane, key)
        while lane.heap:
            usage, _, workspace = lane.heap[0]
            if workspace not in lane.queues:
                heapq.heappop(lane.heap)
                continue
            present = self._ledger.read((key.class_name, workspace))
            if present <= usage:
                return workspace
            entry = (present, next(self._sequence), workspace)
            heapq.heapreplace(lane.heap, entry)
        return None

    def _push_heap(self, lane: _Lane, key: LaneKey, workspace: str) -> None:
        usage = self._ledger.read((key.class_name, workspace))
        heapq.heappush(lane.heap, (usage, next(self._sequence), workspace))

    def _rebuild_heap(self, lane: _Lane, key: LaneKey) -> None:
        lane.rebases = self._ledger.rebases
        lane.heap = []
        for workspace in lane.queues:
            self._push_heap(lane, key, workspace)

    def _read_rank(self, key: LaneKey) -> int:
        policy = self._policies.get(key.class_name)
        return policy.rank if policy else len(self._policies)

    def _find_classes_over_share(self) -> set[str]:
        waiting = {key.class_name for key in self._lanes}
        if len(waiting) <= 1:
            return set()
        usage = {name: self._ledger.read_class_usage(name) for name in waiting}
        share = OVER_SHARE_SLACK * sum(usage.values()) / len(waiting)
        return {name for name, value in usage.items() if value > share > 0.0}


class FifoQueue(WorkQueue):
    """Serves requests in order of arrival, whatever their class and workspace."""

    def __init__(self) -> None:
        self._lanes: dict[LaneKey, dict[str, _Queued]] = {}
        self._keys: dict[str, LaneKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def push(self, item: WorkItem, cost: float, now: float) -> None:
        """Add a request; see `WorkQueue.push`."""
        key = LaneKey("", item.model)
        self._lanes.setdefault(key, {})[item.item_id] = _Queued(item, cost, key)
        self._keys[item.item_id] = key

    def list_lanes(self) -> list[LaneKey]:
        """Return the lanes with waiting requests; see `WorkQueue.list_lanes`."""
        return [key for key, lane in self._lanes.items() if lane]

    def peek(self, lane: LaneKey) -> WorkItem | None:
        """Return the oldest request of a lane; see `WorkQueue.peek`."""
        queued = next(iter(self._lanes.get(lane, {}).values()), None)
        return queued.item if queued else None

    def remove(self, item_id: str) -> WorkItem | None:
        """Take a request out; see `WorkQueue.remove`."""
        key = self._keys.pop(item_id, None)
        return self._lanes[key].pop(item_id).item if key is not None else None

    def estimate_tokens_ahead(self, item: WorkItem, cost: float, now: float) -> float:
        """Return the service before a request; see `WorkQueue`."""
        lane = self._lanes.get(LaneKey("", item.model), {})
        return sum(queued.cost for queued in lane.values())
