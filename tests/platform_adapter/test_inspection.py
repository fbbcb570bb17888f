from __future__ import annotations

from ebonyhaven_adapter._inspection import _decode_report

REPORT = {"models": [{"name": "m", "version": 1}], "kvTotal": 88000, "active": 3}


def test_report_says_whether_the_engine_leaves():
    for state, is_leaving in (("draining", True), ("ready", False), ([], False)):
        assert _decode_report({**REPORT, "state": state}).is_leaving is is_leaving
    assert not _decode_report(REPORT).is_leaving
