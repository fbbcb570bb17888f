"""Requests sent ahead on one connection, whose instance stops meanwhile."""

from __future__ import annotations

import h11
from ebonyhaven_node.forwarding._shutdown import SHUTDOWN_MARGIN_S

from tests.forwarding.harness import (
    STEP_S,
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    encode_request,
    event,
    stream_head,
)
from tests.forwarding.streaming import SIZE_HEADERS

GRACE_S = 8.0
ANSWER_SLACK_S = 0.2
EVENT_INTERVAL_S = 0.2


def read_answers(received: bytes) -> list[tuple[int, bool]]:
    """Return status of each whole answer, and whether it announces the close."""
    answers = []
    codec = h11.Connection(h11.CLIENT)
    codec.receive_data(received)
    while codec.trailing_data[0] or not answers:
        codec.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        codec.send(h11.EndOfMessage())
        head = codec.next_event()
        if not isinstance(head, h11.Response):
            break
        each = head
        while not isinstance(each, h11.EndOfMessage):
            each = codec.next_event()
            if each is h11.NEED_DATA:
                return answers
        closes = (b"connection", b"close") in list(head.headers)
        answers.append((head.status_code, closes))
        if closes:
            break
        codec.start_next_cycle()
    return answers


def send_ahead(harness, *requests):
    caller = harness.open_caller()
    caller.send(b"".join(requests))
    return caller


def test_requests_sent_ahead_are_answered_before_a_leaving_instance_closes():
    # Guards against requests that were read and get no answer, as the one before them
    # was told to be the last of its connection.
    harness = ForwardingHarness()
    requests = [encode_request("/once/x", f"r{number}") for number in range(4)]
    caller = send_ahead(harness, *requests)
    harness.leave()
    for number in range(4):
        server, _, _ = harness.take_request()
        server.receive(answer(f"r{number}"))
        harness.advance(0.01)
    answers = read_answers(caller.received)
    assert answers == [(200, False)] * 3 + [(200, True)]
    assert caller.transport.is_closed


def test_request_sent_ahead_behind_a_long_stream_is_refused_before_the_close():
    harness = ForwardingHarness()
    first = encode_request("/fixed/x", "r1", **SIZE_HEADERS)
    caller = send_ahead(harness, first, encode_request("/once/x", "r2"))
    server, _, _ = harness.take_request()
    harness.leave()
    server.receive(stream_head("r1"))
    for number in range(1, 36):
        server.receive(chunk(event(number)))
        harness.advance(EVENT_INTERVAL_S)
    server.receive(STREAM_END)
    harness.advance(ANSWER_SLACK_S)
    assert read_answers(caller.received) == [(200, False), (503, True)]
    assert harness.count_waiting() == 0


def test_requests_sent_ahead_are_answered_when_their_instance_closes():
    harness = ForwardingHarness()
    first = encode_request("/stream/x", "r1", **SIZE_HEADERS)
    later = [encode_request("/once/x", f"r{number}") for number in (2, 3)]
    caller = send_ahead(harness, first, *later)
    assert harness.count_waiting() == 1
    harness.leave()
    harness.advance(GRACE_S - SHUTDOWN_MARGIN_S - STEP_S)
    assert not caller.received
    harness.advance(ANSWER_SLACK_S)
    statuses = [status for status, _ in read_answers(caller.received)]
    assert statuses == [502, 503, 503]
    assert not caller.transport.aborted
    assert caller.transport.is_closed


def test_part_of_a_request_does_not_keep_a_closing_connection_open():
    harness = ForwardingHarness()
    whole = encode_request("/stream/x", "r1", **SIZE_HEADERS)
    caller = send_ahead(harness, whole, encode_request("/once/x", "r2")[:-1])
    harness.leave()
    harness.advance(GRACE_S - SHUTDOWN_MARGIN_S + ANSWER_SLACK_S)
    assert [status for status, _ in read_answers(caller.received)] == [502]
    assert caller.transport.is_closed
    assert not caller.transport.aborted


def test_body_that_ends_after_its_instance_began_to_leave_is_answered():
    harness = ForwardingHarness()
    request = encode_request("/once/x", "r1", body=b"y" * 1000)
    caller = send_ahead(harness, request[:-500])
    harness.leave()
    harness.advance(0.5)
    caller.send(request[-500:])
    server, _, body = harness.take_request()
    assert len(body) == 1000
    server.receive(answer("r1"))
    assert read_answers(caller.received) == [(200, True)]


def test_request_that_crosses_the_head_of_a_stream_is_answered_by_a_leaving_instance():
    # Guards against requests that are read while a stream is under way, and get no
    # answer, as the head of the stream was sent after the SIGTERM and said "close".
    harness = ForwardingHarness()
    caller = send_ahead(harness, encode_request("/fixed/x", "r1", **SIZE_HEADERS))
    streaming, _, _ = harness.take_request()
    harness.leave()
    streaming.receive(stream_head("r1") + chunk(event(1)))
    harness.advance(0.001)
    caller.send(encode_request("/once/x", "r2"))  # the head has not reached it yet
    streaming.receive(STREAM_END)
    harness.advance(0.01)
    server, _, _ = harness.take_request()
    server.receive(answer("r2"))
    assert read_answers(caller.received) == [(200, False), (200, True)]
    assert caller.transport.is_closed
