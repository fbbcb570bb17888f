"""Input of callers and engines, on the node's own interface, that can't be read."""

from __future__ import annotations

import base64
import json
import zlib

from ebonyhaven_decisions import RequestFailure, parse_configuration_entry
from ebonyhaven_node._engines import _read_load
from ebonyhaven_node._events import EventParser
from ebonyhaven_node._limit_headers import read_limits
from ebonyhaven_node._requests import decode_body
from ebonyhaven_node._servers import BackendServer
from hypothesis import given, settings
from twisted.web.http_headers import Headers

from tests.platform_adapter.odd_documents import (
    DEEP_LIST,
    MANY_DIGITS,
    ODD_TEXTS,
    make_variants,
)

EVENT = {"choices": [{"index": 0, "text": "a", "finish_reason": None}]}
ENTRY = {"version": 3, "change_id": "c", "author": "a", "accepted_at": 1.5}
INFLATED_BYTES = 64 * 1024 * 1024
thorough = settings(max_examples=150)


def deflate(data: bytes) -> str:
    return base64.b64encode(zlib.compress(data)).decode()


def test_odd_bodies_of_callers_are_rejected():
    for text in ODD_TEXTS:
        try:
            decode_body(f'{{"prompt": {text}}}'.encode())
        except RequestFailure as failure:
            assert failure.outcome.status == 400
        else:
            raise AssertionError(text[:80])


@thorough
@given(make_variants(EVENT))
def test_any_event_of_an_engine_is_parsed_or_refused(data):
    try:
        tokens = EventParser().feed(b"id: 0\ndata: " + data + b"\n\n")
    except ValueError:
        return
    assert all(isinstance(each.text, str) for each in tokens)


def test_events_with_odd_ids_are_refused():
    for event_id in (MANY_DIGITS, "1" + "0" * 400, "-1", "\u00b2", "1_0", ""):
        try:
            EventParser().feed(f"id: {event_id}\ndata: {{}}\n\n".encode())
        except ValueError:
            continue
        raise AssertionError(event_id[:80])


def test_odd_configuration_entries_are_refused():
    declarations = (DEEP_LIST.encode(), b" " * INFLATED_BYTES + b"{}", b"\xff")
    odd = [{"declaration_deflated": deflate(each)} for each in declarations]
    odd += [{"declaration_deflated": each} for each in (5, "%", "aa==", deflate(b""))]
    odd += [{"declaration": {}, "version": each} for each in (True, 10**400, "3", 1.5)]
    odd += [{"declaration": {}, "accepted_at": each} for each in (10**400, "nan")]
    for fields in odd:
        try:
            parse_configuration_entry({**ENTRY, **fields})
        except ValueError:
            continue
        raise AssertionError(str(fields)[:80])
    text = deflate(json.dumps({"a": 1}).encode())
    entry = parse_configuration_entry({**ENTRY, "declaration_deflated": text})
    assert entry.declaration == {"a": 1}


def test_odd_numbers_in_headers_of_engines_are_refused():
    server = BackendServer(
        name="e-1", address="127.0.0.1:1", pool="p", data_centre="dc-a"
    )
    for odd in (MANY_DIGITS, "1" + "0" * 400, "-1", "nan", "x", "\u00b2"):
        for name in ("Engine-Running", "Engine-Capacity", "Engine-Pace-Ms"):
            headers = Headers({"Engine-Running": ["1"], name: [odd]})
            try:
                _read_load(server, headers)
            except ValueError:
                continue
            raise AssertionError((name, odd[:80]))
        limits = read_limits(Headers({"Backend-Refusal-Limit": [odd]}))
        assert limits.refusals_per_s is None
