"""A sequence of a review: a call whose server ends in the middle of its answer."""

from __future__ import annotations

from tests.forwarding.harness import ForwardingHarness, answer
from tests.forwarding.test_undelimited_responses import END_CHECK_S


def answer_in_part(path):
    whole = answer("r1", body=b"a whole answer")
    head, _, body = whole.partition(b"\r\n\r\n")
    fields = [
        line
        for line in head.split(b"\r\n")
        if not line.lower().startswith(b"content-length")
    ]
    harness = ForwardingHarness()
    caller = harness.open_caller()
    caller.request(path, "r1")
    server, _, _ = harness.take_request()
    server.receive(b"\r\n".join(fields) + b"\r\n\r\n" + body[:4])
    harness.refused.add(server.address)
    server.close()
    harness.advance(END_CHECK_S)
    return harness, caller


def test_undelimited_answer_whose_server_ended_with_it_is_not_passed_on_as_whole():
    for path in ("/repeat/x", "/once/x"):
        _, caller = answer_in_part(path)
        if not caller.received:  # sent once more, or still checked
            continue
        status, _, body, is_complete = caller.read_answer()
        assert not (status == 200 and is_complete), (path, body)
