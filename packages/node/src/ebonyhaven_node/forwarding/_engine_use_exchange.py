"""Exchange of engine use and retry budgets between instances."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import structlog
from ebonyhaven_decisions import MemberState, check_number
from ebonyhaven_decisions.forwarding import (
    Backend,
    BudgetUse,
    EngineUse,
    PeerEngineUse,
    ServiceRetryBudget,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._context import SERVER_SILENCE_LIMIT_S
from ebonyhaven_node.forwarding._peer_sections import PeerSection, PeerSections
from ebonyhaven_node.forwarding._state import ForwardingState

SEND_DELAY_S = 0.01  # batches changes that occur together
USE_REFRESH_INTERVAL_S = 1.0  # a report expires after three intervals
MAX_REPORT_RECEIVERS = 16  # bounds the traffic in a large deployment

_log = structlog.get_logger()


class EngineUseExchange:
    """Reports the tokens that this instance occupies on engines to its peers.

    A report is sent after each change and, while any tokens are occupied, at least
    every `USE_REFRESH_INTERVAL_S`. It also lists servers found lost since the last one,
    and tells how much of the retry budgets this instance uses, and whether its process
    is older than their window. Other parts add sections of their own.

    Parameters
    ----------
    state : ForwardingState
    peers : PeerEngineUse
        Records the reports of peers.
    budget : ServiceRetryBudget
        Updated with the membership and with the reports of peers.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    rng : random.Random
    on_peer_use : callable
        Called after each valid report of a peer, also if no use changed.
    on_loss : callable
        Called with each server that a peer reports as lost.
    sections : sequence of PeerSection
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        peers: PeerEngineUse,
        budget: ServiceRetryBudget,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        rng: random.Random,
        on_peer_use: Callable[[], None],
        on_loss: Callable[[Backend], None],
        sections: Sequence[PeerSection] = (),
    ):
        self._on_loss = on_loss
        self._sections = PeerSections(sections)
        self._lost: set[str] = set()
        self._state = state
        self._peers = peers
        self._budget = budget
        self._membership = membership
        self._reactor = reactor
        self._rng = rng
        self._on_peer_use = on_peer_use
        self._timer: Any = None
        self._has_sent_use = False
        membership.observe_view(self._count_instances)
        channels.subscribe(FrameKind.ENGINE_USE, self._receive)

    def schedule_report(self) -> None:
        """Schedule a report within `SEND_DELAY_S`."""
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(SEND_DELAY_S, self._send)
        elif self._timer.getTime() - self._reactor.seconds() > SEND_DELAY_S:
            self._timer.reset(SEND_DELAY_S)

    def report_lost_server(self, backend: Backend) -> None:
        """Schedule a report that a server is lost.

        Parameters
        ----------
        backend : Backend
        """
        self._lost.add(backend.server_id)
        self.schedule_report()

    def stop(self) -> None:
        """Cancel scheduled reports."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _count_instances(self) -> None:
        """Update the number of instances that share the retry budget."""
        self._budget.instances = sum(
            record.state is not MemberState.DEAD for record in self._membership.members
        )

    def _send(self) -> None:
        peers = [
            record.name
            for record in self._membership.members
            if record.state in (MemberState.LIVE, MemberState.LEAVING)
            and record.name != self._membership.own.name
        ]
        uses = {
            each.server_id: [each.run_tokens, each.copy_tokens, each.prefill_tokens]
            for each in self._state.backends
            if each.run_tokens or each.copy_tokens
        }
        lost, self._lost = sorted(self._lost), set()
        now = time.monotonic()
        sections = self._sections.collect(now)
        if uses or lost or sections or self._has_sent_use:
            is_settled = self._budget.is_settled(now)
            payload = [uses, lost, self._budget.read_uses(now), is_settled]
            has_use = uses or lost or self._has_sent_use
            receivers = self._choose_receivers(peers)
            for selected, names in self._sections.group(sections, receivers):
                message = [*payload, selected] if selected else payload
                if has_use or selected:
                    self._membership.send_to_all(names, FrameKind.ENGINE_USE, message)
        self._has_sent_use = bool(uses)
        if uses or sections or self._sections.keep_reporting:
            self._timer = self._reactor.callLater(USE_REFRESH_INTERVAL_S, self._send)

    def _choose_receivers(self, peers: Sequence[str]) -> set[str]:
        chosen = self._rng.sample(peers, min(MAX_REPORT_RECEIVERS, len(peers)))
        return {*chosen, *(self._sections.list_receivers() & set(peers))}

    def _receive(self, frame: Frame) -> None:
        try:
            # Earlier releases send two, three or four fields.
            use_by_server, lost, *budget_fields = frame.payload
            uses = {
                str(name): EngineUse(*map(_check_count, values))
                for name, values in use_by_server.items()
            }
            budget_use_by_service = {
                str(name): BudgetUse(*map(_check_count, values))
                for each in budget_fields[:1]
                for name, values in each.items()
            }
            is_settled = budget_fields[1:2] in ([], [True])
            sections = dict(*budget_fields[2:3])
        except (AttributeError, TypeError, ValueError) as error:
            _log.warning("engine_use_malformed", peer=frame.sender, reason=str(error))
            return
        now = time.monotonic()
        self._sections.merge(frame.sender, sections, now)
        self._peers.record(frame.sender, uses, now)
        self._budget.record_peer(
            frame.sender, budget_use_by_service, now, is_settled=is_settled
        )
        for server_id in lost:
            self._handle_lost_server(server_id)
        self._on_peer_use()

    def _handle_lost_server(self, server_id: str) -> None:
        """Call `on_loss` unless the server recently sent data to this instance."""
        backend = self._state.backends.find(server_id)
        if backend is None:
            return
        if time.monotonic() - backend.last_received_at > SERVER_SILENCE_LIMIT_S:
            self._on_loss(backend)


def _check_count(value: object) -> int:
    return max(0, int(check_number(value)))
