"""Member table and load reports of an instance, and its refutation of suspicions."""

from __future__ import annotations

import dataclasses

from ebonyhaven_decisions._detection import FailureDetector
from ebonyhaven_decisions._dissemination import Disseminator
from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import MemberRecord, MemberState, MemberTable

SUSPICION_TIMEOUT_S = 5.0
DEAD_RETENTION_S = 3600.0


@dataclasses.dataclass(slots=True)
class MembershipCounts:
    """Numbers of events since the start of this instance.

    Parameters
    ----------
    silences : int
        Instances whose silence timeout expired.
    suspicions : int
        Suspicions raised by this instance.
    deaths : int
        Suspects that this instance declared dead.
    refutations : int
        Records of this instance that it refuted.
    indirect_signs : int
        Confirmations from other instances that a silent instance is alive.
    pauses : int
        Pauses of this process.
    table_requests : int
        Member tables requested from new peers or after a digest mismatch.
    """

    silences: int = 0
    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    indirect_signs: int = 0
    pauses: int = 0
    table_requests: int = 0


class MemberView:
    """Member table of an instance, updated with the records that it receives.

    A record of this instance that is newer than the current one is refuted with a
    higher incarnation, or marks this instance as superseded if it belongs to a newer
    process of the same name.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    now : float
        Current time in seconds.

    Attributes
    ----------
    superseded : bool
        Whether a newer process runs under the name of this instance.
    """

    def __init__(self, *, own: MemberRecord, now: float):
        self.own = own
        self.table = MemberTable()
        self.loads = LoadTable()
        self.counts = MembershipCounts()
        self.superseded = False
        self._changes: list[MemberRecord] = []
        self._detector = FailureDetector()
        self._dissemination = Disseminator(
            name=own.name, table=self.table, loads=self.loads
        )
        self.table.merge(own, now)

    def pop_changes(self) -> list[MemberRecord]:
        """Return the records of other instances that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def report_load(self, load_tenths: int, now: float) -> None:
        """Queue a load report of this instance if its load changed enough.

        Parameters
        ----------
        load_tenths : int
            0 (idle) to 10 (full).
        now : float
            Current time in seconds.
        """
        own = self.own
        if self.loads.report_own(own.name, own.incarnation, load_tenths, now):
            self._dissemination.queue_load(own.name)

    def _merge_record(
        self, record: MemberRecord, received_from: str, now: float
    ) -> None:
        if record.name == self.own.name:
            self._refute(record, now)
        elif self.table.merge(record, now):
            if record.state == MemberState.DEAD:
                self._detector.stop_watching(record.name)
                self.loads.remove(record.name)
            self._changes.append(record)
            self._dissemination.queue_record(record.name, received_from=received_from)

    def _refute(self, record: MemberRecord, now: float) -> None:
        """Refute a newer record of this instance.

        A record of a newer process marks this instance as superseded instead.
        """
        if record <= self.own or self.own.state == MemberState.DEAD:
            return
        is_other_process = record.control_address != self.own.control_address
        is_active = record.state < MemberState.SUSPECT
        if is_other_process and is_active and record.incarnation > self.own.incarnation:
            self.superseded = True
            return
        self.counts.refutations += 1
        self._replace_own(now, incarnation=record.incarnation + 1)

    def _replace_own(self, now: float, **changes: int) -> None:
        self.own = self.own._replace(**changes)
        self.table.merge(self.own, now)
        self._dissemination.queue_record(self.own.name)

    def _expire_records(self, now: float) -> list[str]:
        """Declare suspects dead whose timeout expired.

        Returns the names of dead instances whose retention time expired.
        """
        expired = []
        for record in list(self.table):
            if record.state < MemberState.SUSPECT:
                continue
            age_s = now - self.table.changed_at(record.name)
            if record.state == MemberState.SUSPECT and age_s >= SUSPICION_TIMEOUT_S:
                self.counts.deaths += 1
                self._merge_record(record._replace(state=MemberState.DEAD), "", now)
            elif record.state == MemberState.DEAD and age_s >= DEAD_RETENTION_S:
                expired.append(record.name)
        return expired
