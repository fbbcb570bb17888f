from __future__ import annotations

import time

from ebonyhaven_decisions import Claimant
from ebonyhaven_node._claim_records import ClaimUnavailable, format_claim_key
from ebonyhaven_node._claims import ClaimStore
from ebonyhaven_node._pauses import PauseDetector
from ebonyhaven_store import Conflict, Row, RowSet, Unavailable, Unconfirmed
from twisted.internet.defer import ensureDeferred, fail, succeed
from twisted.internet.task import Clock

FAULT = {"step": "table.transact", "peer": "p", "reason": "test"}


class FakeTable:
    """Applies transactions immediately; each queued fault affects one of them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.transactions = []
        self.faults = []

    def transact(self, transaction):
        self.transactions.append(transaction)
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unavailable":
            return fail(Unavailable(**FAULT))
        changed = tuple(
            self.find(condition.key)
            for condition in transaction.conditions
            if self.find(condition.key).version != condition.version
        )
        if changed:
            return fail(Conflict(step="table.transact", peer="p", rows=changed))
        self.version += 1
        for write in transaction.writes:
            self.rows[write.key] = Row(write.key, write.value, self.version)
        if fault == "unconfirmed":
            return fail(Unconfirmed(**FAULT))
        return succeed(self.version)

    def read_rows(self, keys):
        return succeed(RowSet(tuple(self.find(key) for key in keys), self.version))

    def find(self, key):
        return self.rows.get(key, Row(key, None, 0))


def make_store(table, clock, instance="n1"):
    return ClaimStore(
        table=table,
        claimant=Claimant(instance=instance, incarnation=1),
        pauses=PauseDetector(clock),
        reactor=clock,
    )


def insert(store, run_id, generation="g"):
    deadline = time.monotonic() + 60.0
    claim = store.insert(
        run_id, generation=generation, server="s1", digest="d", deadline=deadline
    )
    return ensureDeferred(claim)


def wait_for_result(clock, deferred):
    results = []
    deferred.addBoth(results.append)
    clock.pump([0.05] * 100)
    return results[0]


def test_concurrent_claims_share_a_transaction():
    table, clock = FakeTable(), Clock()
    store = make_store(table, clock)
    claims = [insert(store, f"r{number}") for number in range(20)]
    clock.pump([0.05] * 5)
    assert len(table.transactions) == 1
    assert all(wait_for_result(clock, claim).is_acquired for claim in claims)


def test_lost_confirmation_is_resolved_by_the_written_row():
    table, clock = FakeTable(), Clock()
    table.faults = ["unconfirmed"]
    claim = wait_for_result(clock, insert(make_store(table, clock), "r"))
    assert claim.is_acquired
    assert claim.version == table.find(format_claim_key("r")).version


def test_conflicting_claim_is_returned_and_other_claims_are_written():
    table, clock = FakeTable(), Clock()
    first = wait_for_result(clock, insert(make_store(table, clock, "n2"), "taken"))
    store = make_store(table, clock)
    taken, free = insert(store, "taken"), insert(store, "free")
    assert wait_for_result(clock, free).is_acquired
    found = wait_for_result(clock, taken)
    assert not found.is_acquired
    assert found.row == first.row


def test_restarted_instance_does_not_acquire_its_earlier_claim():
    table, clock = FakeTable(), Clock()
    wait_for_result(clock, insert(make_store(table, clock), "r", generation="old"))
    claim = wait_for_result(
        clock, insert(make_store(table, clock), "r", generation="new")
    )
    assert not claim.is_acquired


def test_insert_fails_in_an_outage_and_succeeds_after_wait_available():
    table, clock = FakeTable(), Clock()
    table.faults = ["unavailable"]
    store = make_store(table, clock)
    failed_insert = wait_for_result(clock, insert(store, "r"))
    assert failed_insert.check(ClaimUnavailable)
    assert table.find(format_claim_key("r")).version == 0
    waiting = ensureDeferred(store.wait_available(time.monotonic() + 60.0))
    assert wait_for_result(clock, waiting) is None
    assert wait_for_result(clock, insert(store, "r")).is_acquired


def test_only_one_of_two_instances_moves_a_claim():
    table, clock = FakeTable(), Clock()
    first_store, second_store = make_store(table, clock), make_store(table, clock, "n2")
    claim = wait_for_result(clock, insert(first_store, "r"))
    deadline = time.monotonic() + 60.0
    moves = [
        ensureDeferred(store.move("r", claim, server=server, deadline=deadline))
        for store, server in ((first_store, "s2"), (second_store, "s3"))
    ]
    results = [wait_for_result(clock, move) for move in moves]
    assert [result.is_acquired for result in results] == [True, False]
    assert results[1].row["server"] == "s2"
