from __future__ import annotations

from ebonyhaven_decisions.forwarding import StreamRecord, StreamRetention
from ebonyhaven_node import FrameKind
from ebonyhaven_node.forwarding._record_outbox import (
    MAX_WAIT_S,
    MAX_WAITING_MESSAGES,
    RESEND_INTERVAL_S,
    RecordOutbox,
)
from ebonyhaven_node.forwarding._shared_stream_index import SharedStreamIndex
from twisted.internet.task import Clock

from tests.forwarding.fakes import FakeRecordStore
from tests.forwarding.losses import FakeNetwork

QUEUE_MESSAGES = 8


class ShortQueue:
    """Connection whose queue holds few messages, until they are sent."""

    def __init__(self, send=lambda *_: True):
        self.sent = []
        self.is_broken = False
        self._deliver = send
        self._queued = 0

    def drain(self):
        self._queued = 0

    def send(self, *message):
        if self.is_broken or self._queued >= QUEUE_MESSAGES:
            return False
        self._queued += 1
        self.sent.append(message)
        return self._deliver(*message)


def build_outbox():
    clock, queue = Clock(), ShortQueue()
    return RecordOutbox(queue.send, clock, clock.seconds), queue, clock


def drain(queue, clock, times):
    for _ in range(times):
        queue.drain()
        clock.advance(RESEND_INTERVAL_S)


def test_messages_that_no_queue_has_room_for_are_sent_later_in_order():
    outbox, queue, clock = build_outbox()
    for number in range(3 * QUEUE_MESSAGES):
        outbox.send("n2", FrameKind.STREAM, number)
    assert len(queue.sent) == QUEUE_MESSAGES
    drain(queue, clock, 2)
    assert [each[2] for each in queue.sent] == list(range(3 * QUEUE_MESSAGES))
    assert clock.getDelayedCalls() == []


def test_a_later_message_does_not_overtake_one_that_waits():
    outbox, queue, clock = build_outbox()
    for number in range(QUEUE_MESSAGES + 1):
        outbox.send("n2", FrameKind.STREAM, number)
    queue.drain()
    outbox.send("n2", FrameKind.STREAM, "late")
    drain(queue, clock, 1)
    assert [each[2] for each in queue.sent][-2:] == [QUEUE_MESSAGES, "late"]


def test_messages_to_an_instance_that_is_not_reached_are_given_up():
    outbox, queue, clock = build_outbox()
    queue.is_broken = True
    for number in range(MAX_WAITING_MESSAGES + 5):
        outbox.send("n2", FrameKind.STREAM, number)
    clock.pump([RESEND_INTERVAL_S] * round((MAX_WAIT_S + 0.1) / RESEND_INTERVAL_S))
    assert clock.getDelayedCalls() == []
    queue.is_broken = False
    outbox.send("n2", FrameKind.STREAM, "next")
    assert [each[2] for each in queue.sent] == ["next"]


def test_streams_that_begin_at_once_are_all_known_to_the_others():
    # Guards against callers being refused after the loss of an instance at which many
    # streams had begun at once: the queue to the others dropped records.
    clock, network = Clock(), FakeNetwork()
    indexes = {}
    for name, other in (("n1", "n2"), ("n2", "n1")):
        index = indexes[name] = SharedStreamIndex(
            clock, clock.seconds, FakeRecordStore(), StreamRetention()
        )
        membership = network.join(index, name, [other])
        if name == "n1":
            queue = ShortQueue(membership.send)
            index._outbox._send = queue.send
    records = [StreamRecord("v1", f"r{number}", None) for number in range(36)]
    for record in records:
        indexes["n1"].publish(f"content {record.request_id}", record)
    drain(queue, clock, 12)
    found = [
        indexes["n2"]._index.find(f"content {each.request_id}", None, clock.seconds())
        for each in records
    ]
    assert found == [(each,) for each in records]
