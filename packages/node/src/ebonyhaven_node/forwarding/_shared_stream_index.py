"""Index of streams, replicated so that it survives the loss of an instance."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

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
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._channels import Channels
from ebonyhaven_node._frames import Frame, FrameKind
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node.forwarding._record_outbox import RecordOutbox
from ebonyhaven_node.forwarding._stream_exchanges import (
    PublishedRecord,
    RecordReceiver,
    StreamQuery,
)
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
RESEND_AGE_S = 5.0  # of a record; the loss of a replica is noticed in half of that
RESEND_DELAY_S = 0.2  # many instances are lost, and return, at about the same moment

_log = structlog.get_logger()


class SharedStreamIndex:
    """Records of streams, with each entry replicated to several instances.

    Until `connect` is called, only the entries of this instance are available.

    An instance that is suspected of being lost stays a replica, as it may be alive; the
    one that would take its place if it is not is a replica as well. What was published
    before the suspicion is sent to the latter then.

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
        self._queries: list[StreamQuery] = []
        self._published: dict[StreamKey, PublishedRecord] = {}  # the newest is the last
        self._resend_timer: Any = None
        self._is_stopped = False
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
        membership.observe_view(self._schedule_resend)
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
        now = self._clock()
        key = record.make_key(content)
        self._published.pop(key, None)
        published = self._published[key] = PublishedRecord(now, set())
        self._send(content, record, published.receivers)
        self._forget_published(now)

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
        self._is_stopped = True
        self._recorder.stop()
        if self._resend_timer is not None and self._resend_timer.active():
            self._resend_timer.cancel()
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
    def _ask_replicas(self, question: StreamQuestion) -> Iterator[StreamQuery]:
        replicas = self._choose_replicas(question.content)
        query = StreamQuery(question, list(replicas))
        if not replicas:
            query.end()
        self._queries.append(query)
        timer = self._reactor.callLater(QUERY_TIMEOUT_S, query.end)
        for name, incarnation in replicas.items():
            payload = encode_question(question)
            self._membership.send(name, FrameKind.STREAM_QUESTION, payload)
            if not self._is_current(name, incarnation):
                kind = FrameKind.STREAM_RECORD_REQUEST
                self._membership.send(name, kind, question.content)
        try:
            yield query
        finally:
            self._queries.remove(query)
            if timer.active():
                timer.cancel()

    # -- publishing --------------------------------------------------------

    def _send(
        self,
        content: str,
        record: StreamRecord,
        receivers: set[RecordReceiver],
        *,
        age_s: float = 0.0,
    ) -> None:
        """Send a record to those of its replicas that were not sent it."""
        payload = encode_stream(StreamTold(content, record, age_s))
        old_payload = [content, encode_stream_record(record)]
        recorders = self._choose_recorders(content)
        for name, incarnation in self._choose_replicas(content).items():
            receiver = RecordReceiver(name, incarnation, name in recorders)
            if receiver in receivers:
                continue
            receivers.add(receiver)
            self._outbox.send(name, FrameKind.STREAM, payload)
            if not self._is_current(name, incarnation):
                self._outbox.send(name, FrameKind.STREAM_RECORD, old_payload)

    def _schedule_resend(self) -> None:
        """Send what was just published to replicas that the change has brought."""
        is_scheduled = self._resend_timer is not None and self._resend_timer.active()
        if not is_scheduled and not self._is_stopped:
            self._resend_timer = self._reactor.callLater(RESEND_DELAY_S, self._resend)

    def _resend(self) -> None:
        now = self._clock()
        self._forget_published(now)
        for key, published in self._published.items():
            for record, age_s in self._index.find_aged(*key, now):
                self._store_if_recorder(key.content, record)
                self._send(key.content, record, published.receivers, age_s=age_s)

    def _forget_published(self, now: float) -> None:
        while self._published:
            key, oldest = next(iter(self._published.items()))
            if now - oldest.published_at <= RESEND_AGE_S:
                return
            del self._published[key]

    def _is_current(self, name: str, incarnation: int) -> bool:
        """Return whether an instance has shown that it is not of the release before."""
        return self._current_peers.get(name, -1) >= incarnation

    def _list_views(self) -> list[dict[str, MemberRecord]]:
        """Return the instances by name, with and without those that are suspected.

        One list if none is. An instance stays suspected for seconds before it counts
        as dead; one that was lost would have the records of that time, unread.
        """
        if self._membership is None:
            return []
        known = {
            each.name: each
            for each in self._membership.members
            if each.state != MemberState.DEAD
        }
        answering = {
            name: each
            for name, each in known.items()
            if each.state != MemberState.SUSPECT
        }
        return [known] if len(answering) == len(known) else [known, answering]

    def _choose_replicas(self, content: str) -> dict[str, int]:
        """Return the other instances that have an entry; names and incarnations."""
        return {
            name: view[name].incarnation
            for view in self._list_views()
            for name in choose_index_instances(content, view)
            if name != self._membership.own.name
        }

    def _choose_recorders(self, content: str) -> set[str | None]:
        return {choose_recorder(content, view) for view in self._list_views()}

    def _record(self, content: str, record: StreamRecord, age_s: float = 0.0) -> None:
        record = self._index.record(content, record, self._clock(), age_s=age_s)
        self._store_if_recorder(content, record)

    def _record_answer(self, content: str, record: StreamRecord) -> None:
        """Record what a replica has, unless the stream has become known meanwhile.

        An answer may come late, when the stream goes on at this instance already.
        """
        if not self._index.find(*record.make_key(content), self._clock()):
            self._record(content, record)

    def _store_if_recorder(self, content: str, record: StreamRecord) -> None:
        if self._membership is None:
            return
        if self._membership.own.name in self._choose_recorders(content):
            names = frozenset(self._list_views()[0])
            self._recorder.add(record.make_key(content), record, names)

    def _handle_stream(self, frame: Frame) -> None:
        try:
            told = decode_stream(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        self._current_peers[frame.sender] = frame.incarnation
        self._record(told.content, told.record, told.age_s)
        self._end_queries(told.content)

    def _handle_old_stream(self, frame: Frame) -> None:
        """Handle what an instance of the release before publishes or has found."""
        try:
            told = decode_old_stream(frame.payload)
        except (TypeError, ValueError) as error:
            self._log_malformed(frame, error)
            return
        if frame.kind is FrameKind.STREAM_RECORD_ANSWER:
            self._record_answer(told.content, told.record)
        elif not self._is_current(frame.sender, frame.incarnation):
            self._record(told.content, told.record)  # others tell it with its age
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
            self._record_answer(question.content, record)
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
