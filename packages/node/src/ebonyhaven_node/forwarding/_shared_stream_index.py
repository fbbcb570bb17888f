"""Index of run copies, replicated so that it survives the loss of an instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    RunCopyLocation,
    StreamIndex,
    choose_index_instances,
    choose_recorder,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S, StreamRecorder
from ebonyhaven_node.forwarding.interfaces import StreamRecordStore

INDEX_ENTRY_TTL_S = 30.0  # exceeds the duration of a generation
QUERY_TIMEOUT_S = 0.05  # live instances reply within milliseconds

_log = structlog.get_logger()


class SharedStreamIndex:
    """Locations of run copies, with each entry replicated to several instances.

    Until `connect` is called, only the entries of this instance are available.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    store : StreamRecordStore
        Keeps entries in case all their replicas are lost.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Callable[[], float],
        store: StreamRecordStore,
    ):
        self._reactor = reactor
        self._clock = clock
        self._index = StreamIndex(INDEX_ENTRY_TTL_S)
        self._recorder = StreamRecorder(
            index=self._index, store=store, reactor=reactor, clock=clock
        )
        self._membership: MembershipController | None = None
        self._queries: dict[str, list[Deferred]] = {}

    def connect(self, membership: MembershipController, channels: Channels) -> None:
        """Start to replicate entries to other instances and to query them.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        """
        self._membership = membership
        channels.subscribe(FrameKind.STREAM_RECORD, self._handle_location)
        channels.subscribe(FrameKind.STREAM_RECORD_REQUEST, self._handle_query)
        channels.subscribe(FrameKind.STREAM_RECORD_ANSWER, self._handle_location)

    def publish(self, key: str, location: RunCopyLocation | None) -> None:
        """Set the location of the copy of a run on all replicas of its entry.

        Parameters
        ----------
        key : str
            See `ForwardRequest.stream_key`.
        location : RunCopyLocation or None
            None if the run has no copy any more.
        """
        self._record(key, location)
        for name in self._choose_replicas(key):
            self._membership.send(name, FrameKind.STREAM_RECORD, [key, location])

    def remove(self, key: str) -> None:
        """Remove the entry of a run on this instance only.

        Removing it on the replicas would add half of the traffic of publishing it.
        An outdated entry is harmless, because an engine refuses to resume from a copy
        that it no longer has.

        Parameters
        ----------
        key : str
        """
        self._index.record(key, None, self._clock())

    def stop(self) -> None:
        """Stop writing to the store."""
        self._recorder.stop()

    async def find(self, key: str, *, copy_ttl_s: float) -> RunCopyLocation | None:
        """Return the location of the copy of a run.

        If it is unknown, the replicas are queried, and then the store.

        Parameters
        ----------
        key : str
        copy_ttl_s : float
            Time for which an engine keeps the copy of a run that was cut off, seconds.

        Returns
        -------
        RunCopyLocation or None
            None if neither a replica nor the store returns a location in time.
        """
        location = self._index.find(key, self._clock())
        if location is None:
            location = await self._query_replicas(key)
        if location is None:
            max_age_s = copy_ttl_s + WRITE_INTERVAL_S
            location = await self._recorder.find(key, max_age_s)
        return location

    async def _query_replicas(self, key: str) -> RunCopyLocation | None:
        replicas = self._choose_replicas(key)
        if not replicas:
            return None
        result: Deferred = Deferred()
        pending = self._queries.setdefault(key, [])
        pending.append(result)
        timer = self._reactor.callLater(QUERY_TIMEOUT_S, self._expire, result)
        for name in replicas:
            self._membership.send(name, FrameKind.STREAM_RECORD_REQUEST, key)
        try:
            return await result
        finally:
            if timer.active():
                timer.cancel()
            pending.remove(result)
            if not pending:
                self._queries.pop(key, None)

    def _expire(self, result: Deferred) -> None:
        if not result.called:
            result.callback(None)

    def _list_instances(self) -> list[str]:
        if self._membership is None:
            return []
        return [
            record.name
            for record in self._membership.members
            if record.state != MemberState.DEAD
        ]

    def _choose_replicas(self, key: str) -> list[str]:
        replicas = choose_index_instances(key, self._list_instances())
        return [name for name in replicas if name != self._membership.own.name]

    def _record(self, key: str, location: RunCopyLocation | None) -> None:
        self._index.record(key, location, self._clock())
        names = self._list_instances()
        if names and choose_recorder(key, names) == self._membership.own.name:
            self._recorder.schedule_write()

    def _handle_query(self, frame: Frame) -> None:
        key = frame.payload
        location = (
            self._index.find(key, self._clock()) if isinstance(key, str) else None
        )
        if location is not None:
            reply = [key, location]
            self._membership.send(frame.sender, FrameKind.STREAM_RECORD_ANSWER, reply)

    def _handle_location(self, frame: Frame) -> None:
        try:
            key, location = _parse_location(frame.payload)
        except (TypeError, ValueError) as error:
            _log.warning(
                "stream_record_malformed", peer=frame.sender, reason=str(error)
            )
            return
        self._record(key, location)
        for result in list(self._queries.get(key, ())):
            if location is not None and not result.called:
                result.callback(location)


def _parse_location(payload: Any) -> tuple[str, RunCopyLocation | None]:
    key, values = payload
    if values is None:
        return str(key), None
    return str(key), RunCopyLocation(*(str(value) for value in values))
