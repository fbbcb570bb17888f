"""Member records and their merge by incarnation."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Iterator
from typing import NamedTuple

DIGEST_MASK = 0xFFFFFF


class MemberState(enum.IntEnum):
    """State of an instance; at one incarnation the higher value wins."""

    LIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class MemberRecord(NamedTuple):
    """State of an instance as known to another one.

    Parameters
    ----------
    incarnation : int
        Increased by the instance itself to refute a suspicion; the record with the
        higher incarnation wins.
    state : MemberState
    name : str
        Name of the instance.
    control_address, caller_address : str
        ``IP:PORT``.
    data_centre, region : str
    """

    incarnation: int
    state: MemberState
    name: str
    control_address: str
    caller_address: str
    data_centre: str
    region: str

    def compute_digest(self) -> int:
        """Return a 24-bit digest of name, incarnation and state."""
        text = f"{self.name} {self.incarnation} {int(self.state)}"
        return zlib.crc32(text.encode()) & DIGEST_MASK


def merge_records(first: MemberRecord, second: MemberRecord) -> MemberRecord:
    """Return the newer of two records of the same instance.

    The order is total (incarnation, state, then the remaining fields), so the merge
    is commutative, associative and idempotent.

    Parameters
    ----------
    first, second : MemberRecord

    Returns
    -------
    MemberRecord
    """
    return max(first, second)


class MemberTable:
    """Newest record of each known instance.

    A record is only replaced by a newer one. `Membership` removes the records of
    unlisted instances that have been dead for ``DEAD_RETENTION_S`` seconds.
    """

    __slots__ = ("_changed_at", "_digest", "_records", "_version")

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._digest = 0
        self._version = 0

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """Digest of the records that are not dead, to compare two tables."""
        return self._digest

    @property
    def version(self) -> int:
        """Number of changes, to invalidate values derived from the table."""
        return self._version

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of an instance, or None if it is unknown.

        Parameters
        ----------
        name : str

        Returns
        -------
        MemberRecord or None
        """
        return self._records.get(name)

    def changed_at(self, name: str) -> float:
        """Return the time in seconds when the record of an instance last changed.

        Parameters
        ----------
        name : str
            Name of a known instance.

        Returns
        -------
        float
        """
        return self._changed_at[name]

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Store a record if it is newer than the stored one.

        Parameters
        ----------
        record : MemberRecord
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the table changed.
        """
        known = self._records.get(record.name)
        if known is not None:
            if merge_records(known, record) == known:
                return False
            self._toggle_digest(known)
        self._records[record.name] = record
        self._changed_at[record.name] = now
        self._toggle_digest(record)
        self._version += 1
        return True

    def shift_change_times(self, seconds: float) -> None:
        """Move the change times of all records forward after a pause of this process.

        Parameters
        ----------
        seconds : float
            Length of the pause.
        """
        for name in self._changed_at:
            self._changed_at[name] += seconds

    def remove(self, name: str) -> None:
        """Remove the record of an instance.

        Parameters
        ----------
        name : str
        """
        record = self._records.pop(name)
        del self._changed_at[name]
        self._toggle_digest(record)
        self._version += 1

    def _toggle_digest(self, record: MemberRecord) -> None:
        if record.state != MemberState.DEAD:
            self._digest ^= record.compute_digest()
