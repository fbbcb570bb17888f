"""Running requests of an instance: dispatch, progress, end and failure."""

from __future__ import annotations

import enum
import itertools
from collections import deque
from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

from ebonyhaven_decisions._flights import Flight, FlightTable
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._reservations import Reservation, Reservations
from ebonyhaven_decisions._routing import SPARE_SLOTS, Router, SlotAllowance
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import (
    ServerEntry,
    ServerReport,
    ServerState,
)
from ebonyhaven_decisions._usage import UsageLedger
from ebonyhaven_decisions._work import Choice, Dispatch, WorkItem, compute_cost

YIELD_SHARE = 0.0625
MAX_FREED = 4
MAX_FREED_KEPT = 32
FREED_S = 1.0
UNDERSERVED_SHARE = 0.5
SLOT_COUNT_PERIOD_S = 1.0
DEFAULT_GAP_LIMIT_MS = 1000.0


class FailureKind(enum.Enum):
    """Why a request left its backend server without an end."""

    LOST = "lost"
    FULL = "full"
    LEAVING = "leaving"
    MODEL_MISSING = "model_missing"
    REFUSED = "refused"


class _Freed(NamedTuple):
    at: float
    server: ServerState


class Dispatcher:
    """Sends requests to servers and follows them until they end.

    Parameters
    ----------
    policies : mapping of str to ClassPolicy
    router : Router
    ledger : UsageLedger
    has_limits : bool
        Whether requests wait at the instance rather than in the servers.
    """

    __slots__ = (
        "_freed",
        "_has_limits",
        "_reservations",
        "_slots",
        "changes",
        "flights",
        "ledger",
        "losses",
        "policies",
        "router",
        "table",
    )

    def __init__(
        self,
        policies: Mapping[str, ClassPolicy],
        *,
        router: Router,
        ledger: UsageLedger,
        has_limits: bool = True,
    ) -> None:
        self.policies = policies
        self.router = router
        self.ledger = ledger
        self.table = ServerTable()
        self.flights = FlightTable()
        self.losses = 0
        self.changes = 0
        self._has_limits = has_limits
        self._reservations = Reservations(self.table, self.flights)
        self._freed: deque[_Freed] = deque(maxlen=MAX_FREED_KEPT)
        self._slots: dict[str, tuple[float, float]] = {}

    def replace_servers(self, entries: Iterable[ServerEntry]) -> None:
        """Take over the list of servers; see `ServerTable.replace`."""
        self.changes += 1
        self.table.replace(entries)

    def choose(
        self, item: WorkItem, *, excluded: Set[str], yields: bool, now: float
    ) -> Choice | None:
        """Choose a server with room for a request that has not run.

        Parameters
        ----------
        item : WorkItem
        excluded : set of str
            Servers that must not be chosen.
        yields : bool
            Whether room is left to another instance.
        now : float
            Seconds.

        Returns
        -------
        Choice or None
        """
        room = self._compute_room(item, yields, now)
        return self.router.choose(
            item, self.table, allowance=room, excluded=excluded, now=now
        )

    def dispatch(self, item: WorkItem, choice: Choice, now: float) -> Dispatch:
        """Count a request as running on the chosen server.

        Parameters
        ----------
        item : WorkItem
        choice : Choice
        now : float
            Seconds.

        Returns
        -------
        Dispatch
        """
        self.record_end(item.item_id, now, is_whole=False)
        prefill = max(item.prompt_tokens - choice.cached_tokens, 0)
        cost = compute_cost(prefill, self.flights.estimate_output(item))
        flight = Flight(
            item=item,
            choice=choice,
            dispatched_at=now,
            prefill_tokens=prefill,
            charged=cost,
        )
        self.flights.add(flight, now)
        self._take_freed(choice.server)
        policy = self.policies.get(item.class_name)
        priority = 0
        if policy is not None and self._has_limits:
            is_behind = self.is_underserved(item, now)
            priority = 2 * policy.engine_priority + (0 if is_behind else 1)
        self.ledger.charge((item.class_name, item.workspace), cost, now)
        self.router.record_dispatch(item, choice.server, now)
        return Dispatch(item=item, choice=choice, engine_priority=priority)

    def route_resume(
        self, item: WorkItem, excluded: Set[str], now: float
    ) -> Dispatch | None:
        """Choose a server at once for a stream that lost its own.

        Room kept for resumes is used first; when there is none, the stream waits
        in the queue of the least loaded server.

        Parameters
        ----------
        item : WorkItem
        excluded : set of str
            Servers that must not be chosen.
        now : float
            Seconds.

        Returns
        -------
        Dispatch or None
            None when no usable server is known.
        """
        for room in (
            SlotAllowance(may_exceed_limit=True, spare_slots=0),
            SlotAllowance(is_unbounded=True),
        ):
            choice = self.router.choose(
                item, self.table, allowance=room, excluded=excluded, now=now
            )
            if choice is not None:
                return self.dispatch(item, choice, now)
        return None

    def record_first_token(self, item_id: str, now: float) -> None:
        """Learn from the time to the first token of a request."""
        flight = self.flights.get(item_id)
        if flight is None or flight.has_first_token:
            return
        flight.has_first_token = True
        flight.server.release_prefill_tokens(flight.prefill_tokens)
        flight.server.record_first_token(
            predicted_s=flight.choice.predicted_first_token_s,
            observed_s=now - flight.dispatched_at,
            now=now,
        )

    def record_tokens(self, item_id: str, count: int, now: float) -> None:
        """Count decoded tokens; those beyond the estimate are charged at once."""
        flight = self.flights.get(item_id)
        if flight is None:
            return
        flight.decoded += count
        used = compute_cost(flight.prefill_tokens, flight.decoded)
        if used > flight.charged:
            self._charge(flight, used, now)

    def record_end(self, item_id: str, now: float, *, is_whole: bool = True) -> None:
        """Free the slot of a request and correct its charge to what it used.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.
        is_whole : bool
            Whether the output ended by itself.
        """
        flight = self.flights.pop(item_id, now)
        if flight is None:
            return
        self.changes += 1
        self._freed.append(_Freed(now, flight.server))
        used = compute_cost(flight.prefill_tokens, flight.decoded)
        self._charge(flight, used, now)
        if is_whole:
            self.flights.record_output(flight)

    def record_failure(self, item_id: str, kind: FailureKind, now: float) -> None:
        """Free the slot of a request whose server failed or refused it.

        Parameters
        ----------
        item_id : str
        kind : FailureKind
        now : float
            Seconds.
        """
        flight = self.flights.get(item_id)
        if flight is None:
            return
        self.record_end(item_id, now, is_whole=False)
        server = flight.server
        if kind is FailureKind.LOST:
            server.record_failure(now)
            self.losses += 1
        elif kind is FailureKind.FULL:
            server.record_full(now)
        elif kind is FailureKind.LEAVING:
            server.reports_leaving = True
        elif kind is FailureKind.MODEL_MISSING:
            server.missing_models |= {flight.item.model}

    def record_unreachable(self, server: str, now: float) -> None:
        """Keep new work off a server that could not be reached.

        Parameters
        ----------
        server : str
        now : float
            Seconds.
        """
        state = self.table.get(server)
        if state is None:
            return
        if not state.is_suspect(now):
            self.losses += 1
        state.record_failure(now)

    def record_report(self, server: str, report: ServerReport) -> None:
        """Take over a load report of a server.

        Parameters
        ----------
        server : str
        report : ServerReport
        """
        state = self.table.get(server)
        if state is not None:
            self.changes += 1
            state.record_report(report, self.read_gap_limit_ms())

    def list_not_more_urgent(self, policy: ClassPolicy) -> list[str]:
        """Return the classes whose freed slots a class may take."""
        return [
            name for name, other in self.policies.items() if other.rank >= policy.rank
        ]

    def read_gap_limit_ms(self) -> float:
        """Return the gap that a batch may reach for all classes, milliseconds."""
        limits = [policy.gap_limit_ms for policy in self.policies.values()]
        return min(limits, default=DEFAULT_GAP_LIMIT_MS)

    def read_reservation(self, model: str, rank: int, now: float) -> Reservation:
        """Return what classes more urgent than a rank have reserved.

        Parameters
        ----------
        model : str
        rank : int
        now : float
            Seconds.

        Returns
        -------
        Reservation
        """
        return self._reservations.read(
            self.policies,
            model=model,
            rank=rank,
            instances=self.ledger.instances,
            now=now,
        )

    def is_underserved(self, item: WorkItem, now: float) -> bool:
        """Return whether the workspace of a request consumed far less than others.

        Parameters
        ----------
        item : WorkItem
        now : float
            Seconds.
        """
        key = (item.class_name, item.workspace)
        mean = self.ledger.read_mean(item.class_name, now)
        return self.ledger.read(key) < UNDERSERVED_SHARE * mean

    def estimate_share_ends_per_s(
        self, model: str, mean_cost: float, now: float
    ) -> float:
        """Return the ends a second on an equal share of all slots.

        Parameters
        ----------
        model : str
        mean_cost : float
            Service of a typical request, decode tokens.
        now : float
            Seconds.

        Returns
        -------
        float
        """
        slots = self._count_slots(model, now) / self.ledger.instances
        return slots * 1000.0 / self.flights.pace_ms / max(mean_cost, 1.0)

    def _charge(self, flight: Flight, used: float, now: float) -> None:
        key = (flight.item.class_name, flight.item.workspace)
        self.ledger.charge(key, used - flight.charged, now)
        flight.charged = used

    def _compute_room(self, item: WorkItem, yields: bool, now: float) -> SlotAllowance:
        if not self._has_limits:
            return SlotAllowance(is_unbounded=True)
        policy = self.policies[item.class_name]
        is_urgent = policy.reserved_share > 0.0
        is_behind = self.is_underserved(item, now)
        kept_from = self.read_reservation(item.model, policy.rank, now)
        kept_for = self.read_reservation(item.model, policy.rank + 1, now)
        return SlotAllowance(
            reserved_share=kept_from.share + (YIELD_SHARE if yields else 0.0),
            may_exceed_limit=is_urgent and not yields,
            spare_slots=0 if is_behind else SPARE_SLOTS,
            avoided=frozenset() if is_behind else kept_from.names,
            preferred=kept_for.servers if is_urgent else (),
            freed=() if yields else self._list_freed(now),
            capped=kept_from.names,
        )

    def _list_freed(self, now: float) -> tuple[ServerState, ...]:
        while self._freed and now - self._freed[0].at > FREED_S:
            self._freed.popleft()
        servers = dict.fromkeys(freed.server for freed in reversed(self._freed))
        return tuple(itertools.islice(servers, MAX_FREED))

    def _take_freed(self, server: ServerState) -> None:
        for freed in self._freed:
            if freed.server is server:
                self._freed.remove(freed)
                return

    def _count_slots(self, model: str, now: float) -> float:
        counted_at, slots = self._slots.get(model, (float("-inf"), 1.0))
        if now - counted_at >= SLOT_COUNT_PERIOD_S:
            servers = self.table.list_for(model)
            slots = max(sum(server.capacity for server in servers), 1.0)
            self._slots[model] = (now, slots)
        return slots
