"""Index of streams, replicated so that it survives the loss of an instance."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_decisions.forwarding import (
    StreamIndex,
    StreamKey,
    StreamLookup,
    StreamRecord,
    StreamRetention,
    choose_index_instances,
    choose_recorder,
    encode_stream_record,
)
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._record_outbox import RecordOutbox
from ebonyhaven_node.forwarding._stream_messages import (
    StreamAnswer,
    StreamQuestion,
    StreamTold,
    decode_answer,
    decode_old_stream,
    decode_question,
    decode_stream,
    encode_answer,
    encode_question,
    encode_stream,
)
from ebonyhaven_node.forwarding._stream_records import WRITE_INTERVAL_S, StreamRecorder
from ebonyhaven_node.forwarding.interfaces import StreamRecordStore

QUERY_TIMEOUT_S = 0.05  # live instances reply within milliseconds
MAX_ANSWERED_RECORDS = 16  # to a caller that names no stream, all are alike

_log = structlog.get_logger()


class _Query:
    """Question to the replicas of an entry.

    Parameters
    ----------
    question : StreamQuestion
    replicas : iterable of str
        Names of the instances that are asked.

    Attributes
    ----------
    unanswered : set of str
        Names of the instances that have not answered.
    result : Deferred
        Fired when a record is found, when all have answered, or by a timer.
    """

    def __init__(self, question: StreamQuestion, replicas: list[str]):
        self.question = question
        self.unanswered = set(replicas)
        self.result: Deferred = Deferred()

    def end(self) -> None:
        """Stop to wait for answers."""
        if not self.result.called:
            self.result.callback(None)


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
        self._outbox: RecordOutbox | None = None
        self._queries: list[_Query] = []
        self._current_peers: dict[str, int] = {}  # incarnations, see `_is_current`

    def connect(self, membership: MembershipController, channels: Channels) -> None:
        """Start to replicate entries to other instances and to query them.

        Parameters
        ----------
        membership : MembershipController
        channels : Channels
        """
        self._membership = membership
        self._outbox = RecordOutbox(membership.send, self._reactor, self._clock)
        channels.subscribe(FrameKind.STREAM, self._handle_stream)
        channels.subscribe(FrameKind.STREAM_QUESTION, self._handle_question)
        channels.subscribe(FrameKind.STREAM_ANSWER, self._handle_answer)
        channels.subscribe(FrameKind.STREAM_RECORD, self._handle_old_stream)
        channels.subscribe(FrameKind.STREAM_RECORD_REQUEST, self._handle_old_question)
        channels.subscribe(FrameKind.STREAM_RECORD_ANSWER, self._handle_old_stream)

    def publish(self, content: str, record: StreamRecord) -> None:
        """Set the record of a stream on all replicas of its entry.

        Parameters
        ----------
        content : str
            See `ForwardRequest.compute_stream_content`.
        record : StreamRecord
        """
        self._record(content, record)
        payload = encode_stream(StreamTold(content, record))
        old_payload = [content, encode_stream_record(record)]
        for replica in self._choose_replicas(content):
            self._outbox.send(replica.name, FrameKind.STREAM, payload)
            if not self._is_current(replica.name, replica.incarnation):
                kind = FrameKind.STREAM_RECORD
                self._outbox.send(replica.name, kind, old_payload)

    def drop_copy(self, key: StreamKey) -> None:
        """Record that the copy of a stream's run is gone, on this instance only.

        Telling the replicas would add half of the traffic of publishing the copy. An
        outdated one is harmless: an engine refuses to resume from a copy that it no
        longer has. The entry itself stays also if the stream is complete, because its
        caller may not have received the end.

        Parameters
        ----------
        key : StreamKey
        """
        self._index.drop_copy(key)

    def stop(self) -> None:
        """Stop sending, and reading and writing the store."""
        self._recorder.stop()
        if self._outbox is not None:
            self._outbox.stop()

    async def find(
        self, content: str, request_id: str | None, *, copy_ttl_s: float
    ) -> StreamLookup:
        """Return the records of the streams that a caller may mean.

        If there is none, the replicas are queried, and then the store.

        Parameters
        ----------
        content : str
            See `ForwardRequest.compute_stream_content`.
        request_id : str or None
            None if the caller does not name the stream.
        copy_ttl_s : float
            Time for which an engine keeps the copy of a run that was cut off, seconds.
        """
        question = StreamQuestion(content, request_id)
        found = self._find(question)
        if found:
            return StreamLookup(found, is_complete=True)
        has_joined = self._membership is None or self._membership.has_joined
        with self._ask_replicas(question) as query:
            await query.result
            found = self._find(question)
            if found:
                return StreamLookup(found, is_complete=True)
            stored = await self._recorder.find(
                content, request_id, copy_ttl_s + WRITE_INTERVAL_S
            )
            found = self._find(question)  # an answer may have come meanwhile
            is_answered = has_joined and not query.unanswered
        is_complete = stored.is_complete and is_answered
        return StreamLookup(found or stored.records, is_complete)

    def _find(self, question: StreamQuestion) -> tuple[StreamRecord, ...]:
        return self._index.find(*question, self._clock())

    @contextmanager
    def _ask_replicas(self, question: StreamQuestion) -> Iterator[_Query]:
        replicas = self._choose_replicas(question.content)
        query = _Query(question, [each.name for each in replicas])
        if not replicas:
            query.end()
        self._queries.append(query)
        timer = self._reactor.callLater(QUERY_TIMEOUT_S, query.end)
        for replica in replicas:
            name = replica.name
            payload = encode_question(question)
            self._membership.send(name, FrameKind.STREAM_QUESTION, payload)
            if not self._is_current(name, replica.incarnation):
                kind = FrameKind.STREAM_RECORD_REQUEST
                self._membership.send(name, kind, question.content)
        try:
            yield query
        finally:
            self._queries.remove(query)
            if timer.active():
                timer.cancel()

    def _is_current(self, name: str, incarnation: int) -> bool:
        """Return whether an instance has shown that it is not of the release before."""
        return self._current_peers.get(name, -1) >= incarnation

    def _list_instances(self) -> list[MemberRecord]:
        if self._membership is None:
            return []
        return [
            record
            for record in self._membership.members
            if record.state != MemberState.DEAD
        ]

    def _choose_replicas(self, content: str) -> list[MemberRecord]:
        instances = {each.name: each for each in self._list_instances()}
        chosen = choose_index_instances(content, instances)
        return [instances[name] for name in chosen if name != self._membership.own.name]

    def _record(self, content: str, record: StreamRecord) -> None:
        record = self._index.record(content, record, self._clock())
        names = frozenset(each.name for each in self._list_instances())
        if names and choose_recorder(content, names) == self._membership.own.name:
            self._recorder.add(record.make_key(content), record, names)

    def _handle_stream(self, frame: Frame) -> None:
        try:
            told = decode_stream(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        self._current_peers[frame.sender] = frame.incarnation
        self._record(told.content, told.record)
        self._end_queries(told.content)

    def _handle_old_stream(self, frame: Frame) -> None:
        """Handle what an instance of the release before publishes or has found."""
        try:
            told = decode_old_stream(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        self._record(told.content, told.record)
        self._end_queries(told.content)

    def _handle_question(self, frame: Frame) -> None:
        try:
            question = decode_question(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        self._current_peers[frame.sender] = frame.incarnation
        records = self._find(question)[-MAX_ANSWERED_RECORDS:]
        payload = encode_answer(StreamAnswer(question, records))
        self._membership.send(frame.sender, FrameKind.STREAM_ANSWER, payload)

    def _handle_answer(self, frame: Frame) -> None:
        try:
            question, records = decode_answer(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        self._current_peers[frame.sender] = frame.incarnation
        for record in records:
            self._record(question.content, record)
        for query in self._queries:
            if query.question == question:
                query.unanswered.discard(frame.sender)
        self._end_queries(question.content)

    def _handle_old_question(self, frame: Frame) -> None:
        """Answer an instance of the release before, which takes one record."""
        content = frame.payload
        if not isinstance(content, str):
            return
        if self._is_current(frame.sender, frame.incarnation):
            return  # it has asked the same in a message of its own release
        found = self._find(StreamQuestion(content, None))
        if found:
            payload = [content, encode_stream_record(found[-1])]
            kind = FrameKind.STREAM_RECORD_ANSWER
            self._membership.send(frame.sender, kind, payload)

    def _end_queries(self, content: str) -> None:
        """End the queries that have a record now, or that all have answered."""
        for query in self._queries:
            if query.question.content != content:
                continue
            if not query.unanswered or self._find(query.question):
                query.end()

    def _log_malformed(self, frame: Frame, error: Exception) -> None:
        _log.warning("stream_record_malformed", peer=frame.sender, reason=str(error))
