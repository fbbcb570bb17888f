from __future__ import annotations

import json

from ebonyhaven_decisions import CrashLedger, CrashVerdict
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._servers import BackendServer

CONTENT = "0123456789abcdef"
DIGEST_BUDGET_BYTES = 64


def make_server(name):
    return BackendServer(
        name=name, address="127.0.0.1:1", pool="p", data_centre="dc", identity="1"
    )


def test_death_reported_by_another_instance_stops_a_content():
    first, second = CrashReports(CrashLedger()), CrashReports(CrashLedger())
    first.record_crash(CONTENT, server=make_server("s1"), progress_tokens=0)
    second.record_crash(CONTENT, server=make_server("s2"), progress_tokens=0)
    outgoing = first.make_digest().collect(DIGEST_BUDGET_BYTES)
    assert outgoing
    second.make_digest().merge("n1", json.loads(json.dumps(outgoing)))
    assert second.evaluate(CONTENT) is CrashVerdict.STOPPED
    assert first.evaluate(CONTENT) is CrashVerdict.SUSPECT


def test_death_recorded_by_two_instances_counts_once():
    first, second = CrashReports(CrashLedger()), CrashReports(CrashLedger())
    for reports in (first, second):
        reports.record_crash(CONTENT, server=make_server("s1"), progress_tokens=0)
    second.make_digest().merge("n1", first.make_digest().collect(DIGEST_BUDGET_BYTES))
    assert second.evaluate(CONTENT) is CrashVerdict.SUSPECT
