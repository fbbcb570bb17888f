"""Entry points of callers leave out instances for several reasons."""

from __future__ import annotations

import random

from ebonyhaven_decisions import MemberRecord, MemberState
from ebonyhaven_node._entry_lists import EntryLists


def make_record(name):
    return MemberRecord(
        incarnation=1,
        state=MemberState.LIVE,
        name=name,
        control_address=f"{name}:1",
        caller_address=f"{name}:2",
        data_centre="dc-a",
        region="r1",
    )


class FakeMembership:
    unresponsive = frozenset()
    loads: dict = {}  # noqa: RUF012 never changed

    def __init__(self, *names):
        self.table = [make_record(name) for name in names]
        self.own = self.table[0]

    def is_isolated(self, now):
        return False

    def is_outdated(self, now):
        return False


def list_names(entries):
    chosen = entries.choose(load=0.0)
    return sorted(entry.name for entry in chosen.entries)


def build(*names):
    membership = FakeMembership(*names)
    rng = random.Random(1)
    return EntryLists(membership=membership, rng=rng, clock=lambda: 100.0)


def test_reasons_do_not_replace_each_other():
    entries = build("n1", "n2", "n3")
    entries.set_excluded(["n2"], reason="not ready")
    entries.set_excluded(["n3"], reason="cut off", may_exclude_all=False)
    assert list_names(entries) == ["n1"]
    entries.set_excluded([], reason="not ready")
    assert list_names(entries) == ["n1", "n2"]


def test_list_is_not_empty_if_no_instance_reaches_servers():
    entries = build("n1", "n2", "n3")
    entries.set_excluded(["n3"], reason="not ready")
    entries.set_excluded(["n1", "n2"], reason="cut off", may_exclude_all=False)
    assert list_names(entries) == ["n1", "n2"]
