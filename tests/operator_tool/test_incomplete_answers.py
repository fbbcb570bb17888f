from __future__ import annotations

from ebonyhaven_operator._incomplete_answers import (
    IncompleteAnswers,
    group_incomplete_answers,
)

from tests.operator_tool.test_request_timeline import format_line, parse_lines

SILENT = "silent for 0.35 s"
LATE = "no answer in time"


def test_requests_without_a_complete_answer_are_counted_by_cause():
    events = [
        ("stream_given_up", {"delivered": 0, "reason": "leaving"}),
        ("request_failed", {"status": 503, "route": "a", "reason": "leaving"}),
        ("request_failed", {"status": 404, "route": None, "reason": "no route"}),
        ("stream_sent", {}),
        ("stream_given_up", {"delivered": 7, "reason": "late", "last_reason": SILENT}),
        ("stream_given_up", {"delivered": 9, "reason": "late", "last_reason": "lost"}),
        ("request_cut", {"kind": "once", "reason": "closing"}),
        *[("request_failed", {"status": 504, "route": "b", "reason": LATE})] * 4,
        ("request_failed", {"status": 504, "route": "c", "reason": LATE}),
    ]
    lines = parse_lines(
        *(
            format_line(number, event, request=f"r{number}", **fields)
            for number, (event, fields) in enumerate(events)
        )
    )
    assert group_incomplete_answers(lines) == [
        IncompleteAnswers("504 on b: no answer in time", 4, ("r7", "r8", "r9")),
        IncompleteAnswers("504 on c: no answer in time", 1, ("r11",)),
        IncompleteAnswers("cut: late; lost", 1, ("r5",)),
        IncompleteAnswers("cut: late; silent for N s", 1, ("r4",)),
        IncompleteAnswers("ended by the instance: closing", 1, ("r6",)),
    ]
