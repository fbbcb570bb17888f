"""Membership of the instances: who is live, leaving, suspect or dead."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from ebonyhaven_decisions._contacts import Contacts
from ebonyhaven_decisions._detection import CONFIRMATION_S, SILENCE_S, Detector
from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import MemberRecord, MemberState, MemberTable
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
from ebonyhaven_decisions._news import NewsQueues
from ebonyhaven_decisions._rings import Rings

TICK_S = 0.25
HEARTBEAT_TICKS = 2
SUSPICION_S = 5.0
FORGET_S = 3600.0
MISMATCH_S = 4.0
TABLE_REQUEST_INTERVAL_S = 15.0
NOTICE_INTERVAL_S = 1.0
PAUSE_S = SILENCE_S + CONFIRMATION_S
MAX_UPDATES = 8
MAX_LOADS = 3
MAX_HELPERS = 3
MAX_ISOLATED_PROBES = 3


@dataclasses.dataclass(slots=True)
class MembershipCounts:
    """Counts of events since the start.

    ``suspicions`` counts those that this instance raised itself.
    """

    silences: int = 0
    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    indirect_signs: int = 0
    pauses: int = 0
    table_requests: int = 0


class Membership:
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
        self.own = own
        self.table = MemberTable()
        self.loads = LoadTable()
        self.counts = MembershipCounts()
        self.superseded = False
        self.unheard: set[str] = set()
        self.contacts = Contacts(name=own.name, rng=rng)
        self._rng = rng
        self._detector = Detector()
        self._records_news = NewsQueues()
        self._loads_news = NewsQueues()
        self._targets: tuple[str, ...] = ()
        self._rings = Rings(())
        self._rings_version = -1
        self._ticks = 0
        self._ticked_at = now
        self._probed: dict[str, float] = {}
        self._askers: dict[str, dict[str, str]] = {}
        self._noticed_at: dict[str, float] = {}
        self._mismatched_at: dict[str, float] = {}
        self._table_requested_at = float("-inf")
        self.table.merge(own, now)
        self._arrange(now)

    @property
    def has_news(self) -> bool:
        """Whether changed records wait to be sent."""
        return bool(self._records_news.waiting())

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of the instances that get heartbeats."""
        return self._targets

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

    def set_listed(self, addresses: Mapping[str, str]) -> None:
        """Set the instances that the platform lists.

        Parameters
        ----------
        addresses : mapping of str to str
            Control address by name.
        """
        self.contacts.set_listed(addresses)

    def set_load(self, tenths: int, now: float) -> None:
        """Set the load of this instance.

        Parameters
        ----------
        tenths : int
            0 (idle) to 10 (full).
        now : float
            Present time in seconds.
        """
        own = self.own
        if self.loads.report_own(own.name, own.incarnation, tenths, now):
            self._loads_news.add(own.name, informant="")

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
        self._replace_own(now, state=MemberState.DEAD)
        return [self._make_heartbeat(name) for name in self._targets]

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
        self._expire(now)
        self._arrange(now)
        turn = self._ticks % HEARTBEAT_TICKS
        for index, name in enumerate(self._targets):
            if index % HEARTBEAT_TICKS == turn:
                envelopes.append(self._make_heartbeat(name))
        probe = Probe(self.own)
        request = TableRequest(self.own)
        envelopes += self.contacts.choose(self.table, now, request=request, probe=probe)
        return envelopes

    def flush(self, now: float) -> list[Envelope]:
        """Return heartbeats for the neighbours that changed records wait for.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list of Envelope
        """
        self._arrange(now)
        return [self._make_heartbeat(name) for name in self._records_news.waiting()]

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
        was_present = known is not None and known.state != MemberState.DEAD
        self._take_records(message, sender, now)
        if sender == self.own.name:
            return []
        envelopes = self._give_notice(sender, incarnation, now)
        if known and incarnation < known.incarnation:
            return envelopes
        self._detector.hear_any(now)
        self.unheard.clear()
        self._probed.clear()
        envelopes += self._hear(sender, now, heartbeat=isinstance(message, Heartbeat))
        if not was_present:
            envelopes += self._request_first_table(sender, now)
        match message:
            case Heartbeat():
                envelopes += self._receive_heartbeat(sender, message, now)
            case Probe(record):
                envelopes.append(self._reply(record, ProbeAnswer(self.own)))
            case Query(record, subject):
                envelopes += self._answer_query(record, subject, now)
            case QueryAnswer(subject):
                self.counts.indirect_signs += 1
                self._detector.hear_indirectly(subject, now)
            case TableRequest(record):
                answer = TableAnswer(tuple(self.table))
                envelopes.append(self._reply(record, answer))
            case TableAnswer():
                self.contacts.joined = True
        return envelopes

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
        if now - self._noticed_at.get(name, float("-inf")) < NOTICE_INTERVAL_S:
            return []
        self._noticed_at[name] = now
        return [self._reply(known, TableAnswer((known,)))]

    def _take_record(self, record: MemberRecord, informant: str, now: float) -> None:
        if record.name == self.own.name:
            self._defend(record, now)
        elif self.table.merge(record, now):
            if record.state == MemberState.DEAD:
                self._detector.drop(record.name)
                self.loads.forget(record.name)
            self._records_news.add(record.name, informant=informant)

    def _defend(self, record: MemberRecord, now: float) -> None:
        if record <= self.own or self.own.state == MemberState.DEAD:
            return
        another = record.control_address != self.own.control_address
        present = record.state < MemberState.SUSPECT
        if another and present and record.incarnation > self.own.incarnation:
            self.superseded = True
            return
        self.counts.refutations += 1
        self._replace_own(now, incarnation=record.incarnation + 1)

    def _replace_own(self, now: float, **changes: int) -> None:
        self.own = self.own._replace(**changes)
        self.table.merge(self.own, now)
        self._records_news.add(self.own.name, informant="")

    def _receive_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[Envelope]:
        for report in message.loads:
            if self.table.get(report.name) and self.loads.merge(report):
                self._loads_news.add(report.name, informant=sender)
        return self._compare_digests(sender, message.digest, now)

    def _compare_digests(self, sender: str, digest: int, now: float) -> list[Envelope]:
        record = self.table.get(sender)
        if digest == self.table.digest or record is None:
            self._mismatched_at.pop(sender, None)
            return []
        since = self._mismatched_at.setdefault(sender, now)
        if now - since < MISMATCH_S:
            return []
        if now - self._table_requested_at < TABLE_REQUEST_INTERVAL_S:
            return []
        return self._request_table(record, now)

    def _request_first_table(self, sender: str, now: float) -> list[Envelope]:
        record = self.table.get(sender)
        if record is None or record.state == MemberState.DEAD:
            return []
        if now - self._table_requested_at < NOTICE_INTERVAL_S:
            return []
        return self._request_table(record, now)

    def _request_table(self, record: MemberRecord, now: float) -> list[Envelope]:
        self._table_requested_at = now
        self._mismatched_at.clear()
        self.counts.table_requests += 1
        return [self._reply(record, TableRequest(self.own))]

    def _hear(self, name: str, now: float, *, heartbeat: bool) -> list[Envelope]:
        self._detector.hear(name, now, heartbeat=heartbeat)
        answer = QueryAnswer(name)
        return [
            Envelope(asker, address, answer)
            for asker, address in self._askers.pop(name, {}).items()
        ]

    def _answer_query(
        self, asker: MemberRecord, subject: str, now: float
    ) -> list[Envelope]:
        record = self.table.get(subject)
        if record is None or subject == self.own.name:
            return []
        if self._detector.hears(subject, now):
            return [self._reply(asker, QueryAnswer(subject))]
        self._askers.setdefault(subject, {})[asker.name] = asker.control_address
        return [self._reply(record, Probe(self.own), fresh=True)]

    def _check_silence(self, now: float) -> list[Envelope]:
        findings = self._detector.check(now)
        isolated = self.is_isolated(now)
        envelopes = []
        for name in findings.silent:
            self.counts.silences += 1
            envelopes += self._ask_about(name)
        for name in findings.unconfirmed:
            if isolated:
                self.unheard.add(name)
            else:
                self._suspect(name, now)
        if isolated:
            envelopes += self._probe_when_isolated(now)
        return envelopes

    def _ask_about(self, name: str) -> list[Envelope]:
        record = self.table.get(name)
        if record is None:
            return []
        helpers = [each for each in self._rings.targets(name) if each != self.own.name]
        query = Query(self.own, name)
        envelopes = [self._reply(record, Probe(self.own), fresh=True)]
        for helper in helpers[:MAX_HELPERS]:
            envelopes.append(self._reply(self.table.get(helper), query))
        return envelopes

    def _probe_when_isolated(self, now: float) -> list[Envelope]:
        for name, probed_at in self._probed.items():
            if now - probed_at >= CONFIRMATION_S:
                self.unheard.add(name)
        others = [
            record
            for record in self.table
            if record.state != MemberState.DEAD
            and record.name != self.own.name
            and record.name not in self._probed
        ]
        chosen = self._rng.sample(others, min(MAX_ISOLATED_PROBES, len(others)))
        self._probed.update((record.name, now) for record in chosen)
        return [self._reply(each, Probe(self.own), fresh=True) for each in chosen]

    def _suspect(self, name: str, now: float) -> None:
        record = self.table.get(name)
        if record is None:
            self._detector.drop(name)
            return
        if record.state >= MemberState.SUSPECT:
            return
        self.counts.suspicions += 1
        self._take_record(record._replace(state=MemberState.SUSPECT), "", now)

    def _expire(self, now: float) -> None:
        for record in list(self.table):
            age_s = now - self.table.changed_at(record.name)
            if record.state == MemberState.SUSPECT and age_s >= SUSPICION_S:
                self.counts.deaths += 1
                self._take_record(record._replace(state=MemberState.DEAD), "", now)
            elif record.state == MemberState.DEAD and age_s >= FORGET_S:
                self._forget(record.name)

    def _forget(self, name: str) -> None:
        if name != self.own.name and not self.contacts.is_listed(name):
            self.table.forget(name)
            self._noticed_at.pop(name, None)

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
        request = TableRequest(self.own)
        records = [self.table.get(name) for name in self._targets]
        return [self._reply(record, request) for record in records if record][:1]

    def _arrange(self, now: float) -> None:
        if self._rings_version == self.table.version:
            return
        self._rings_version = self.table.version
        self._rings = Rings(self.table)
        self._targets = self._rings.targets(self.own.name)
        self._records_news.set_neighbours(self._targets, introduce=self.own.name)
        self._loads_news.set_neighbours(self._targets, introduce=self.own.name)
        self._detector.set_expected(self._rings.sources(self.own.name), now)

    def _make_heartbeat(self, name: str) -> Envelope:
        updates = self._records_news.take(name, MAX_UPDATES)
        reports = [
            self.loads.get(each) for each in self._loads_news.take(name, MAX_LOADS)
        ]
        heartbeat = Heartbeat(
            state=self.own.state,
            digest=self.table.digest,
            updates=tuple(filter(None, map(self.table.get, updates))),
            loads=tuple(filter(None, reports)),
        )
        return self._reply(self.table.get(name), heartbeat)

    def _reply(
        self, record: MemberRecord, message: MembershipMessage, *, fresh: bool = False
    ) -> Envelope:
        return Envelope(record.name, record.control_address, message, fresh)
