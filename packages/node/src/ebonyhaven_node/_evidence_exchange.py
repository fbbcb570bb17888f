"""Evidence that all instances should have at once, whoever found it."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState, choose_instances
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController

SEND_DELAY_S = 0.01  # batches what was found at one moment
RESEND_DELAY_S = 0.5  # for messages that were dropped
SILENCE_RESEND_DELAY_S = 2.5  # by then connections that fell silent are replaced
JOIN_SENDERS = 3  # instances that tell a new one what is known
# Messages that repeat what most instances know leave the link to callers' bytes.
RESEND_TURNS = 8
RESEND_TURN_INTERVAL_S = 0.05
MIN_RESENDS_PER_TURN = 8

_log = structlog.get_logger()


class EvidenceExchange:
    """Sends each piece of evidence to all other instances at once, and twice more.

    The repeats are spread over `RESEND_TURNS`, as all instances send them together. An
    instance that joins, or is seen again, gets all that is known from a few others.

    Parameters
    ----------
    kind : FrameKind
        Kind of the messages.
    membership : MembershipController
    channels : Channels
    reactor : IReactorTime
    export : callable
        Returns the JSON value of the evidence with the given keys, or of all of it
        for None; an empty value if there is nothing to tell.
    merge : callable
        Called with the name of an instance and the JSON value that it exported;
        raises TypeError or ValueError if that is malformed.
    """

    def __init__(
        self,
        *,
        kind: FrameKind,
        membership: MembershipController,
        channels: Channels,
        reactor: IReactorTime,
        export: Callable[[list[str] | None], Any],
        merge: Callable[[str, Any], None],
    ):
        self._kind = kind
        self._membership = membership
        self._reactor = reactor
        self._export = export
        self._merge = merge
        self._unsent: dict[str, None] = {}
        self._timers: set[Any] = set()
        self._live_incarnations: dict[str, int] = {}
        channels.subscribe(kind, self._receive)
        membership.observe(self._handle_member)

    def publish(self, key: str) -> None:
        """Send the evidence with a key to all other instances soon.

        Parameters
        ----------
        key : str
        """
        if not self._unsent:
            self._call_later(SEND_DELAY_S, self._send_unsent)
        self._unsent[key] = None

    def stop(self) -> None:
        """Cancel scheduled messages."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()

    def _call_later(
        self, delay_s: float, send: Callable[..., None], *args: Any
    ) -> None:
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(self._reactor.callLater(delay_s, send, *args))

    def _send_unsent(self) -> None:
        keys, self._unsent = list(self._unsent), {}
        self._send_to(self._list_others(), keys)
        for delay_s in (RESEND_DELAY_S, SILENCE_RESEND_DELAY_S):
            self._call_later(delay_s, self._resend, keys)

    def _resend(self, keys: list[str]) -> None:
        names = self._list_others()
        per_turn = max(MIN_RESENDS_PER_TURN, math.ceil(len(names) / RESEND_TURNS))
        for turn, start in enumerate(range(0, len(names), per_turn)):
            due = names[start : start + per_turn]
            if turn:
                delay_s = turn * RESEND_TURN_INTERVAL_S
                self._call_later(delay_s, self._send_to, due, keys)
            else:
                self._send_to(due, keys)

    def _send_to(self, names: Sequence[str], keys: list[str]) -> None:
        payload = self._export(keys)
        if payload:
            self._membership.send_to_all(names, self._kind, payload)

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
        payload = self._export(None)
        if payload and self._is_sender_for(record.name):
            self._membership.send(record.name, self._kind, payload)

    def _is_sender_for(self, name: str) -> bool:
        own_name = self._membership.own.name
        others = [each for each in (own_name, *self._list_others()) if each != name]
        return own_name in choose_instances(name, others, JOIN_SENDERS)

    def _receive(self, frame: Frame) -> None:
        try:
            self._merge(frame.sender, frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning(
                "evidence_malformed",
                kind=self._kind.name.lower(),
                peer=frame.sender,
                reason=str(error),
            )
