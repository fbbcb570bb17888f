from __future__ import annotations

import json

from ebonyhaven_operator._request_timeline import (
    build_request_timeline,
    parse_log_lines,
)


def format_line(second, event, **fields):
    timestamp = f"2026-01-01T00:00:{second:02d}Z"
    return json.dumps({"timestamp": timestamp, "event": event, **fields})


def parse_lines(*lines, source="n1"):
    return list(parse_log_lines(source, lines))


def test_prefixes_and_lines_without_an_event_are_ignored():
    lines = parse_lines(
        "not json at all",
        "12.5 n1 " + format_line(1, "call_sent", request="r1"),
        "{broken",
        '["a", "list"]',
        '{"no": "event"}',
    )
    assert [line.event for line in lines] == ["call_sent"]


def test_timeline_has_request_lines_and_state_changes_between_them():
    lines = parse_lines(
        format_line(1, "backend_listed", server="s1"),
        format_line(2, "stream_sent", request="r1", server="s1"),
        format_line(3, "stream_sent", request="r2", server="s2"),
        format_line(4, "backend_unlisted", server="s1"),
        format_line(4, "backend_unlisted", server="s9"),
        format_line(5, "store_lost", table="servers"),
        format_line(6, "stream_given_up", request="r1"),
        format_line(7, "store_regained", table="servers"),
    )
    lines += parse_lines(format_line(4, "store_lost", table="op"), source="n2")
    timeline = build_request_timeline("r1", reversed(lines))
    assert [line.event for line in timeline] == [
        "stream_sent",
        "backend_unlisted",
        "store_lost",
        "stream_given_up",
    ]
    assert "server=s1" in timeline[0].describe()


def test_timeline_has_earlier_crashes_of_the_same_parts_and_content():
    lines = parse_lines(
        format_line(1, "server_loss_checked", traits=["part a", "c1"], server="s1"),
        format_line(2, "crash_evidence_received", traits=["part b", "c2"]),
        format_line(3, "crash_evidence_received", traits=["part a", "c3"]),
        format_line(4, "crashes_cleared", trait="part a"),
        format_line(5, "call_sent", request="r1", traits=["part a", "c4"]),
        format_line(6, "request_failed", request="r1"),
        format_line(7, "crashes_cleared", trait="part a"),
    )
    lines += parse_lines(format_line(4, "crashes_cleared", trait="part a"), source="n2")
    timeline = build_request_timeline("r1", lines)
    assert [line.event for line in timeline] == [
        "server_loss_checked",
        "crash_evidence_received",
        "crashes_cleared",
        "call_sent",
        "request_failed",
    ]


def test_timeline_of_unknown_request_is_empty():
    assert build_request_timeline("r9", parse_lines(format_line(1, "store_lost"))) == []
