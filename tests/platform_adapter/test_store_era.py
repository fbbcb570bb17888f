"""Tests of the program with a store that comes back from an older copy."""

from __future__ import annotations

from tests.platform_adapter.program_harness import start_harness
from tests.platform_adapter.stand_ins import call_in_reactor, make_entry
from tests.waiting import wait_until


def list_keys(harness, table):
    return {
        key for name, key in call_in_reactor(dict, harness.store.rows) if name == table
    }


def take_copy_without_registration(harness):
    copy = call_in_reactor(harness.store.take_copy)
    del copy[0]["instances", "n1"]
    return copy


def test_instance_registers_again_and_keeps_serving_after_a_restore():
    with start_harness() as harness:
        harness.configure()
        copy = take_copy_without_registration(harness)
        harness.put("servers", "e-9", make_entry("engines", "127.0.0.1:9"))
        harness.configure(version=2)
        call_in_reactor(harness.store.restore, copy)
        harness.node.wait_for_line("store_restored", era=2)
        wait_until(lambda: "n1" in list_keys(harness, "instances"))
        harness.node.wait_for_line("server_list_restored", kept=1)
        harness.node.wait_for_line("backend_unlisted", server="e-9")
        # The operator writes again what it wrote; version numbers are given out again.
        harness.configure(version=3)
        assert harness.is_ready()
        in_force = harness.node.find_lines("configuration_in_force")
        assert [line["version"] for line in in_force] == [1, 2, 3]


def test_instance_that_starts_during_a_restore_reads_the_restored_tables():
    with start_harness() as harness:
        copy = take_copy_without_registration(harness)
        call_in_reactor(harness.store.restore, copy)
        harness.configure(version=5)
        wait_until(harness.is_ready)
        wait_until(lambda: "n1" in list_keys(harness, "instances"))
