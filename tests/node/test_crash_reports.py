from __future__ import annotations

import json
import time
from unittest import mock

from ebonyhaven_decisions import CrashLedger, CrashVerdict
from ebonyhaven_node import Frame, FrameKind
from ebonyhaven_node._crash_reports import CrashReports
from ebonyhaven_node._evidence_exchange import SEND_DELAY_S
from ebonyhaven_node._servers import BackendServer
from twisted.internet.task import Clock

from tests.forwarding.peers import FakeChannels, FakeMembership

CONTENT = "0123456789abcdef"
DAY_S = 86_400.0


def make_server(name):
    return BackendServer(
        name=name, address="127.0.0.1:1", pool="p", data_centre="dc", identity="1"
    )


def make_reports():
    """Return crash reports with their membership, channels and clock."""
    clock, membership, channels = Clock(), FakeMembership("n2"), FakeChannels()
    reports = CrashReports(CrashLedger(), clock.seconds)
    reports.connect(membership, channels, clock)
    return reports, membership, channels, clock


def pass_messages(membership, channels) -> None:
    """Deliver the messages of one instance to another one, and forget them."""
    for _, kind, payload in membership.sent:
        received = json.loads(json.dumps(payload))
        channels.handlers[kind](Frame(kind, "n1", 1, received))
    membership.sent.clear()


def test_death_reported_by_another_instance_stops_a_content():
    first, membership, _, clock = make_reports()
    second, _, channels, _ = make_reports()
    first.record_crash(CONTENT, server=make_server("s1"), progress_tokens=0)
    second.record_crash(CONTENT, server=make_server("s2"), progress_tokens=0)
    clock.advance(SEND_DELAY_S)
    pass_messages(membership, channels)
    assert second.evaluate(CONTENT) is CrashVerdict.STOPPED
    assert first.evaluate(CONTENT) is CrashVerdict.SUSPECT


def test_death_recorded_by_two_instances_counts_once():
    first, membership, _, clock = make_reports()
    second, _, channels, _ = make_reports()
    for reports in (first, second):
        reports.record_crash(CONTENT, server=make_server("s1"), progress_tokens=0)
    clock.advance(SEND_DELAY_S)
    pass_messages(membership, channels)
    assert second.evaluate(CONTENT) is CrashVerdict.SUSPECT


def test_evidence_counts_whatever_the_time_of_day_of_its_receiver():
    # Guards against an instance whose clock has jumped, and that takes the evidence
    # of others for outdated.
    for jump_s in (-DAY_S, DAY_S):
        first, membership, _, clock = make_reports()
        second, _, channels, _ = make_reports()
        for name in ("s1", "s2"):
            first.record_crash(CONTENT, server=make_server(name), progress_tokens=0)
        clock.advance(SEND_DELAY_S)
        jumped = time.time() + jump_s
        with mock.patch("time.time", return_value=jumped):
            pass_messages(membership, channels)
        assert second.evaluate(CONTENT) is CrashVerdict.STOPPED


def test_evidence_of_many_contents_is_sent_at_once():
    first, membership, _, clock = make_reports()
    second, _, channels, _ = make_reports()
    contents = [f"{number:016x}" for number in range(30)]
    for content in contents:
        for name in ("s1", "s2"):
            first.record_crash(content, server=make_server(name), progress_tokens=0)
    clock.advance(SEND_DELAY_S)
    assert len(membership.sent) == 1
    pass_messages(membership, channels)
    assert all(second.evaluate(each) is CrashVerdict.STOPPED for each in contents)


def test_instance_that_joins_is_told_what_is_known():
    first, membership, _, clock = make_reports()
    second, _, channels, _ = make_reports()
    for name in ("s1", "s2"):
        first.record_crash(CONTENT, server=make_server(name), progress_tokens=0)
    clock.advance(60.0)
    membership.sent.clear()
    membership.observers[0](membership.members[-1])
    pass_messages(membership, channels)
    assert second.evaluate(CONTENT) is CrashVerdict.STOPPED


def test_malformed_evidence_is_ignored():
    reports, _, channels, _ = make_reports()
    receive = channels.handlers[FrameKind.CRASHES]
    for payload in (None, 5, [[CONTENT]], [[1, "s", 0, True, True]], [["c", "s", "x"]]):
        receive(Frame(FrameKind.CRASHES, "n2", 1, payload))
    assert reports.evaluate(CONTENT) is CrashVerdict.CLEAR
