"""Interfaces of a deployment for tests that set its state themselves."""

from __future__ import annotations

from ebonyhaven_node.forwarding.interfaces import (
    InspectedServer,
    LossRecordStore,
    RecordStoreError,
    RunCopier,
    ServerInspector,
    StateSource,
    StateVersion,
    StoredSegment,
    StreamRecordStore,
    VersionRecordStore,
)
from twisted.internet import task
from twisted.internet.defer import Deferred, succeed

STILL_POLL_S = 0.01


class StaticStateSource(StateSource):
    """A source without updates; tests set the state directly.

    Attributes
    ----------
    unread : list of callable
        Apply changes of the server list that the instance learns with its next read.
    is_slow : bool
        Whether a read takes until `finish_reads` is called.
    """

    unresponsive = False
    refresh_count = 0
    versions = StateVersion(1, 0, 1)
    is_slow = False
    read_count = 0

    def __init__(self) -> None:
        self.unread = []
        self._slow_reads = []

    async def read_server_changes(self) -> bool:
        self.read_count += 1
        unread, self.unread = self.unread, []
        if self.is_slow:
            self._slow_reads.append(Deferred())
            await self._slow_reads[-1]
        if self.unresponsive:
            self.unread = unread
            return False
        for apply in unread:
            apply()
        return True

    def finish_reads(self) -> None:
        reads, self._slow_reads = self._slow_reads, []
        for each in reads:
            each.callback(None)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def read_version(self) -> StateVersion:
        return self.versions

    def is_unresponsive(self) -> bool:
        return self.unresponsive

    def measure_configuration_age_s(self) -> float:
        return 0.0

    def measure_list_age_s(self) -> float:
        return 0.0

    def connect_group(self, group) -> None:
        pass

    def apply_changes(self, payload: object) -> None:
        pass

    def refresh_configuration(self) -> None:
        self.refresh_count += 1

    def export(self, known=None) -> object:
        return None

    def merge_change(self, payload: object) -> int | None:
        return None

    def merge(self, payload: object) -> None:
        pass


class FixedInspector(ServerInspector):
    """Returns the same result for each server; those that answer nothing time out.

    By default, no server tells when it started, so that each is the listed process.

    Parameters
    ----------
    reactor : IReactorTime
    unreachable : set of str
        Addresses at which connection attempts time out.

    Attributes
    ----------
    still : set of str
        Addresses of servers that accept connections and answer nothing.
    checked : list of str
        Addresses of the servers that were asked for their health.
    started_ms : dict of str to int
        Starts that differ from those of the result, by address, Unix milliseconds.
    """

    def __init__(self, reactor, unreachable):
        self._reactor = reactor
        self._unreachable = unreachable
        self.inspected = []
        self.checked = []
        self.still = set()
        self.started_ms = {}
        self.result = InspectedServer(is_engine=True, started_ms=0)

    async def inspect(self, address, *, timeout_s=0.5):
        self.inspected.append(address)
        if not await self._is_answered(address, timeout_s):
            return None
        if address in self.started_ms:
            return self.result._replace(started_ms=self.started_ms[address])
        return self.result

    async def check_health(self, address, *, path, timeout_s):
        self.checked.append(address)
        is_answered = await self._is_answered(address, timeout_s)
        return self.result if is_answered else None

    async def _is_answered(self, address, timeout_s):
        end = self._reactor.seconds() + timeout_s
        while self._is_silent(address) and self._reactor.seconds() < end:
            await task.deferLater(self._reactor, STILL_POLL_S)
        return not self._is_silent(address)

    def _is_silent(self, address):
        return address in self.still or address in self._unreachable


class FakeCopier(RunCopier):
    """Creates each copy immediately, or refuses all if ``handle`` is None."""

    def __init__(self):
        self.requested = []
        self.deleted = []
        self.handle = "h-1"

    async def copy_run(self, *, source, request_id, target):
        self.requested.append((source, request_id, target))
        return self.handle

    async def delete_copy(self, *, source, handle):
        self.deleted.append((source, handle))


class FakeRecordStore(StreamRecordStore):
    """Keeps the segments in memory; unavailable while ``is_down`` is set.

    Attributes
    ----------
    segments : dict of int to dict of StreamKey to StreamRecord
        What is kept, by number.
    writes : list of dict of StreamKey to StreamRecord
        The records of each write.
    """

    def __init__(self):
        self.segments = {}
        self.writes = []
        self.read_count = 0
        self.age_s = 0.0
        self.is_down = False
        self.restore_observers = []

    def observe_restore(self, observer):
        self.restore_observers.append(observer)

    def restore(self, segments):
        """Replace what is kept by an older copy."""
        self.segments = dict(segments)
        for observer in self.restore_observers:
            observer()

    async def write(self, write):
        if self.is_down:
            raise RecordStoreError("test")
        contents = write.written.values()
        self.writes.append({key: each[key] for each in contents for key in each})
        self.segments |= write.written
        for number in write.removed:
            self.segments.pop(number, None)

    async def read(self):
        self.read_count += 1
        if self.is_down:
            raise RecordStoreError("test")
        return [
            StoredSegment(number, dict(records), self.age_s)
            for number, records in sorted(self.segments.items())
        ]


class FakeVersionStore(VersionRecordStore):
    """Keeps the snapshot in memory; unavailable while ``is_down`` is set."""

    def __init__(self):
        self.snapshots = []
        self.write_count = 0
        self.is_down = False

    async def write(self, snapshot):
        if self.is_down:
            raise RecordStoreError("test")
        self.write_count += 1
        self.snapshots = [snapshot]

    async def read(self):
        if self.is_down:
            raise RecordStoreError("test")
        return list(self.snapshots)


class FakeLossStore(LossRecordStore):
    """Keeps the reports in memory; unavailable while ``is_down`` is set."""

    def __init__(self):
        self.reports = []
        self.write_count = 0
        self.is_down = False

    async def write(self, reports):
        if self.is_down:
            raise RecordStoreError("test")
        self.write_count += 1
        self.reports = list(reports)

    async def read(self):
        if self.is_down:
            raise RecordStoreError("test")
        return list(self.reports)


class FakeMembership:
    """A membership without other instances."""

    def leave(self):
        pass

    def depart(self):
        return succeed(None)
