"""Responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from tests.forwarding.harness import (
    END_CHECK_S,
    STAMP,
    STREAM_END,
    ForwardingHarness,
    answer,
    chunk,
    decode_headers,
    event,
    stream_head,
)
from tests.forwarding.streaming import read_body, start_stream

PARTIAL_EVENT = event(3)[:9]


def undelimited_stream_head(request_id="r1") -> bytes:
    return stream_head(request_id).replace(b"Transfer-Encoding: chunked\r\n", b"")


def undelimited_answer(request_id, body) -> bytes:
    return answer(request_id, body, Content_Length=None, Keep_Alive=None)


def break_stream_inside_an_event(**options):
    """Cut an undelimited stream inside its third event by an orderly close."""
    harness, caller = start_stream(**options)
    server, head, _ = harness.take_request()
    server.receive(undelimited_stream_head() + event(1) + event(2) + PARTIAL_EVENT)
    server.close()
    harness.advance(0.01)
    return harness, caller, decode_headers(head)


def test_stream_cut_inside_an_event_by_an_orderly_close_resumes():
    # Guards against a broken stream that reached its caller as if it were complete.
    harness, caller, sent = break_stream_inside_an_event()
    second, head, _ = harness.take_request()
    assert second.address == sent["x-kv-backup"]
    assert decode_headers(head)["last-event-id"] == "2"
    second.receive(stream_head("r1") + chunk(event(3)) + STREAM_END)
    _, _, body, is_complete = caller.read_answer()
    assert body == event(1) + event(2) + event(3)
    assert is_complete


def test_stream_cut_inside_an_event_that_may_not_resume_ends_incomplete():
    harness, caller, _ = break_stream_inside_an_event(path="/fixed/x")
    assert harness.count_waiting() == 0
    _, _, body, is_complete = caller.read_answer()
    assert body == event(1) + event(2)
    assert not is_complete
    assert caller.transport.aborted


def test_chunked_stream_whose_last_chunk_comes_inside_an_event_resumes():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    partial = chunk(event(1) + PARTIAL_EVENT) + STREAM_END
    server.receive(stream_head("r1") + partial)
    harness.advance(0.01)
    second, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "1"
    second.receive(stream_head("r1") + chunk(event(2)) + STREAM_END)
    assert caller.read_answer()[2:] == (event(1) + event(2), True)


def test_undelimited_stream_without_an_event_is_not_complete():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(undelimited_stream_head())
    server.close()
    harness.advance(0.01)
    assert caller.received == b""
    second, _, _ = harness.take_request()
    second.receive(stream_head("r1") + chunk(event(1)) + STREAM_END)
    assert caller.read_answer()[2:] == (event(1), True)


def test_undelimited_stream_that_ends_after_an_event_is_complete():
    harness, caller = start_stream()
    server, _, _ = harness.take_request()
    server.receive(undelimited_stream_head() + event(1) + event(2))
    assert read_body(caller) == event(1) + event(2)
    server.close()
    harness.advance(END_CHECK_S)
    assert harness.count_waiting() == 0
    assert caller.read_answer()[2:] == (event(1) + event(2), True)


def end_server_with_its_stream(**options):
    """Have a server end in good order between two events of an undelimited stream."""
    harness, caller = start_stream(**options)
    server, _, _ = harness.take_request()
    server.receive(undelimited_stream_head() + event(1) + event(2))
    harness.refused.add(server.address)
    server.close()
    harness.advance(END_CHECK_S)
    return harness, caller


def test_undelimited_stream_whose_server_ended_with_it_resumes():
    # Guards against streams of a killed process that end as complete in their middle.
    harness, caller = end_server_with_its_stream()
    second, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "2"
    second.receive(stream_head("r1") + chunk(event(3)) + STREAM_END)
    assert caller.read_answer()[2:] == (event(1) + event(2) + event(3), True)


def test_undelimited_stream_that_may_not_resume_is_cut_if_its_server_ended():
    harness, caller = end_server_with_its_stream(path="/fixed/x")
    assert harness.count_waiting() == 0
    _, _, body, is_complete = caller.read_answer()
    assert body == event(1) + event(2)
    assert not is_complete


def test_undelimited_stream_that_is_reset_after_an_event_resumes():
    harness, _ = start_stream()
    server, _, _ = harness.take_request()
    server.receive(undelimited_stream_head() + event(1) + event(2))
    server.reset()
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert decode_headers(head)["last-event-id"] == "2"


def test_undelimited_answer_is_forwarded_with_its_length():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request("/once/x")
    server, _, _ = harness.take_request()
    server.receive(undelimited_answer("r1", b"whole"))
    server.close()
    harness.advance(END_CHECK_S)
    status, headers, body, is_complete = caller.read_answer()
    assert (status, body, is_complete) == (200, b"whole", True)
    assert headers["x-server-stamp"] == STAMP
    assert headers["content-length"] == "5"


def test_undelimited_answer_that_is_reset_is_not_forwarded():
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request("/once/x")
    server, _, _ = harness.take_request()
    server.receive(undelimited_answer("r1", b"who"))
    server.reset()
    harness.advance(0.01)
    status, headers, _, _ = caller.read_answer()
    assert status == 502
    assert "x-server-stamp" not in headers


def end_server_with_its_answer(path):
    """Have a server end in good order in the middle of an undelimited answer."""
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request(path)
    server, _, _ = harness.take_request()
    server.receive(undelimited_answer("r1", b"a wh"))
    harness.refused.add(server.address)
    server.close()
    harness.advance(END_CHECK_S)
    return harness, caller


def test_undelimited_answer_whose_server_ended_with_it_is_not_taken_for_whole():
    # Guards against answers of a killed process that reach callers cut and as complete.
    _, caller = end_server_with_its_answer("/once/x")
    status, headers, _, _ = caller.read_answer()
    assert status == 502
    assert "x-server-stamp" not in headers


def test_undelimited_answer_whose_server_ended_with_it_is_asked_for_again():
    harness, caller = end_server_with_its_answer("/repeat/x")
    server, _, _ = harness.take_request()
    server.receive(answer("r1", b"a whole answer"))
    harness.advance(0.01)
    assert caller.read_answer()[:1] == (200,)
    assert b"a whole answer" in caller.received
