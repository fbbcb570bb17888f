from __future__ import annotations

from ebonyhaven_decisions import EVIDENCE_WAIT_S, CrashLedger, CrashVerdict

AFTER_TTL_S = 10_000.0


def record_crash(ledger, content, server, *, progress=0, now=0.0):
    ledger.record_crash(content, server=server, progress_tokens=progress, now=now)


def test_content_is_stopped_after_two_engine_deaths():
    ledger = CrashLedger()
    record_crash(ledger, "crashing", "s1")
    assert ledger.evaluate("crashing", now=1.0) is CrashVerdict.SUSPECT
    record_crash(ledger, "crashing", "s2", now=1.0)
    assert ledger.evaluate("crashing", now=2.0) is CrashVerdict.STOPPED


def test_content_with_progress_before_each_death_is_not_stopped():
    ledger = CrashLedger()
    record_crash(ledger, "other", "s1", progress=500)
    record_crash(ledger, "other", "s2", progress=500, now=60.0)
    assert ledger.evaluate("other", now=61.0) is CrashVerdict.SUSPECT


def test_content_that_shares_engines_with_the_crashing_one_is_not_stopped():
    ledger = CrashLedger()
    record_crash(ledger, "crashing", "s1")
    record_crash(ledger, "other", "s1", progress=20)
    record_crash(ledger, "other", "s2", progress=1, now=0.2)
    assert ledger.evaluate("other", now=0.2) is CrashVerdict.SUSPECT
    record_crash(ledger, "crashing", "s2", now=0.2)
    assert ledger.evaluate("crashing", now=0.2) is CrashVerdict.STOPPED


def test_content_that_crashes_engines_after_some_tokens_is_stopped():
    ledger = CrashLedger()
    record_crash(ledger, "crashing", "s1", progress=100)
    record_crash(ledger, "other", "s1", progress=50)
    record_crash(ledger, "crashing", "s2", now=1.0)
    assert ledger.evaluate("crashing", now=1.0) is CrashVerdict.UNDECIDED
    assert (
        ledger.evaluate("crashing", now=1.0 + EVIDENCE_WAIT_S) is CrashVerdict.STOPPED
    )


def test_late_evidence_turns_undecided_content_into_suspect():
    local, remote = CrashLedger(), CrashLedger()
    record_crash(local, "other", "s1", progress=20)
    record_crash(local, "other", "s2", now=0.2)
    assert local.evaluate("other", now=0.3) is CrashVerdict.UNDECIDED
    record_crash(remote, "crashing", "s1")
    local.merge(remote.export(now=0.5, limit=10), now=0.5)
    assert local.evaluate("other", now=0.5) is CrashVerdict.SUSPECT


def test_one_death_reported_twice_counts_once():
    ledger = CrashLedger()
    record_crash(ledger, "content", "s1")
    record_crash(ledger, "content", "s1", now=0.5)
    assert ledger.evaluate("content", now=1.0) is CrashVerdict.SUSPECT


def test_evidence_expires():
    ledger = CrashLedger()
    record_crash(ledger, "crashing", "s1")
    record_crash(ledger, "crashing", "s2")
    assert ledger.evaluate("crashing", now=AFTER_TTL_S) is CrashVerdict.CLEAR


def test_evidence_of_two_instances_is_combined():
    local, remote = CrashLedger(), CrashLedger()
    record_crash(local, "crashing", "s1", now=100.0)
    record_crash(remote, "crashing", "s2", now=7.0)
    local.merge(remote.export(now=8.0, limit=10), now=101.0)
    assert local.evaluate("crashing", now=102.0) is CrashVerdict.STOPPED


def test_export_is_bounded_and_newest_first():
    ledger = CrashLedger()
    for number in range(20):
        record_crash(ledger, f"c{number}", "s1", now=float(number))
    exported = ledger.export(now=20.0, limit=5)
    assert [content for content, _ in exported] == ["c19", "c18", "c17", "c16", "c15"]
