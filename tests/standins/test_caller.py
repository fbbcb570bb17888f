"""Tests of the caller's event parser, history and entry list without sockets."""

from __future__ import annotations

import pathlib
import tempfile

from ebonyhaven_standins.caller import (
    EntryList,
    EventParser,
    HistoryWriter,
    parse_event_id,
    parse_token_event,
    read_history,
)
from twisted.internet import defer, error, task

from tests.standins.test_checker import make_record

STREAM = (
    b": keep-alive\n\n"
    b"id: 17-9f3a61c2-s-07\r\n"
    b'data: {"choices":[{"index":0,"text":"ab:17 ","finish_reason":null}]}\r\n\r\n'
    b"event: error\ndata: {}\n\n"
    b"data: [DONE]\n\n"
)


def test_parsed_events_do_not_depend_on_chunk_size():
    expected = EventParser().feed(STREAM)
    assert [event.kind for event in expected] == ["message", "error", "message"]
    for size in (1, 3, 7):
        parser = EventParser()
        chunks = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
        assert [event for chunk in chunks for event in parser.feed(chunk)] == expected


def test_token_event_has_offset_generation_and_server():
    token = parse_token_event(EventParser().feed(STREAM)[0])
    assert token.event_id == (17, "9f3a61c2", "s-07")
    assert token.text == "ab:17 "
    assert parse_event_id("3-aa-s1").server == "s1"


def test_history_round_trip():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "history.jsonl"
        writer = HistoryWriter(path)
        writer.write(make_record())
        writer.close()
        assert read_history(path) == [make_record()]


class FakeResponse:
    code = 200

    async def json(self):
        return {"entries": [{"address": "127.0.0.3:1"}], "keep_s": 5.0}


class FakeHttpClient:
    """HTTP client whose connection to one address is cancelled by a timeout."""

    async def get(self, url, timeout):
        if "127.0.0.1" in url:
            raise error.ConnectingCancelledError("127.0.0.1:1")
        return FakeResponse()


def test_entry_list_fails_over_after_connect_timeout():
    entries = EntryList(
        reactor=task.Clock(),
        http=FakeHttpClient(),
        bootstrap_addresses=["127.0.0.1:1", "127.0.0.2:1"],
    )
    results = []
    defer.Deferred.fromCoroutine(entries.choose()).addBoth(results.append)
    assert results == ["127.0.0.3:1"]
