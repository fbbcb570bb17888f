"""Interfaces of the records that outlive all instances."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import LossReport, StreamRecord, VersionSnapshot


class RecordStoreError(Exception):
    """Raised if records of runs cannot be written or read."""


class StoredRecord(NamedTuple):
    """Record of a stream, as read from the store.

    Parameters
    ----------
    record : StreamRecord
    age_s : float
        Time since the instance that wrote it last confirmed it, seconds.
    """

    record: StreamRecord
    age_s: float


class StreamRecordStore(abc.ABC):
    """Durable records of open streams.

    They outlive all instances. The copy of a record may be out of date, because engines
    refuse to resume from a copy that they no longer have.
    """

    @abc.abstractmethod
    async def write(self, records: Mapping[str, StreamRecord]) -> None:
        """Replace the records that this instance wrote before.

        Parameters
        ----------
        records : mapping of str to StreamRecord
            By key of the stream.

        Raises
        ------
        RecordStoreError
            The write may have been applied nevertheless.
        """

    @abc.abstractmethod
    async def read(self) -> dict[str, StoredRecord]:
        """Return the records of all instances.

        Returns
        -------
        dict of str to StoredRecord
            By key of the stream.

        Raises
        ------
        RecordStoreError
        """


class LossRecordStore(abc.ABC):
    """Durable records of the losses of servers; they outlive all instances."""

    @abc.abstractmethod
    async def write(self, reports: Sequence[LossReport]) -> None:
        """Replace the reports that this instance wrote before.

        Parameters
        ----------
        reports : sequence of LossReport

        Raises
        ------
        RecordStoreError
            The write may have been applied nevertheless.
        """

    @abc.abstractmethod
    async def read(self) -> list[LossReport]:
        """Return the reports of all instances.

        Raises
        ------
        RecordStoreError
        """


class VersionRecordStore(abc.ABC):
    """Durable record of the software versions in use; it outlives all instances."""

    @abc.abstractmethod
    async def write(self, snapshot: VersionSnapshot) -> None:
        """Replace the snapshot that this instance wrote before.

        Parameters
        ----------
        snapshot : VersionSnapshot

        Raises
        ------
        RecordStoreError
            The write may have been applied nevertheless.
        """

    @abc.abstractmethod
    async def read(self) -> list[VersionSnapshot]:
        """Return the snapshots of all instances.

        Raises
        ------
        RecordStoreError
        """
