from __future__ import annotations

import json

from ebonyhaven_decisions import CrashLedger, CrashVerdict
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._servers import BackendServer

CONTENT = "0123456789abcdef"
HEARTBEAT_BYTES = 64


def make_server(name):
    return BackendServer(
        name=name, address="127.0.0.1:1", pool="p", data_centre="dc", identity="1"
    )


def test_deaths_seen_by_two_instances_stop_a_content_on_both():
    here, there = CrashReports(CrashLedger()), CrashReports(CrashLedger())
    here.record_death(CONTENT, server=make_server("s1"), progress_tokens=0)
    there.record_death(CONTENT, server=make_server("s2"), progress_tokens=0)
    outgoing = here.make_digest().collect(HEARTBEAT_BYTES)
    assert outgoing
    there.make_digest().merge("n1", json.loads(json.dumps(outgoing)))
    assert there.judge(CONTENT) is CrashVerdict.STOPPED
    assert here.judge(CONTENT) is CrashVerdict.SUSPECT


def test_one_death_seen_by_two_instances_counts_once():
    here, there = CrashReports(CrashLedger()), CrashReports(CrashLedger())
    for reports in (here, there):
        reports.record_death(CONTENT, server=make_server("s1"), progress_tokens=0)
    there.make_digest().merge("n1", here.make_digest().collect(HEARTBEAT_BYTES))
    assert there.judge(CONTENT) is CrashVerdict.SUSPECT
