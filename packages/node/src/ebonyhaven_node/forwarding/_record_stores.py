"""Interfaces of the records that outlive all instances."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import LossReport, StreamRecord, VersionSnapshot
from ebonyhaven_decisions.forwarding.rollouts import RolloutStage, StoredStage


class RecordStoreError(Exception):
    """Raised if records of runs cannot be written or read."""


class StageConflict(RecordStoreError):
    """Raised if another instance has written the stage of a roll-out meanwhile.

    Parameters
    ----------
    current : StoredStage or None
        What the store holds now; None for no row, or one that can't be read.
    row_version : int
        Version of the row; 0 if there is none.
    """

    def __init__(self, current: StoredStage | None, row_version: int):
        super().__init__("another stage was written meanwhile")
        self.current = current
        self.row_version = row_version


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


class RolloutRecordStore(abc.ABC):
    """Durable stages of the roll-outs, one of each service."""

    @abc.abstractmethod
    def read_time_s(self) -> float | None:
        """Return the time of the store's clock; None before its first answer."""

    @abc.abstractmethod
    async def read(self) -> list[StoredStage]:
        """Return the stages of all services.

        Raises
        ------
        RecordStoreError
        """

    @abc.abstractmethod
    async def write(
        self, stage: RolloutStage, *, row_version: int, tells_operators: bool
    ) -> int:
        """Replace the stage of a service, and tell operators of its state.

        Parameters
        ----------
        stage : RolloutStage
        row_version : int
            Version that the row must have; 0 for no row.
        tells_operators : bool
            Whether the state for operators is written with it.

        Returns
        -------
        int
            Version of the row.

        Raises
        ------
        StageConflict
            Nothing was written.
        RecordStoreError
            The write may have been applied nevertheless, or may be later.
        """
