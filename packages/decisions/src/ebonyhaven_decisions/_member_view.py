"""Records that one instance holds about all, and its defence of its own."""

from __future__ import annotations

import dataclasses

from ebonyhaven_decisions._announcements import Announcements
from ebonyhaven_decisions._detection import Detector
from ebonyhaven_decisions._loads import LoadTable
from ebonyhaven_decisions._members import MemberRecord, MemberState, MemberTable

SUSPICION_S = 5.0
FORGET_S = 3600.0


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


class MemberView:
    """Member table of an instance with everything that a new record touches.

    Parameters
    ----------
    own : MemberRecord
        Record of this instance.
    now : float
        Present time in seconds.
    """

    def __init__(self, *, own: MemberRecord, now: float):
        self.own = own
        self.table = MemberTable()
        self.loads = LoadTable()
        self.counts = MembershipCounts()
        self.superseded = False
        self._changes: list[MemberRecord] = []
        self._detector = Detector()
        self._announcements = Announcements(
            name=own.name, table=self.table, loads=self.loads
        )
        self.table.merge(own, now)

    def take_changes(self) -> list[MemberRecord]:
        """Return the records that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

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
            self._announcements.add_load(own.name)

    def _take_record(self, record: MemberRecord, informant: str, now: float) -> None:
        if record.name == self.own.name:
            self._defend(record, now)
        elif self.table.merge(record, now):
            if record.state == MemberState.DEAD:
                self._detector.drop(record.name)
                self.loads.forget(record.name)
            self._changes.append(record)
            self._announcements.add_record(record.name, informant=informant)

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
        self._announcements.add_record(self.own.name)

    def _expire(self, now: float) -> list[str]:
        """Declare dead who was suspect for long; return who was dead for long."""
        forgettable = []
        for record in list(self.table):
            age_s = now - self.table.changed_at(record.name)
            if record.state == MemberState.SUSPECT and age_s >= SUSPICION_S:
                self.counts.deaths += 1
                self._take_record(record._replace(state=MemberState.DEAD), "", now)
            elif record.state == MemberState.DEAD and age_s >= FORGET_S:
                forgettable.append(record.name)
        return forgettable
