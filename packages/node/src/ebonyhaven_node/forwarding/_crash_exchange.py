"""Exchange of the losses of servers, and of what they ran, between instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import (
    CrashHistory,
    choose_index_instances,
    decode_loss_report,
    decode_survivals,
    encode_loss_report,
    encode_survivals,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

SEND_DELAY_S = 0.01  # batches what was lost with one server
RESEND_DELAY_S = 0.5  # for messages that were dropped

_log = structlog.get_logger()


class CrashExchange:
    """Tells all other instances at once what servers ran when they were lost.

    An instance that joins, or is seen again, gets all that is known from a few others.

    Parameters
    ----------
    history : CrashHistory
        Updated with the reports of other instances.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    on_received : callable
        Called after each report that was new.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        clock: Callable[[], float],
        on_received: Callable[[], None],
    ):
        self._history = history
        self._membership = membership
        self._reactor = reactor
        self._clock = clock
        self._on_received = on_received
        self._unsent: dict[str, None] = {}
        self._unsent_survivals: dict[str, None] = {}
        self._timers: set[Any] = set()
        self._live_incarnations: dict[str, int] = {}
        channels.subscribe(FrameKind.SERVER_LOSSES, self._receive)
        membership.observe(self._handle_member)

    def publish(self, process: str) -> None:
        """Send what is known of the loss of a server to all other instances, twice.

        Parameters
        ----------
        process : str
            See `LossReport`.
        """
        self._schedule_unsent()
        self._unsent[process] = None

    def publish_survival(self, trait: str) -> None:
        """Tell all other instances that a server ran a request without a crash.

        Parameters
        ----------
        trait : str
            One of its traits.
        """
        self._schedule_unsent()
        self._unsent_survivals[trait] = None

    def stop(self) -> None:
        """Cancel scheduled messages."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()

    def _call_later(self, delay_s: float, send: Callable[..., None], *args) -> None:
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(self._reactor.callLater(delay_s, send, *args))

    def _schedule_unsent(self) -> None:
        if not self._unsent and not self._unsent_survivals:
            self._call_later(SEND_DELAY_S, self._send_unsent)

    def _send_unsent(self) -> None:
        processes, self._unsent = list(self._unsent), {}
        traits, self._unsent_survivals = list(self._unsent_survivals), {}
        self._send(self._list_others(), processes, traits)
        self._call_later(RESEND_DELAY_S, self._resend, processes, traits)

    def _resend(self, processes: list[str], traits: list[str]) -> None:
        self._send(self._list_others(), processes, traits)

    def _send(
        self, names: list[str], processes: list[str] | None, traits: list[str] | None
    ) -> None:
        now = self._clock()
        losses = map(encode_loss_report, self._history.export(now, processes))
        survivals = self._history.export_survivals(now, traits)
        payload = [list(losses), encode_survivals(survivals)]
        if not any(payload):
            return
        for name in names:
            self._membership.send(name, FrameKind.SERVER_LOSSES, payload)

    def _list_others(self) -> list[str]:
        return [
            record.name
            for record in self._membership.members
            if record.state is not MemberState.DEAD
            and record.name != self._membership.own.name
        ]

    def _handle_member(self, record: MemberRecord) -> None:
        """Send all that is known to an instance that was not live before."""
        if record.state is not MemberState.LIVE:
            self._live_incarnations.pop(record.name, None)
            return
        known = self._live_incarnations.get(record.name)
        self._live_incarnations[record.name] = record.incarnation
        if known == record.incarnation:
            return
        names = [self._membership.own.name, *self._list_others()]
        senders = choose_index_instances(
            record.name, [name for name in names if name != record.name]
        )
        if self._membership.own.name in senders:
            self._send([record.name], None, None)

    def _receive(self, frame: Frame) -> None:
        try:
            losses, survivals = frame.payload
            reports = [decode_loss_report(values) for values in losses]
            ages_s = decode_survivals(survivals)
        except (TypeError, ValueError) as error:
            _log.warning(
                "server_losses_malformed", peer=frame.sender, reason=str(error)
            )
            return
        now = self._clock()
        for report in reports:
            for traits in self._history.add(report, now):
                _log.info(
                    "crash_evidence_received",
                    peer=frame.sender,
                    content=traits[-1],
                    process=report.process,
                    age_s=round(report.age_s, 3),
                    crashes=[self._history.count_crashes(each, now) for each in traits],
                )
        for trait, age_s in ages_s.items():
            self._history.add_survival(trait, now, age_s=age_s)
        self._on_received()
