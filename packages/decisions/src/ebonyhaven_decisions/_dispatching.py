"""Dispatch, progress, completion and failure of the requests of an instance."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Set

from ebonyhaven_decisions._freed_slots import FreedSlots
from ebonyhaven_decisions._in_flight import InFlightRequest, InFlightTable
from ebonyhaven_decisions._policies import ClassPolicy
from ebonyhaven_decisions._reservations import Reservation, Reservations
from ebonyhaven_decisions._routing import SPARE_SLOTS, Router, SlotAllowance
from ebonyhaven_decisions._server_table import ServerTable
from ebonyhaven_decisions._servers import (
    ServerEntry,
    ServerReport,
)
from ebonyhaven_decisions._usage import UsageLedger
from ebonyhaven_decisions._work import Dispatch, ServerChoice, WorkItem, compute_cost

YIELDED_SLOTS_SHARE = 0.0625
UNDERSERVED_USAGE_RATIO = 0.5
SLOT_COUNT_CACHE_S = 1.0
DEFAULT_GAP_LIMIT_MS = 1000.0


class FailureKind(enum.Enum):
    """Why a backend server did not complete a request."""

    LOST = "lost"
    FULL = "full"
    LEAVING = "leaving"
    MODEL_MISSING = "model_missing"
    REFUSED = "refused"


class Dispatcher:
    """Assigns requests to servers and tracks the requests until they end.

    Parameters
    ----------
    policies : mapping of str to ClassPolicy
    router : Router
    ledger : UsageLedger
    enforces_limits : bool
        Whether requests wait at the instance while the slots of the servers are in
        use; otherwise they wait in the queues of the servers.

    Attributes
    ----------
    table : ServerTable
    in_flight_requests : InFlightTable
    server_failures : int
        Number of lost requests and of servers that became suspect as unreachable.
    change_count : int
        Number of changes after which a waiting request may find a free slot.
    """

    __slots__ = (
        "_freed_slots",
        "_enforces_limits",
        "_reservations",
        "_slot_counts",
        "change_count",
        "in_flight_requests",
        "ledger",
        "server_failures",
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
        enforces_limits: bool = True,
    ) -> None:
        self.policies = policies
        self.router = router
        self.ledger = ledger
        self.table = ServerTable()
        self.in_flight_requests = InFlightTable()
        self.server_failures = 0
        self.change_count = 0
        self._enforces_limits = enforces_limits
        self._reservations = Reservations(self.table, self.in_flight_requests)
        self._freed_slots = FreedSlots()
        self._slot_counts: dict[str, tuple[float, float]] = {}

    def replace_servers(self, entries: Iterable[ServerEntry]) -> None:
        """Replace the list of servers; see `ServerTable.replace`."""
        self.change_count += 1
        self.table.replace(entries)

    def choose(
        self, item: WorkItem, *, excluded: Set[str], must_yield: bool, now: float
    ) -> ServerChoice | None:
        """Choose a server with a usable slot for a request that has not run.

        Parameters
        ----------
        item : WorkItem
        excluded : set of str
            Servers that must not be chosen.
        must_yield : bool
            Whether to leave some slots free, because a workspace at another instance
            has to be served first.
        now : float
            Seconds.

        Returns
        -------
        ServerChoice or None
        """
        allowance = self._compute_usable_slots(item, must_yield, now)
        return self.router.choose(
            item, self.table, allowance=allowance, excluded=excluded, now=now
        )

    def dispatch(self, item: WorkItem, choice: ServerChoice, now: float) -> Dispatch:
        """Record a request as in flight on the chosen server.

        Parameters
        ----------
        item : WorkItem
        choice : ServerChoice
        now : float
            Seconds.

        Returns
        -------
        Dispatch
        """
        self.record_end(item.item_id, now, is_complete=False)
        prefill_tokens = max(item.prompt_tokens - choice.cached_tokens, 0)
        cost = compute_cost(
            prefill_tokens, self.in_flight_requests.estimate_output_tokens(item)
        )
        request = InFlightRequest(
            item=item,
            choice=choice,
            dispatched_at=now,
            prefill_tokens=prefill_tokens,
            charged_tokens=cost,
        )
        self.in_flight_requests.add(request, now)
        self._freed_slots.consume(choice.server)
        policy = self.policies.get(item.class_name)
        priority = 0
        if policy is not None and self._enforces_limits:
            is_underserved = self.is_underserved(item, now)
            priority = 2 * policy.engine_priority + (0 if is_underserved else 1)
        self.ledger.charge((item.class_name, item.workspace), cost, now)
        self.router.record_dispatch(item, choice.server, now)
        return Dispatch(item=item, choice=choice, engine_priority=priority)

    def route_resume(
        self, item: WorkItem, excluded: Set[str], now: float
    ) -> Dispatch | None:
        """Choose a server immediately for a stream whose server was lost.

        Slots reserved for resumed streams come first. If none is free, the stream
        waits in the queue of the server that the router chooses.

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
            None if no usable server is known.
        """
        for allowance in (
            SlotAllowance(may_exceed_limit=True, spare_slots=0),
            SlotAllowance(is_unbounded=True),
        ):
            choice = self.router.choose(
                item, self.table, allowance=allowance, excluded=excluded, now=now
            )
            if choice is not None:
                return self.dispatch(item, choice, now)
        return None

    def record_first_token(self, item_id: str, now: float) -> None:
        """Record the first token and correct the predictions for its server."""
        request = self.in_flight_requests.get(item_id)
        if request is None or request.has_first_token:
            return
        request.has_first_token = True
        request.server.release_prefill_tokens(request.prefill_tokens)
        request.server.record_first_token(
            predicted_s=request.choice.predicted_first_token_s,
            observed_s=now - request.dispatched_at,
            now=now,
        )

    def record_tokens(self, item_id: str, count: int, now: float) -> None:
        """Count decoded tokens and charge those beyond the estimate."""
        request = self.in_flight_requests.get(item_id)
        if request is None:
            return
        request.decoded_tokens += count
        used_tokens = compute_cost(request.prefill_tokens, request.decoded_tokens)
        if used_tokens > request.charged_tokens:
            self._charge(request, used_tokens, now)

    def record_end(self, item_id: str, now: float, *, is_complete: bool = True) -> None:
        """Free the slot of a request and correct its charge to its actual cost.

        Parameters
        ----------
        item_id : str
        now : float
            Seconds.
        is_complete : bool
            Whether the output is complete.
        """
        request = self.in_flight_requests.pop(item_id, now)
        if request is None:
            return
        self.change_count += 1
        self._freed_slots.record(request.server, now)
        used_tokens = compute_cost(request.prefill_tokens, request.decoded_tokens)
        self._charge(request, used_tokens, now)
        if is_complete:
            self.in_flight_requests.record_output_length(request)

    def record_failure(self, item_id: str, kind: FailureKind, now: float) -> None:
        """Free the slot of a request that its server lost or refused.

        Parameters
        ----------
        item_id : str
        kind : FailureKind
        now : float
            Seconds.
        """
        request = self.in_flight_requests.get(item_id)
        if request is None:
            return
        self.record_end(item_id, now, is_complete=False)
        server = request.server
        if kind is FailureKind.LOST:
            server.record_failure(now)
            self.server_failures += 1
        elif kind is FailureKind.FULL:
            server.record_full(now)
        elif kind is FailureKind.LEAVING:
            server.reports_leaving = True
        elif kind is FailureKind.MODEL_MISSING:
            server.missing_models |= {request.item.model}

    def record_unreachable(self, server: str, now: float) -> None:
        """Mark a server that could not be reached as suspect.

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
            self.server_failures += 1
        state.record_failure(now)

    def record_report(self, server: str, report: ServerReport) -> None:
        """Apply a load report of a server.

        Parameters
        ----------
        server : str
        report : ServerReport
        """
        state = self.table.get(server)
        if state is not None:
            self.change_count += 1
            state.record_report(report, self.read_gap_limit_ms())

    def list_classes_not_more_urgent(self, policy: ClassPolicy) -> list[str]:
        """Return the names of the classes that are not more urgent than a policy.

        A request under the policy may use the slots that these classes free.
        """
        return [
            name for name, other in self.policies.items() if other.rank >= policy.rank
        ]

    def read_gap_limit_ms(self) -> float:
        """Return the smallest limit of the gap between tokens, milliseconds."""
        limits = [policy.gap_limit_ms for policy in self.policies.values()]
        return min(limits, default=DEFAULT_GAP_LIMIT_MS)

    def read_reservation(self, model: str, rank: int, now: float) -> Reservation:
        """Return the reservation of the classes with a smaller rank.

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
        """Return whether the workspace of a request consumed far less than the mean.

        Parameters
        ----------
        item : WorkItem
        now : float
            Seconds.
        """
        key = (item.class_name, item.workspace)
        mean = self.ledger.read_mean(item.class_name, now)
        return self.ledger.read(key) < UNDERSERVED_USAGE_RATIO * mean

    def estimate_share_completions_per_s(
        self, model: str, mean_cost: float, now: float
    ) -> float:
        """Return the completions per second on the share of this instance.

        The slots of the servers are divided equally among the instances.

        Parameters
        ----------
        model : str
        mean_cost : float
            Mean cost of a request, decode tokens.
        now : float
            Seconds.

        Returns
        -------
        float
        """
        slots = self._count_slots(model, now) / self.ledger.instances
        return slots * 1000.0 / self.in_flight_requests.pace_ms / max(mean_cost, 1.0)

    def _charge(self, request: InFlightRequest, used_tokens: float, now: float) -> None:
        key = (request.item.class_name, request.item.workspace)
        self.ledger.charge(key, used_tokens - request.charged_tokens, now)
        request.charged_tokens = used_tokens

    def _compute_usable_slots(
        self, item: WorkItem, must_yield: bool, now: float
    ) -> SlotAllowance:
        if not self._enforces_limits:
            return SlotAllowance(is_unbounded=True)
        policy = self.policies[item.class_name]
        is_urgent = policy.reserved_share > 0.0
        is_underserved = self.is_underserved(item, now)
        urgent_reservation = self.read_reservation(item.model, policy.rank, now)
        inclusive_reservation = self.read_reservation(item.model, policy.rank + 1, now)
        return SlotAllowance(
            reserved_share=urgent_reservation.slots_share
            + (YIELDED_SLOTS_SHARE if must_yield else 0.0),
            may_exceed_limit=is_urgent and not must_yield,
            spare_slots=0 if is_underserved else SPARE_SLOTS,
            avoided=frozenset() if is_underserved else urgent_reservation.server_names,
            preferred=inclusive_reservation.servers if is_urgent else (),
            freed=() if must_yield else self._freed_slots.list_servers(now),
            capped=urgent_reservation.server_names,
        )

    def _count_slots(self, model: str, now: float) -> float:
        counted_at, slots = self._slot_counts.get(model, (float("-inf"), 1.0))
        if now - counted_at >= SLOT_COUNT_CACHE_S:
            servers = self.table.list_for(model)
            slots = max(sum(server.capacity for server in servers), 1.0)
            self._slot_counts[model] = (now, slots)
        return slots
