"""Membership protocol: which instances are live, leaving, suspect or dead."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ebonyhaven_decisions._detection import CONFIRMATION_TIMEOUT_S, SILENCE_TIMEOUT_S
from ebonyhaven_decisions._discovery import Discovery
from ebonyhaven_decisions._isolation import IsolationProber
from ebonyhaven_decisions._member_view import MemberView
from ebonyhaven_decisions._members import MemberRecord, MemberState
from ebonyhaven_decisions._membership_messages import (
    Envelope,
    Heartbeat,
    MembershipMessage,
    Probe,
    ProbeAnswer,
    Query,
    QueryAnswer,
    TableAnswer,
    TableRequest,
)
from ebonyhaven_decisions._reconciliation import Reconciliation

TICK_S = 0.25
EXPIRY_INTERVAL_TICKS = 4
PAUSE_THRESHOLD_S = SILENCE_TIMEOUT_S + CONFIRMATION_TIMEOUT_S
CATCH_UP_TIMEOUT_S = 2.0
MAX_CATCH_UP_REQUESTS = 2
MAX_QUERIED_WATCHERS = 3


class Membership(MemberView):
    """Membership view of one instance.

    ``tick``, ``flush``, ``receive`` and ``depart`` return the messages to send.
    ``tick`` has to be called every ``TICK_S`` seconds, ``flush`` soon after
    ``has_pending_updates`` becomes true.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    rng : random.Random
    now : float
        Current time in seconds of a clock that also runs while the process is paused.
    """

    def __init__(self, *, own: MemberRecord, rng: random.Random, now: float):
        super().__init__(own=own, now=now)
        self.discovery = Discovery(name=own.name, rng=rng)
        self._isolation = IsolationProber(rng=rng)
        self._reconciliation = Reconciliation()
        self._pending_queries: dict[str, dict[str, str]] = {}
        self._ticks = 0
        self._ticked_at = now
        self._catch_up_until = now
        self._update_targets(now)

    @property
    def has_pending_updates(self) -> bool:
        """Whether changed records are queued for any neighbour."""
        return self._dissemination.has_pending_updates

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of the neighbours, which receive heartbeats from this instance."""
        return self._dissemination.targets

    @property
    def unresponsive(self) -> frozenset[str]:
        """Names of the instances that did not answer while this one was isolated."""
        return frozenset(self._isolation.unresponsive)

    @property
    def has_joined(self) -> bool:
        """Whether the table shows the other instances; it does not after a start."""
        return self.discovery.has_joined

    def is_isolated(self, now: float) -> bool:
        """Return whether no message arrived from any instance for the silence timeout.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
        """
        return self._detector.is_isolated(now)

    def is_outdated(self, now: float) -> bool:
        """Return whether the view is outdated after a pause of this process.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True from a pause until a complete member table arrives, or until
            ``CATCH_UP_TIMEOUT_S`` seconds after the pause.
        """
        return now - self._ticked_at >= PAUSE_THRESHOLD_S or now < self._catch_up_until

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Set the instances listed by the platform or in the settings.

        Parameters
        ----------
        addresses : mapping of str to str
            Control addresses by name.
        """
        self.discovery.set_listed(addresses)

    def leave(self, now: float) -> None:
        """Announce that this instance accepts no new callers.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._replace_own(now, state=MemberState.LEAVING)

    def depart(self, now: float) -> list[Envelope]:
        """Announce that this instance stops.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of Envelope
        """
        targets = self.targets
        self._replace_own(now, state=MemberState.DEAD)
        return [
            self._dissemination.build_heartbeat(name, self.own.state)
            for name in targets
        ]

    def tick(self, now: float) -> list[Envelope]:
        """Check the timeouts, expire records and return the messages that are due.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of Envelope
        """
        envelopes = self._handle_pause(now)
        if self.superseded:
            return []
        self._ticks += 1
        envelopes += self._check_silence(now)
        if self._ticks % EXPIRY_INTERVAL_TICKS == 0:
            for name in self._expire_records(now):
                self._remove(name)
        self._update_targets(now)
        envelopes += self._dissemination.build_due_heartbeats(
            self._ticks, self.own.state
        )
        envelopes += self.discovery.build_messages(
            self.table, now, request=TableRequest(self.own), probe=Probe(self.own)
        )
        return envelopes

    def flush(self, now: float, *, all_targets: bool = False) -> list[Envelope]:
        """Return heartbeats for the neighbours that have changed records queued.

        Parameters
        ----------
        now : float
            Current time in seconds.
        all_targets : bool
            Whether to include the neighbours that have nothing queued.

        Returns
        -------
        list of Envelope
        """
        if self.superseded:
            return []
        self._update_targets(now)
        return self._dissemination.build_update_heartbeats(
            self.own.state, all_targets=all_targets
        )

    def receive(
        self, sender: str, incarnation: int, message: MembershipMessage, now: float
    ) -> list[Envelope]:
        """Process a message from another instance.

        Parameters
        ----------
        sender : str
            Name of the sender.
        incarnation : int
            Incarnation of the sender when it sent the message.
        message : MembershipMessage
        now : float
            Current time in seconds.

        Returns
        -------
        list of Envelope
        """
        known = self.table.get(sender)
        self._merge_records(message, sender, now)
        if sender == self.own.name:
            return []
        envelopes = self._notify_outdated_sender(sender, incarnation, now)
        if known and incarnation < known.incarnation:
            return envelopes
        self._detector.record_traffic(now)
        self._isolation.reset()
        envelopes += self._record_message(
            sender, now, heartbeat=isinstance(message, Heartbeat)
        )
        if known is None or known.state == MemberState.DEAD:
            envelopes += self._request_new_peer_table(sender, now)
        return envelopes + self._respond(sender, message, now)

    def _respond(
        self, sender: str, message: MembershipMessage, now: float
    ) -> list[Envelope]:
        match message:
            case Heartbeat():
                return self._receive_heartbeat(sender, message, now)
            case Probe(record):
                return [
                    _make_envelope(record, ProbeAnswer(self.own), new_connection=True)
                ]
            case Query(record, subject):
                return self._answer_query(record, subject, now)
            case QueryAnswer(subject):
                self.counts.indirect_signs += 1
                self._detector.record_indirect_confirmation(subject, now)
            case TableRequest(record):
                return [_make_envelope(record, TableAnswer(tuple(self.table)))]
            case TableAnswer():
                self.discovery.joined = True
                self._end_catch_up(message, now)
        return []

    def _merge_records(
        self, message: MembershipMessage, sender: str, now: float
    ) -> None:
        match message:
            case Heartbeat(updates=records) | TableAnswer(records=records):
                pass
            case QueryAnswer():
                return
            case _:
                records = (message.sender,)
        for record in records:
            self._merge_record(record, sender, now)

    def _notify_outdated_sender(
        self, name: str, incarnation: int, now: float
    ) -> list[Envelope]:
        """Send a suspect, dead or outdated sender its record, which it then refutes."""
        known = self.table.get(name)
        if known is None or known.incarnation < incarnation:
            return []
        is_outdated = known.incarnation > incarnation
        if known.state < MemberState.SUSPECT and not is_outdated:
            return []
        if not self._reconciliation.allow_notice(name, now):
            return []
        return [_make_envelope(known, TableAnswer((known,)))]

    def _receive_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[Envelope]:
        for report in message.loads:
            if self.table.get(report.name) and self.loads.merge(report):
                self._dissemination.queue_load(report.name, received_from=sender)
        record = self.table.get(sender)
        own_digest = self.table.digest
        if (
            self._reconciliation.is_request_due(sender, message.digest, own_digest, now)
            and record
        ):
            return self._request_table(record)
        return []

    def _request_new_peer_table(self, sender: str, now: float) -> list[Envelope]:
        record = self.table.get(sender)
        if record is None or record.state == MemberState.DEAD:
            return []
        if not self._reconciliation.allow_new_peer_request(now):
            return []
        return self._request_table(record)

    def _request_table(self, record: MemberRecord) -> list[Envelope]:
        self.counts.table_requests += 1
        return [_make_envelope(record, TableRequest(self.own))]

    def _record_message(
        self, name: str, now: float, *, heartbeat: bool
    ) -> list[Envelope]:
        self._detector.record_message(name, now, heartbeat=heartbeat)
        return [
            Envelope(querier, address, QueryAnswer(name))
            for querier, address in self._pending_queries.pop(name, {}).items()
        ]

    def _answer_query(
        self, querier: MemberRecord, subject: str, now: float
    ) -> list[Envelope]:
        record = self.table.get(subject)
        if record is None or subject == self.own.name:
            return []
        if self._detector.heard_recently(subject, now):
            return [_make_envelope(querier, QueryAnswer(subject))]
        self._pending_queries.setdefault(subject, {})[querier.name] = (
            querier.control_address
        )
        return [_make_envelope(record, Probe(self.own), new_connection=True)]

    def _check_silence(self, now: float) -> list[Envelope]:
        result = self._detector.check(now)
        envelopes = []
        for name in result.silent:
            self.counts.silences += 1
            envelopes += self._verify_liveness(name)
        isolated = self.is_isolated(now)
        for name in result.unconfirmed:
            if isolated:
                self._isolation.add_unresponsive(name)
            else:
                self._suspect(name, now)
        if isolated:
            probed = self._isolation.choose_probe_targets(
                self.table, self.own.name, now
            )
            probe = Probe(self.own)
            envelopes += [
                _make_envelope(each, probe, new_connection=True) for each in probed
            ]
        return envelopes

    def _verify_liveness(self, name: str) -> list[Envelope]:
        record = self.table.get(name)
        if record is None:
            return []
        query = Query(self.own, name)
        envelopes = [_make_envelope(record, Probe(self.own), new_connection=True)]
        for watcher in self._dissemination.watchers(name)[:MAX_QUERIED_WATCHERS]:
            envelopes.append(_make_envelope(self.table.get(watcher), query))
        return envelopes

    def _suspect(self, name: str, now: float) -> None:
        record = self.table.get(name)
        if record is None:
            self._detector.stop_watching(name)
            return
        if record.state >= MemberState.SUSPECT:
            return
        self.counts.suspicions += 1
        self._merge_record(record._replace(state=MemberState.SUSPECT), "", now)

    def _remove(self, name: str) -> None:
        if name != self.own.name and not self.discovery.is_listed(name):
            self.table.remove(name)
            self._reconciliation.remove(name)

    def _handle_pause(self, now: float) -> list[Envelope]:
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s < PAUSE_THRESHOLD_S:
            return []
        self.counts.pauses += 1
        self.table.shift_change_times(gap_s)
        self._detector.restart_timeouts(now)
        if not self.superseded:
            self._replace_own(now, incarnation=self.own.incarnation + 1)
        self._catch_up_until = now + CATCH_UP_TIMEOUT_S
        records = map(self.table.get, self.targets[:MAX_CATCH_UP_REQUESTS])
        return [_make_envelope(record, TableRequest(self.own)) for record in records]

    def _end_catch_up(self, answer: TableAnswer, now: float) -> None:
        if len(answer.records) > 1:  # a single record only notifies an outdated sender
            self._catch_up_until = now

    def _update_targets(self, now: float) -> None:
        if self._dissemination.update_targets():
            self._detector.set_expected(self._dissemination.sources(), now)


def _make_envelope(
    record: MemberRecord, message: MembershipMessage, *, new_connection: bool = False
) -> Envelope:
    return Envelope(record.name, record.control_address, message, new_connection)
