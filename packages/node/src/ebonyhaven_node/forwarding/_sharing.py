"""Exchange of engine use and state between the instances that forward requests."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState, check_integer, check_number
from ebonyhaven_decisions.forwarding import (
    Backend,
    BudgetUse,
    EngineUse,
    PeerEngineUse,
    ServiceRetryBudget,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._digests import Digest
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._context import SERVER_SILENCE_LIMIT_S
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import StateSource, StateVersion

SEND_DELAY_S = 0.01  # batches changes that occur together
USE_REFRESH_INTERVAL_S = 1.0  # a report expires after three intervals
MAX_REPORT_RECEIVERS = 16  # bounds the traffic in a large deployment
CONFIGURATION_DELAY_S = 0.25  # all polls return within milliseconds of a change
STATE_REQUEST_INTERVAL_S = 0.4  # between any two requests, whichever the peers
# Between any two answers: a whole state may be tens of kilobytes, and several peers ask
# at once when the store fails. They ask others if there is no answer.
STATE_ANSWER_INTERVAL_S = 0.25

_log = structlog.get_logger()


class EngineUseExchange:
    """Reports the tokens that this instance occupies on engines to its peers.

    A report is sent after each change and, while any tokens are occupied, at least
    every `USE_REFRESH_INTERVAL_S`. It also lists servers found lost since the last one,
    and tells how much of the retry budgets this instance uses.

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
    ):
        self._on_loss = on_loss
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
        membership.observe(self._count_instances)
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

    def _count_instances(self, _: MemberRecord) -> None:
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
        if uses or lost or self._has_sent_use:
            chosen = self._rng.sample(peers, min(MAX_REPORT_RECEIVERS, len(peers)))
            payload = [uses, lost, self._budget.read_uses(time.monotonic())]
            for name in chosen:
                self._membership.send(name, FrameKind.ENGINE_USE, payload)
        self._has_sent_use = bool(uses)
        if uses:
            self._timer = self._reactor.callLater(USE_REFRESH_INTERVAL_S, self._send)

    def _receive(self, frame: Frame) -> None:
        try:
            use_by_server, lost, *budget_uses = frame.payload
            uses = {
                str(name): EngineUse(*map(_check_count, values))
                for name, values in use_by_server.items()
            }
            budget_use_by_service = {
                str(name): BudgetUse(*map(_check_count, values))
                for each in budget_uses[:1]
                for name, values in each.items()
            }
        except (AttributeError, TypeError, ValueError) as error:
            _log.warning("engine_use_malformed", peer=frame.sender, reason=str(error))
            return
        now = time.monotonic()
        self._peers.record(frame.sender, uses, now)
        self._budget.record_peer(frame.sender, budget_use_by_service, now)
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


class StateVersionDigest(Digest):
    """Adds the versions of this instance's state to each heartbeat.

    Parameters
    ----------
    source : StateSource
    on_versions : callable
        Called with the name of a peer and its `StateVersion`.
    """

    code = "v"
    has_priority = True

    def __init__(
        self,
        source: StateSource,
        on_versions: Callable[[str, StateVersion], None],
    ):
        self._source = source
        self._on_versions = on_versions

    def collect(self, budget_bytes: int) -> list[int]:
        """See `Digest.collect`."""
        return list(self._source.read_version())

    def merge(self, sender: str, payload: Any) -> None:
        """See `Digest.merge`."""
        configuration, era, servers = payload
        version = StateVersion(*map(check_integer, (configuration, era, servers)))
        self._on_versions(sender, version)


class StateSynchronizer:
    """Compares the versions of peers with the own state and fetches what is newer.

    While the store is unresponsive, peers are asked for their state. Otherwise the
    configuration is read again: a poll that did not return it may wait on a connection
    that has fallen silent. If the store itself holds an older one, as it was restored
    from a copy, the peer is asked.

    Parameters
    ----------
    source : StateSource
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        source: StateSource,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._source = source
        self._membership = membership
        self._reactor = reactor
        self._clock = clock
        self._refresh_timer: Any = None
        self._requested_at = -STATE_REQUEST_INTERVAL_S
        self._answered_at = -STATE_ANSWER_INTERVAL_S
        self._refreshed_for = 0  # newest version for which the store was read again
        self._unready: set[str] = set()
        membership.add_digest(StateVersionDigest(source, self._handle_versions))
        channels.subscribe(FrameKind.STATE_REQUEST, self._handle_state_request)
        channels.subscribe(FrameKind.STATE, self._handle_state)

    def _handle_versions(self, sender: str, versions: StateVersion) -> None:
        own = self._source.read_version()
        self._update_readiness(sender, versions)
        is_newer = (
            versions.configuration > own.configuration
            or versions.server_list > own.server_list
        )
        if versions.configuration > own.configuration:
            self._schedule_refresh(sender, versions.configuration)
        if is_newer and self._source.is_unresponsive():
            self._request_state(sender, own)

    def _request_state(self, peer: str, own: StateVersion) -> None:
        now = self._clock()
        if now - self._requested_at < STATE_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._membership.send(peer, FrameKind.STATE_REQUEST, list(own))

    def _schedule_refresh(self, peer: str, version: int) -> None:
        """Get the configuration of a peer unless it arrives in the usual time."""
        if self._refresh_timer is None or not self._refresh_timer.active():
            self._refresh_timer = self._reactor.callLater(
                CONFIGURATION_DELAY_S, self._refresh_if_older, peer, version
            )

    def _refresh_if_older(self, peer: str, version: int) -> None:
        own = self._source.read_version()
        if own.configuration >= version or self._source.is_unresponsive():
            return
        is_read = self._refreshed_for >= version
        _log.warning(
            "configuration_overdue",
            own=own.configuration,
            peer=version,
            asked=peer if is_read else "store",
        )
        if is_read:
            self._request_state(peer, own)
            return
        self._refreshed_for = version
        self._source.refresh_configuration()

    def stop(self) -> None:
        """Cancel a scheduled read."""
        if self._refresh_timer is not None and self._refresh_timer.active():
            self._refresh_timer.cancel()

    def _update_readiness(self, sender: str, versions: StateVersion) -> None:
        """Exclude peers without configuration or server list from entry lists."""
        if versions.is_complete:
            unready = self._unready - {sender}
        else:
            unready = self._unready | {sender}
        if unready != self._unready:
            self._unready = unready
            self._membership.set_excluded_entries(unready, reason="not ready")

    def _handle_state_request(self, frame: Frame) -> None:
        """Send what is newer than the state of a peer, unless others were just sent.

        Messages with changes of the server list would wait behind many answers.
        """
        try:
            known = StateVersion(*map(check_integer, frame.payload))
        except (TypeError, ValueError) as error:
            _log.warning("request_malformed", peer=frame.sender, reason=str(error))
            return
        now = self._clock()
        if now - self._answered_at < STATE_ANSWER_INTERVAL_S:
            return
        self._answered_at = now
        self._membership.send(frame.sender, FrameKind.STATE, self._source.export(known))

    def _handle_state(self, frame: Frame) -> None:
        try:
            self._source.merge(frame.payload)
        except (KeyError, TypeError, ValueError) as error:
            _log.warning("peer_state_malformed", peer=frame.sender, reason=str(error))
            return
        versions = self._source.read_version()
        _log.info("peer_state_taken", peer=frame.sender, versions=list(versions))


def _check_count(value: object) -> int:
    return max(0, int(check_number(value)))
