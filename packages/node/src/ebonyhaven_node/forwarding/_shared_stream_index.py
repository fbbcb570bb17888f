"""Index of streams, replicated so that it survives the loss of an instance."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from ebonyhaven_decisions import MemberState
from ebonyhaven_decisions.forwarding import (
    StreamIndex,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
    choose_recorder,
    decode_stream_record,
    encode_stream_record,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S, StreamRecorder
from ebonyhaven_node.forwarding.interfaces import StreamRecordStore

QUERY_TIMEOUT_S = 0.05  # live instances reply within milliseconds

_log = structlog.get_logger()


class SharedStreamIndex:
    """Records of streams, with each entry replicated to several instances.

    Until `connect` is called, only the entries of this instance are available.

    Parameters
    ----------
    reactor : IReactorTime
    clock : callable
        Returns seconds.
    store : StreamRecordStore
        Keeps entries in case all their replicas are lost.
    retention : StreamRetention
        Time for which entries are kept.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Callable[[], float],
        store: StreamRecordStore,
        retention: StreamRetention,
    ):
        self._reactor = reactor
        self._clock = clock
        self._index = StreamIndex(retention)
        self._recorder = StreamRecorder(
            index=self._index,
            store=store,
            retention=retention,
            reactor=reactor,
            clock=clock,
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
        channels.subscribe(FrameKind.STREAM_RECORD, self._handle_record)
        channels.subscribe(FrameKind.STREAM_RECORD_REQUEST, self._handle_query)
        channels.subscribe(FrameKind.STREAM_RECORD_ANSWER, self._handle_record)

    def publish(self, key: str, record: StreamRecord) -> None:
        """Set the record of a stream on all replicas of its entry.

        Parameters
        ----------
        key : str
            See `ForwardRequest.compute_stream_key`.
        record : StreamRecord
        """
        self._record(key, record)
        payload = [key, encode_stream_record(record)]
        for name in self._choose_replicas(key):
            self._membership.send(name, FrameKind.STREAM_RECORD, payload)

    def drop_copy(self, key: str) -> None:
        """Record that the copy of a stream's run is gone, on this instance only.

        Telling the replicas would add half of the traffic of publishing the copy. An
        outdated one is harmless: an engine refuses to resume from a copy that it no
        longer has. The entry itself stays also if the stream is complete, because its
        caller may not have received the end.

        Parameters
        ----------
        key : str
        """
        self._index.drop_copy(key)

    def stop(self) -> None:
        """Stop writing to the store."""
        self._recorder.stop()

    async def find(self, key: str, *, copy_ttl_s: float) -> StreamRecord | None:
        """Return the record of a stream.

        If it is unknown, the replicas are queried, and then the store.

        Parameters
        ----------
        key : str
        copy_ttl_s : float
            Time for which an engine keeps the copy of a run that was cut off, seconds.

        Returns
        -------
        StreamRecord or None
            None if neither a replica nor the store returns a record in time.
        """
        record = self._index.find(key, self._clock())
        if record is None:
            record = await self._query_replicas(key)
        if record is None:
            copy_max_age_s = copy_ttl_s + WRITE_INTERVAL_S
            record = await self._recorder.find(key, copy_max_age_s)
        return record

    async def _query_replicas(self, key: str) -> StreamRecord | None:
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

    def _record(self, key: str, record: StreamRecord) -> None:
        self._index.record(key, record, self._clock())
        names = self._list_instances()
        if names and choose_recorder(key, names) == self._membership.own.name:
            self._recorder.add(key, record, frozenset(names))

    def _handle_query(self, frame: Frame) -> None:
        key = frame.payload
        record = self._index.find(key, self._clock()) if isinstance(key, str) else None
        if record is not None:
            reply = [key, encode_stream_record(record)]
            self._membership.send(frame.sender, FrameKind.STREAM_RECORD_ANSWER, reply)

    def _handle_record(self, frame: Frame) -> None:
        try:
            key, values = frame.payload
            record = decode_stream_record(values)
        except (TypeError, ValueError) as error:
            _log.warning(
                "stream_record_malformed", peer=frame.sender, reason=str(error)
            )
            return
        self._record(str(key), record)
        for result in list(self._queries.get(key, ())):
            if not result.called:
                result.callback(record)
