"""Membership of the instances: who is live, leaving, suspect or dead."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ebonyhaven_decisions._contacts import Contacts
from ebonyhaven_decisions._detection import CONFIRMATION_S, SILENCE_S
from ebonyhaven_decisions._isolation import Isolation
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
EXPIRY_TICKS = 4
PAUSE_S = SILENCE_S + CONFIRMATION_S
CATCH_UP_S = 2.0
MAX_CATCH_UP_REQUESTS = 2
MAX_HELPERS = 3


class Membership(MemberView):
    """View of one instance on all instances.

    Each call returns the messages to send. ``tick`` has to be called every
    ``TICK_S`` seconds, ``flush`` soon after ``has_news`` turns true.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    rng : random.Random
    now : float
        Present time in seconds of a clock that goes on during pauses.
    """

    def __init__(self, *, own: MemberRecord, rng: random.Random, now: float):
        super().__init__(own=own, now=now)
        self.contacts = Contacts(name=own.name, rng=rng)
        self._isolation = Isolation(rng=rng)
        self._reconciliation = Reconciliation()
        self._askers: dict[str, dict[str, str]] = {}
        self._ticks = 0
        self._ticked_at = now
        self._catch_up_until = now
        self._arrange(now)

    @property
    def has_news(self) -> bool:
        """Whether changed records wait to be sent."""
        return self._announcements.has_news

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of the instances that get heartbeats."""
        return self._announcements.targets

    @property
    def unheard(self) -> frozenset[str]:
        """Instances that gave no answer while nobody was heard."""
        return frozenset(self._isolation.unheard)

    def is_isolated(self, now: float) -> bool:
        """Return whether nothing was heard from any instance for a while.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
        """
        return self._detector.is_isolated(now)

    def is_outdated(self, now: float) -> bool:
        """Return whether this process was paused and has not caught up yet.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
        """
        return now - self._ticked_at >= PAUSE_S or now < self._catch_up_until

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Set the instances that the platform lists.

        Parameters
        ----------
        addresses : mapping of str to str
            Control address by name.
        """
        self.contacts.set_listed(addresses)

    def leave(self, now: float) -> None:
        """Announce that this instance takes no new callers.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._replace_own(now, state=MemberState.LEAVING)

    def depart(self, now: float) -> list[Envelope]:
        """Announce the end of this instance.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of Envelope
        """
        targets = self.targets
        self._replace_own(now, state=MemberState.DEAD)
        return [self._announcements.make(name, self.own.state) for name in targets]

    def tick(self, now: float) -> list[Envelope]:
        """Do what is due by time.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of Envelope
        """
        envelopes = self._notice_pause(now)
        if self.superseded:
            return []
        self._ticks += 1
        envelopes += self._check_silence(now)
        if self._ticks % EXPIRY_TICKS == 0:
            for name in self._expire(now):
                self._forget(name)
        self._arrange(now)
        envelopes += self._announcements.make_turn(self._ticks, self.own.state)
        envelopes += self.contacts.choose(
            self.table, now, request=TableRequest(self.own), probe=Probe(self.own)
        )
        return envelopes

    def flush(self, now: float, *, everyone: bool = False) -> list[Envelope]:
        """Return heartbeats for the neighbours that changed records wait for.

        Parameters
        ----------
        now : float
            Present time in seconds.
        everyone : bool
            Whether to send to the other neighbours as well.

        Returns
        -------
        list of Envelope
        """
        if self.superseded:
            return []
        self._arrange(now)
        return self._announcements.make_news(self.own.state, everyone=everyone)

    def receive(
        self, sender: str, incarnation: int, message: MembershipMessage, now: float
    ) -> list[Envelope]:
        """Take in a message.

        Parameters
        ----------
        sender : str
            Name of the instance that sent it.
        incarnation : int
            Its incarnation when it was sent.
        message : MembershipMessage
        now : float
            Present time in seconds.

        Returns
        -------
        list of Envelope
        """
        known = self.table.get(sender)
        self._take_records(message, sender, now)
        if sender == self.own.name:
            return []
        envelopes = self._give_notice(sender, incarnation, now)
        if known and incarnation < known.incarnation:
            return envelopes
        self._detector.hear_any(now)
        self._isolation.end()
        envelopes += self._hear(sender, now, heartbeat=isinstance(message, Heartbeat))
        if known is None or known.state == MemberState.DEAD:
            envelopes += self._meet(sender, now)
        return envelopes + self._respond(sender, message, now)

    def _respond(
        self, sender: str, message: MembershipMessage, now: float
    ) -> list[Envelope]:
        match message:
            case Heartbeat():
                return self._receive_heartbeat(sender, message, now)
            case Probe(record):
                return [_address(record, ProbeAnswer(self.own), fresh=True)]
            case Query(record, subject):
                return self._answer_query(record, subject, now)
            case QueryAnswer(subject):
                self.counts.indirect_signs += 1
                self._detector.hear_indirectly(subject, now)
            case TableRequest(record):
                return [_address(record, TableAnswer(tuple(self.table)))]
            case TableAnswer():
                self.contacts.joined = True
                self._end_catch_up(message, now)
        return []

    def _take_records(
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
            self._take_record(record, sender, now)

    def _give_notice(self, name: str, incarnation: int, now: float) -> list[Envelope]:
        """Tell a sender that is suspect, dead or outdated, so that it refutes."""
        known = self.table.get(name)
        if known is None or known.incarnation < incarnation:
            return []
        outdated = known.incarnation > incarnation
        if known.state < MemberState.SUSPECT and not outdated:
            return []
        if not self._reconciliation.claim_notice(name, now):
            return []
        return [_address(known, TableAnswer((known,)))]

    def _receive_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[Envelope]:
        for report in message.loads:
            if self.table.get(report.name) and self.loads.merge(report):
                self._announcements.add_load(report.name, informant=sender)
        record = self.table.get(sender)
        own = self.table.digest
        if self._reconciliation.compare(sender, message.digest, own, now) and record:
            return self._request_table(record)
        return []

    def _meet(self, sender: str, now: float) -> list[Envelope]:
        record = self.table.get(sender)
        if record is None or record.state == MemberState.DEAD:
            return []
        if not self._reconciliation.meet(now):
            return []
        return self._request_table(record)

    def _request_table(self, record: MemberRecord) -> list[Envelope]:
        self.counts.table_requests += 1
        return [_address(record, TableRequest(self.own))]

    def _hear(self, name: str, now: float, *, heartbeat: bool) -> list[Envelope]:
        self._detector.hear(name, now, heartbeat=heartbeat)
        return [
            Envelope(asker, address, QueryAnswer(name))
            for asker, address in self._askers.pop(name, {}).items()
        ]

    def _answer_query(
        self, asker: MemberRecord, subject: str, now: float
    ) -> list[Envelope]:
        record = self.table.get(subject)
        if record is None or subject == self.own.name:
            return []
        if self._detector.hears(subject, now):
            return [_address(asker, QueryAnswer(subject))]
        self._askers.setdefault(subject, {})[asker.name] = asker.control_address
        return [_address(record, Probe(self.own), fresh=True)]

    def _check_silence(self, now: float) -> list[Envelope]:
        findings = self._detector.check(now)
        envelopes = []
        for name in findings.silent:
            self.counts.silences += 1
            envelopes += self._ask_about(name)
        isolated = self.is_isolated(now)
        for name in findings.unconfirmed:
            if isolated:
                self._isolation.add_unheard(name)
            else:
                self._suspect(name, now)
        if isolated:
            probed = self._isolation.choose_probes(self.table, self.own.name, now)
            probe = Probe(self.own)
            envelopes += [_address(each, probe, fresh=True) for each in probed]
        return envelopes

    def _ask_about(self, name: str) -> list[Envelope]:
        record = self.table.get(name)
        if record is None:
            return []
        query = Query(self.own, name)
        envelopes = [_address(record, Probe(self.own), fresh=True)]
        for helper in self._announcements.watchers(name)[:MAX_HELPERS]:
            envelopes.append(_address(self.table.get(helper), query))
        return envelopes

    def _suspect(self, name: str, now: float) -> None:
        record = self.table.get(name)
        if record is None:
            self._detector.drop(name)
            return
        if record.state >= MemberState.SUSPECT:
            return
        self.counts.suspicions += 1
        self._take_record(record._replace(state=MemberState.SUSPECT), "", now)

    def _forget(self, name: str) -> None:
        if name != self.own.name and not self.contacts.is_listed(name):
            self.table.forget(name)
            self._reconciliation.forget(name)

    def _notice_pause(self, now: float) -> list[Envelope]:
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s < PAUSE_S:
            return []
        self.counts.pauses += 1
        self.table.postpone_changes(gap_s)
        self._detector.pardon(now)
        if not self.superseded:
            self._replace_own(now, incarnation=self.own.incarnation + 1)
        self._catch_up_until = now + CATCH_UP_S
        records = map(self.table.get, self.targets[:MAX_CATCH_UP_REQUESTS])
        return [_address(record, TableRequest(self.own)) for record in records]

    def _end_catch_up(self, answer: TableAnswer, now: float) -> None:
        if len(answer.records) > 1:  # a single record is a notice
            self._catch_up_until = now

    def _arrange(self, now: float) -> None:
        if self._announcements.arrange():
            self._detector.set_expected(self._announcements.sources(), now)


def _address(
    record: MemberRecord, message: MembershipMessage, *, fresh: bool = False
) -> Envelope:
    return Envelope(record.name, record.control_address, message, fresh)
