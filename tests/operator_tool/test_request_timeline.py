from __future__ import annotations

import json

from ebonyhaven_operator._request_timeline import (
    build_request_timeline,
    parse_log_lines,
)


def line(second, event, **fields):
    stamp = f"2026-01-01T00:00:{second:02d}Z"
    return json.dumps({"timestamp": stamp, "event": event, **fields})


def parse(*lines, source="n1"):
    return list(parse_log_lines(source, lines))


def test_lines_of_other_programs_and_prefixes_are_passed_over():
    lines = parse(
        "not json at all",
        "12.5 n1 " + line(1, "call_sent", request="r1"),
        "{broken",
        '["a", "list"]',
        '{"no": "event"}',
    )
    assert [each.event for each in lines] == ["call_sent"]


def test_story_has_the_request_and_what_was_believed_meanwhile():
    lines = parse(
        line(1, "backend_listed", server="s1"),
        line(2, "stream_sent", request="r1", server="s1"),
        line(3, "stream_sent", request="r2", server="s2"),
        line(4, "backend_unlisted", server="s1"),
        line(4, "backend_unlisted", server="s9"),
        line(5, "store_lost", table="servers"),
        line(6, "stream_given_up", request="r1"),
        line(7, "store_regained", table="servers"),
    )
    lines += parse(line(4, "store_lost", table="op"), source="n2")
    story = build_request_timeline("r1", reversed(lines))
    assert [each.event for each in story] == [
        "stream_sent",
        "backend_unlisted",
        "store_lost",
        "stream_given_up",
    ]
    assert "server=s1" in story[0].describe()


def test_unknown_request_has_no_story():
    assert build_request_timeline("r9", parse(line(1, "store_lost"))) == []
