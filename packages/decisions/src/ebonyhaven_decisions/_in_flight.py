"""Requests of this instance that are in flight at backend servers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from ebonyhaven_decisions._servers import DEFAULT_PACE_MS, ServerState
from ebonyhaven_decisions._work import ServerChoice, WorkItem

ESTIMATE_SMOOTHING_FACTOR = 0.1
SLOW_DEMAND_DECAY_S = 20.0
FAST_DEMAND_DECAY_S = 3.0


@attrs.define(slots=True, kw_only=True)
class InFlightRequest:
    """One request that runs on a backend server.

    Parameters
    ----------
    item : WorkItem
    choice : ServerChoice
    dispatched_at : float
        Seconds.
    prefill_tokens : int
        Tokens of the prompt that are not cached.
    charged_tokens : float
        Service charged to the workspace so far, decode tokens.
    decoded_tokens : int
        Length of the output so far.
    has_first_token : bool
    """

    item: WorkItem
    choice: ServerChoice
    dispatched_at: float
    prefill_tokens: int
    charged_tokens: float
    decoded_tokens: int = 0
    has_first_token: bool = False

    @property
    def server(self) -> ServerState:
        """Backend server that runs the request."""
        return self.choice.server


@attrs.define(slots=True)
class _ClassTotals:
    """Number of requests in flight and averages of one class.

    Parameters
    ----------
    running : int
        Requests in flight.
    output_share : float
        Mean share of `max_tokens` that an output reaches.
    mean_cost : float
        Mean service of a request, decode tokens.
    fast_demand, slow_demand : float
        Exponential averages of `running`.
    updated_at : float
        Time of the last change of `running`, seconds.
    """

    running: int = 0
    output_share: float = 1.0
    mean_cost: float = 0.0
    fast_demand: float = 0.0
    slow_demand: float = 0.0
    updated_at: float = -math.inf

    def change_running(self, change: int, now: float) -> None:
        """Update the averages up to now, then change the number of requests."""
        self.fast_demand = self._average(self.fast_demand, FAST_DEMAND_DECAY_S, now)
        self.slow_demand = self._average(self.slow_demand, SLOW_DEMAND_DECAY_S, now)
        self.updated_at = now
        self.running += change

    def read_demand(self, now: float) -> float:
        """Return the larger of both averages.

        The result rises with the fast average and falls with the slow one.
        """
        return max(
            self._average(self.fast_demand, FAST_DEMAND_DECAY_S, now),
            self._average(self.slow_demand, SLOW_DEMAND_DECAY_S, now),
        )

    def _average(self, value: float, decay_s: float, now: float) -> float:
        if self.updated_at == -math.inf:
            return 0.0
        weight = math.exp((self.updated_at - now) / decay_s)
        return self.running + weight * (value - self.running)


class InFlightTable:
    """Requests in flight of this instance, and estimates derived from them.

    Attributes
    ----------
    pace_ms : float
        Mean gap between tokens on the servers in use, milliseconds.
    """

    __slots__ = ("_classes", "_in_flight", "_workspaces", "pace_ms")

    def __init__(self) -> None:
        self._in_flight: dict[str, InFlightRequest] = {}
        self._classes: dict[str, _ClassTotals] = {}
        self._workspaces: Counter[tuple[str, str]] = Counter()
        self.pace_ms = DEFAULT_PACE_MS

    def __len__(self) -> int:
        return len(self._in_flight)

    def __iter__(self) -> Iterator[InFlightRequest]:
        return iter(self._in_flight.values())

    def get(self, item_id: str) -> InFlightRequest | None:
        """Return the request with an identifier, or None."""
        return self._in_flight.get(item_id)

    def add(self, request: InFlightRequest, now: float) -> None:
        """Add a dispatched request and count it at its server.

        Parameters
        ----------
        request : InFlightRequest
        now : float
            Seconds.
        """
        self._in_flight[request.item.item_id] = request
        request.server.record_dispatch(request.prefill_tokens, now)
        totals = self._get_totals(request.item.class_name)
        totals.change_running(1, now)
        self._workspaces[request.item.class_name, request.item.workspace] += 1
        if totals.mean_cost <= 0.0:
            totals.mean_cost = request.charged_tokens
        totals.mean_cost += ESTIMATE_SMOOTHING_FACTOR * (
            request.charged_tokens - totals.mean_cost
        )
        self.pace_ms += ESTIMATE_SMOOTHING_FACTOR * (
            request.server.pace_ms - self.pace_ms
        )

    def pop(self, item_id: str, now: float) -> InFlightRequest | None:
        """Remove a request that no longer runs on its backend server.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.

        Returns
        -------
        InFlightRequest or None
        """
        request = self._in_flight.pop(item_id, None)
        if request is None:
            return None
        request.server.record_end(now)
        if not request.has_first_token:
            request.server.release_prefill_tokens(request.prefill_tokens)
        self._get_totals(request.item.class_name).change_running(-1, now)
        key = (request.item.class_name, request.item.workspace)
        self._workspaces[key] -= 1
        if not self._workspaces[key]:
            del self._workspaces[key]
        return request

    def record_output_length(self, request: InFlightRequest) -> None:
        """Update the mean output share of the class with a completed request.

        Parameters
        ----------
        request : InFlightRequest
            A request whose output is complete.
        """
        totals = self._get_totals(request.item.class_name)
        share = min(request.decoded_tokens / max(request.item.max_tokens, 1), 1.0)
        totals.output_share += ESTIMATE_SMOOTHING_FACTOR * (share - totals.output_share)

    def estimate_output_tokens(self, item: WorkItem) -> float:
        """Return the expected length of the output in tokens, at least 1."""
        return max(
            item.max_tokens * self._get_totals(item.class_name).output_share, 1.0
        )

    def read_mean_cost(self, class_name: str) -> float:
        """Return the mean service of a request of a class, decode tokens."""
        return self._get_totals(class_name).mean_cost

    def estimate_completions_per_s(self, class_names: Iterable[str]) -> float:
        """Return the expected completions per second of some classes."""
        completions_per_step = 0.0
        for name in class_names:
            totals = self._get_totals(name)
            completions_per_step += totals.running / max(totals.mean_cost, 1.0)
        return completions_per_step * 1000.0 / self.pace_ms

    def estimate_workspace_completions_per_s(
        self, class_name: str, workspace: str
    ) -> float:
        """Return the expected completions per second of a workspace in a class."""
        count = self._workspaces[class_name, workspace]
        mean_cost = max(self._get_totals(class_name).mean_cost, 1.0)
        return count * 1000.0 / self.pace_ms / mean_cost

    def read_demand(self, class_name: str, now: float) -> float:
        """Return the time-averaged number of requests in flight of a class.

        Parameters
        ----------
        class_name : str
        now : float
            Seconds.
        """
        return self._get_totals(class_name).read_demand(now)

    def _get_totals(self, class_name: str) -> _ClassTotals:
        totals = self._classes.get(class_name)
        if totals is None:
            totals = self._classes[class_name] = _ClassTotals()
        return totals
