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
    """Applies transactions at once; each queued fault meets one of them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.transactions = []
        self.faults = []

    def transact(self, transaction):
        self.transactions.append(transaction)
        fault = self.faults.pop(0) if self.faults else None
        if fault == "out":
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
        if fault == "lose":
            return fail(Unconfirmed(**FAULT))
        return succeed(self.version)

    def read_rows(self, keys):
        return succeed(RowSet(tuple(self.find(key) for key in keys), self.version))

    def find(self, key):
        return self.rows.get(key, Row(key, None, 0))


def make_controller(table, clock, instance="n1"):
    return ClaimStore(
        table=table,
        claimant=Claimant(instance=instance, incarnation=1),
        pauses=PauseDetector(clock),
        reactor=clock,
    )


def insert(controller, run_id, generation="g"):
    deadline = time.monotonic() + 60.0
    claim = controller.insert(
        run_id, generation=generation, server="s1", digest="d", deadline=deadline
    )
    return ensureDeferred(claim)


def settle(clock, deferred):
    results = []
    deferred.addBoth(results.append)
    clock.pump([0.05] * 100)
    return results[0]


def test_claims_that_arrive_together_share_a_transaction():
    table, clock = FakeTable(), Clock()
    controller = make_controller(table, clock)
    claims = [insert(controller, f"r{number}") for number in range(20)]
    clock.pump([0.05] * 5)
    assert len(table.transactions) == 1
    assert all(settle(clock, claim).own for claim in claims)


def test_lost_confirmation_is_settled_by_the_own_row():
    table, clock = FakeTable(), Clock()
    table.faults = ["lose"]
    claim = settle(clock, insert(make_controller(table, clock), "r"))
    assert claim.own
    assert claim.version == table.find(format_claim_key("r")).version


def test_claim_of_another_instance_is_returned_and_the_rest_is_written():
    table, clock = FakeTable(), Clock()
    first = settle(clock, insert(make_controller(table, clock, "n2"), "taken"))
    controller = make_controller(table, clock)
    taken, free = insert(controller, "taken"), insert(controller, "free")
    assert settle(clock, free).own
    found = settle(clock, taken)
    assert not found.own
    assert found.row == first.row


def test_same_instance_after_a_restart_does_not_take_its_old_claim_for_new():
    table, clock = FakeTable(), Clock()
    settle(clock, insert(make_controller(table, clock), "r", generation="old"))
    claim = settle(clock, insert(make_controller(table, clock), "r", generation="new"))
    assert not claim.own


def test_outage_gives_the_insert_back_and_the_wait_ends_with_it():
    table, clock = FakeTable(), Clock()
    table.faults = ["out"]
    controller = make_controller(table, clock)
    given_back = settle(clock, insert(controller, "r"))
    assert given_back.check(ClaimUnavailable)
    assert table.find(format_claim_key("r")).version == 0
    waiting = ensureDeferred(controller.wait_available(time.monotonic() + 60.0))
    assert settle(clock, waiting) is None
    assert settle(clock, insert(controller, "r")).own


def test_move_is_won_by_one_of_two_instances():
    table, clock = FakeTable(), Clock()
    here, there = make_controller(table, clock), make_controller(table, clock, "n2")
    claim = settle(clock, insert(here, "r"))
    deadline = time.monotonic() + 60.0
    moves = [
        ensureDeferred(side.move("r", claim, server=server, deadline=deadline))
        for side, server in ((here, "s2"), (there, "s3"))
    ]
    results = [settle(clock, move) for move in moves]
    assert [result.own for result in results] == [True, False]
    assert results[1].row["server"] == "s2"
