"""Tests of child processes and the allocation of loopback addresses."""

from __future__ import annotations

import pathlib
import sys
import tempfile

from ebonyhaven_standins.cluster import (
    ChildProcess,
    ProcessError,
    allocate_address,
    derive_loopback_prefix,
)


def start_script(folder, script):
    return ChildProcess(
        name="child",
        command=[sys.executable, "-c", script],
        log_path=pathlib.Path(folder) / "child.log",
    )


def test_address_blocks_of_consecutive_process_ids_differ():
    blocks = {derive_loopback_prefix(number) for number in range(1000, 60_000)}
    assert len(blocks) == 59_000


def test_allocated_addresses_are_unique():
    addresses = [allocate_address() for _ in range(1000)]
    assert len(set(addresses)) == len(addresses)


def test_child_process_is_paused_resumed_and_terminated():
    script = "import time; print('ready', flush=True); time.sleep(600)"
    with tempfile.TemporaryDirectory() as folder:
        child = start_script(folder, script)
        child.wait_until_ready()
        child.pause()
        assert child.running
        child.resume()
        child.terminate()
        assert child.wait() == -15
        assert not child.running


def test_error_of_early_exit_contains_child_log():
    with tempfile.TemporaryDirectory() as folder:
        child = start_script(folder, "raise SystemExit('no such model')")
        try:
            child.wait_until_ready()
        except ProcessError as error:
            assert error.step == "start"
            assert error.peer == "child"
            assert "no such model" in error.reason
        else:
            raise AssertionError("waiting for a child that exited did not fail")
