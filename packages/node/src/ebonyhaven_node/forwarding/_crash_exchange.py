"""Exchange of the losses of servers under contents between instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import (
    CrashHistory,
    choose_index_instances,
    decode_loss_report,
    encode_loss_report,
)
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

SEND_DELAY_S = 0.01  # batches the contents that were lost with one server
RESEND_DELAY_S = 0.5  # for messages that were dropped
MS_PER_S = 1000.0

_log = structlog.get_logger()


class CrashExchange:
    """Tells all other instances at once which contents servers were lost under.

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
        if not self._unsent:
            self._call_later(SEND_DELAY_S, self._send_unsent)
        self._unsent[process] = None

    def publish_survival(self, content: str) -> None:
        """Tell all other instances that a server ran a content without a crash.

        Parameters
        ----------
        content : str
        """
        age_s = self._history.find_survival_age_s(content, self._clock())
        survivals = [[content, round(age_s * MS_PER_S)]]
        for name in self._list_others():
            self._membership.send(name, FrameKind.SERVER_LOSSES, [[], survivals])

    def stop(self) -> None:
        """Cancel scheduled messages."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()

    def _call_later(self, delay_s: float, send: Callable[..., None], *args) -> None:
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(self._reactor.callLater(delay_s, send, *args))

    def _send_unsent(self) -> None:
        processes, self._unsent = list(self._unsent), {}
        self._send_to_all(processes)
        self._call_later(RESEND_DELAY_S, self._send_to_all, processes)

    def _send_to_all(self, processes: list[str]) -> None:
        for name in self._list_others():
            self._send(name, processes)

    def _send(self, name: str, processes: list[str] | None) -> None:
        reports = self._history.export(self._clock(), processes)
        if reports:
            losses = [encode_loss_report(each) for each in reports]
            self._membership.send(name, FrameKind.SERVER_LOSSES, [losses, []])

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
            self._send(record.name, None)

    def _receive(self, frame: Frame) -> None:
        try:
            losses, survivals = frame.payload
            reports = [decode_loss_report(values) for values in losses]
            ages_s = {str(each): int(age_ms) / MS_PER_S for each, age_ms in survivals}
        except (TypeError, ValueError) as error:
            _log.warning(
                "server_losses_malformed", peer=frame.sender, reason=str(error)
            )
            return
        now = self._clock()
        for report in reports:
            for content in self._history.add(report, now):
                _log.info(
                    "crash_evidence_received",
                    peer=frame.sender,
                    content=content,
                    process=report.process,
                    age_s=round(report.age_s, 3),
                    crashes=self._history.count_crashes(content, now),
                )
        for content, age_s in ages_s.items():
            self._history.add_survival(content, now, age_s=max(0.0, age_s))
        self._on_received()
