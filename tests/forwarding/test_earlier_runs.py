from __future__ import annotations

from tests.forwarding.harness import (
    STREAM_END,
    chunk,
    decode_headers,
    event,
    refusal,
    stream_head,
)
from tests.forwarding.streaming import SIZE, open_stream, start


def come_back(harness, position="2", **options):
    """Let a caller ask again for a stream that it lost, with a new id."""
    caller = harness.open_caller()
    headers = {**SIZE, "Last_Event_Id": position, **options}
    caller.request("/stream/x", "r2", **headers)
    harness.advance(0.01)
    return caller


def test_caller_that_comes_back_gets_the_rest_from_the_copy_of_its_run():
    harness, caller = start()
    _, sent = open_stream(harness, 1, 2)
    caller.disconnect()
    again = come_back(harness)
    holder, head, _ = harness.take_request()
    assert holder.address == sent["x-kv-backup"]
    assert decode_headers(head)["kv-from"] == f"{holder.address}/r1"
    assert decode_headers(head)["last-event-id"] == "2"
    holder.receive(stream_head("r2") + chunk(event(2)) + chunk(event(3)) + STREAM_END)
    assert again.read_answer()[2:] == (event(3), True)


def test_caller_that_comes_back_reads_its_prompt_again_if_the_copy_is_gone():
    harness, caller = start()
    open_stream(harness, 1, 2)
    caller.disconnect()
    come_back(harness)
    holder, _, _ = harness.take_request()
    holder.receive(refusal("r2"))
    harness.advance(0.01)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)
    assert decode_headers(head)["last-event-id"] == "2"


def test_another_prompt_does_not_go_on_from_the_copy():
    harness, caller = start()
    open_stream(harness, 1, 2)
    caller.disconnect()
    come_back(harness, X_Prompt_Prefix="aa:200,cc:7800")
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)


def test_copy_of_a_complete_run_is_not_gone_on_from():
    harness, _ = start()
    server, _ = open_stream(harness, 1, 2)
    server.receive(STREAM_END)
    come_back(harness)
    _, head, _ = harness.take_request()
    assert "kv-from" not in decode_headers(head)
