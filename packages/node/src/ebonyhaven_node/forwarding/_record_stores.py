"""Interfaces of the records that outlive all instances."""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from ebonyhaven_decisions.forwarding import (
    LossReport,
    SegmentWrite,
    StreamKey,
    StreamRecord,
    VersionSnapshot,
)
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


class StoredSegment(NamedTuple):
    """Records of streams, as read from the store.

    Parameters
    ----------
    own_number : int or None
        Number of the segment if this instance or its predecessor wrote it.
    records : mapping of StreamKey to StreamRecord
    age_s : float
        Time since it was written last, seconds.
    """

    own_number: int | None
    records: Mapping[StreamKey, StreamRecord]
    age_s: float


class StreamRecordStore(abc.ABC):
    """Durable records of the streams that may be taken up again, in segments.

    They outlive all instances. The copy of a record may be out of date, because engines
    refuse to resume from a copy that they no longer have.
    """

    @abc.abstractmethod
    def observe_restore(self, observer: Callable[[], None]) -> None:
        """Call ``observer`` when the store may have lost what was written last.

        Parameters
        ----------
        observer : callable
        """

    @abc.abstractmethod
    async def write(self, write: SegmentWrite) -> None:
        """Replace and remove segments of this instance, all or none.

        Parameters
        ----------
        write : SegmentWrite

        Raises
        ------
        RecordStoreError
            The write may have been applied nevertheless, or may be later.
        """

    @abc.abstractmethod
    async def read(self) -> list[StoredSegment]:
        """Return the segments of all instances, the one written last at the end.

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
