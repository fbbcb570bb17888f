from __future__ import annotations

import json

from ebonyhaven_decisions import GossipEntry, GossipTable
from ebonyhaven_node import Digest, DigestSet, TableDigest, fit_entries


class VersionDigest(Digest):
    """Digest of a single number; the highest merged number is kept."""

    code = "c"
    has_priority = True

    def __init__(self, version: int):
        self.version = version

    def collect(self, budget_bytes):
        return self.version

    def merge(self, sender, payload):
        self.version = max(self.version, int(payload))


def make_table_digest(code: str, count: int, **options) -> TableDigest:
    table = GossipTable(ttl_s=60.0)
    for index in range(count):
        table.merge(GossipEntry(f"{code}{index}", 1, [index]), 0.0)
    return TableDigest(code=code, table=table, clock=lambda: 0.0, **options)


def test_priority_digest_is_in_each_heartbeat_and_others_rotate():
    digests = DigestSet(on_fault=AssertionError, budget_bytes=64)
    for digest in (
        make_table_digest("l", 20),
        make_table_digest("u", 20),
        VersionDigest(7),
    ):
        digests.add(digest)
    seen = set()
    for _ in range(6):
        payloads = digests.collect()
        assert payloads["c"] == 7
        assert len(json.dumps(payloads, separators=(",", ":"))) <= 64
        seen |= payloads.keys()
    assert seen == {"c", "l", "u"}


def test_received_entries_are_reported_once():
    merged = []
    source = DigestSet(on_fault=AssertionError, budget_bytes=200)
    source.add(make_table_digest("l", 3))
    target = DigestSet(on_fault=AssertionError)
    target.add(make_table_digest("l", 0, on_merge=merged.append))
    for _ in range(3):
        target.merge("n1", json.loads(json.dumps(source.collect())))
    assert [entry.key for entry in merged] == ["l0", "l1", "l2"]


def test_malformed_payload_is_counted_and_other_digests_are_merged():
    faults = []
    target = DigestSet(on_fault=faults.append)
    version = VersionDigest(1)
    target.add(version)
    target.add(make_table_digest("l", 0))
    target.merge("n1", {"l": 5, "c": 9, "x": 1})
    assert version.version == 9
    assert faults == ["digest_malformed"]


def test_payload_over_the_budget_is_dropped():
    faults = []
    digests = DigestSet(on_fault=faults.append, budget_bytes=10)
    digests.add(VersionDigest(10**12))
    assert digests.collect() == {}
    assert faults == ["digest_too_long"]


def test_fit_entries_returns_the_first_entries_within_the_budget():
    entries = [["s1", 12], ["s2", 345], ["s3", 6]]
    for budget_bytes in range(2, 60):
        chosen = fit_entries(entries, budget_bytes)
        assert chosen == entries[: len(chosen)]
        assert len(json.dumps(chosen, separators=(",", ":"))) <= budget_bytes
    assert chosen == entries
