"""Requests that this instance has sent to backend servers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from ebonyhaven_decisions._servers import DEFAULT_PACE_MS, ServerState
from ebonyhaven_decisions._work import Choice, WorkItem

SMOOTHING = 0.1
DEMAND_DECAY_S = 20.0
RECENT_DECAY_S = 3.0


@attrs.define(slots=True, kw_only=True)
class Flight:
    """One request on its backend server.

    Parameters
    ----------
    item : WorkItem
    choice : Choice
    dispatched_at : float
        Seconds.
    prefill_tokens : int
        Tokens of the prompt that are not cached.
    charged : float
        Service charged so far, decode tokens.
    """

    item: WorkItem
    choice: Choice
    dispatched_at: float
    prefill_tokens: int
    charged: float
    decoded: int = 0
    has_first_token: bool = False

    @property
    def server(self) -> ServerState:
        """Backend server that runs the request."""
        return self.choice.server


@attrs.define(slots=True)
class _ClassTotals:
    running: int = 0
    output_share: float = 1.0
    mean_cost: float = 0.0
    recent: float = 0.0
    demand: float = 0.0
    counted_at: float = -math.inf

    def count(self, change: int, now: float) -> None:
        """Change the number of running requests and its average."""
        self.recent = self._average(self.recent, RECENT_DECAY_S, now)
        self.demand = self._average(self.demand, DEMAND_DECAY_S, now)
        self.counted_at = now
        self.running += change

    def read_demand(self, now: float) -> float:
        """Return the running requests averaged over a while; quick to rise."""
        return max(
            self._average(self.recent, RECENT_DECAY_S, now),
            self._average(self.demand, DEMAND_DECAY_S, now),
        )

    def _average(self, value: float, decay_s: float, now: float) -> float:
        if self.counted_at == -math.inf:
            return 0.0
        weight = math.exp((self.counted_at - now) / decay_s)
        return self.running + weight * (value - self.running)


class FlightTable:
    """Running requests of this instance and the averages learned from them."""

    __slots__ = ("_classes", "_flights", "_workspaces", "pace_ms")

    def __init__(self) -> None:
        self._flights: dict[str, Flight] = {}
        self._classes: dict[str, _ClassTotals] = {}
        self._workspaces: Counter[tuple[str, str]] = Counter()
        self.pace_ms = DEFAULT_PACE_MS

    def __len__(self) -> int:
        return len(self._flights)

    def __iter__(self) -> Iterator[Flight]:
        return iter(self._flights.values())

    def get(self, item_id: str) -> Flight | None:
        """Return a running request, or None."""
        return self._flights.get(item_id)

    def add(self, flight: Flight, now: float) -> None:
        """Add a request that was sent.

        Parameters
        ----------
        flight : Flight
        now : float
            Seconds.
        """
        self._flights[flight.item.item_id] = flight
        flight.server.record_dispatch(flight.prefill_tokens, now)
        totals = self._read(flight.item.class_name)
        totals.count(1, now)
        self._workspaces[flight.item.class_name, flight.item.workspace] += 1
        if totals.mean_cost <= 0.0:
            totals.mean_cost = flight.charged
        totals.mean_cost += SMOOTHING * (flight.charged - totals.mean_cost)
        self.pace_ms += SMOOTHING * (flight.server.pace_ms - self.pace_ms)

    def pop(self, item_id: str, now: float) -> Flight | None:
        """Take out a request that left its backend server.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.

        Returns
        -------
        Flight or None
        """
        flight = self._flights.pop(item_id, None)
        if flight is None:
            return None
        flight.server.record_end(now)
        if not flight.has_first_token:
            flight.server.release_prefill_tokens(flight.prefill_tokens)
        self._read(flight.item.class_name).count(-1, now)
        key = (flight.item.class_name, flight.item.workspace)
        self._workspaces[key] -= 1
        if not self._workspaces[key]:
            del self._workspaces[key]
        return flight

    def record_output(self, flight: Flight) -> None:
        """Learn the share of `max_tokens` that outputs of a class reach.

        Parameters
        ----------
        flight : Flight
            A request that ended by itself.
        """
        totals = self._read(flight.item.class_name)
        share = min(flight.decoded / max(flight.item.max_tokens, 1), 1.0)
        totals.output_share += SMOOTHING * (share - totals.output_share)

    def estimate_output(self, item: WorkItem) -> float:
        """Return the expected length of the output, tokens."""
        return max(item.max_tokens * self._read(item.class_name).output_share, 1.0)

    def read_mean_cost(self, class_name: str) -> float:
        """Return the service of a typical request of a class, decode tokens."""
        return self._read(class_name).mean_cost

    def sum_ends_per_s(self, class_names: Iterable[str]) -> float:
        """Return how many running requests of classes end in a second."""
        ends = 0.0
        for name in class_names:
            totals = self._read(name)
            ends += totals.running / max(totals.mean_cost, 1.0)
        return ends * 1000.0 / self.pace_ms

    def estimate_workspace_ends_per_s(self, class_name: str, workspace: str) -> float:
        """Return how many running requests of a workspace end in a second."""
        count = self._workspaces[class_name, workspace]
        mean_cost = max(self._read(class_name).mean_cost, 1.0)
        return count * 1000.0 / self.pace_ms / mean_cost

    def read_demand(self, class_name: str, now: float) -> float:
        """Return the running requests of a class, averaged over a while.

        Parameters
        ----------
        class_name : str
        now : float
            Seconds.
        """
        return self._read(class_name).read_demand(now)

    def _read(self, class_name: str) -> _ClassTotals:
        totals = self._classes.get(class_name)
        if totals is None:
            totals = self._classes[class_name] = _ClassTotals()
        return totals
