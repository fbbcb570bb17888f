from __future__ import annotations

import time

from ebonyhaven_standins.control_node_processes import ControlNodeProcesses

TIMEOUT_S = 40.0
ENTRY_REMOVAL_TARGET_S = 3.0
NODE_COUNT = 6


def wait_until(condition) -> float:
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < TIMEOUT_S, "condition not met in time"
        time.sleep(0.02)
    return time.monotonic() - started


def start_converged(count: int = NODE_COUNT) -> ControlNodeProcesses:
    nodes = ControlNodeProcesses(count)
    wait_until(nodes.has_converged)
    return nodes


def test_killed_instance_leaves_the_entry_lists_and_its_successor_enters():
    with start_converged() as nodes:
        others = [name for name in nodes.names if name != "n1"]
        nodes.child("n1").kill()
        took_s = wait_until(lambda: all("n1" not in nodes.list_live(n) for n in others))
        assert took_s <= ENTRY_REMOVAL_TARGET_S, took_s
        assert all("n1" not in nodes.list_entry_instances(name) for name in others)
        nodes.start("n1", wait=True)
        wait_until(nodes.has_converged)


def test_paused_instance_is_offered_again_after_it_resumes():
    with start_converged() as nodes:
        others = [name for name in nodes.names if name != "n1"]
        nodes.child("n1").pause()
        wait_until(lambda: all("n1" not in nodes.list_live(n) for n in others))
        nodes.child("n1").resume()
        wait_until(lambda: all("n1" in nodes.list_live(name) for name in others))
        wait_until(lambda: nodes.list_live("n1") == set(nodes.names))


def test_leaving_instance_is_offered_by_no_instance():
    with start_converged(3) as nodes:
        nodes.call("n1", "/leave", method="POST")
        wait_until(lambda: all("n1" not in nodes.list_live(n) for n in nodes.names))
        assert all(
            "n1" not in nodes.list_entry_instances(name) for name in ("n0", "n2")
        )


def test_survivor_of_two_offers_only_itself():
    with start_converged(2) as nodes:
        nodes.child("n1").kill()
        took_s = wait_until(lambda: nodes.list_entry_instances("n0") == {"n0"})
        assert took_s <= ENTRY_REMOVAL_TARGET_S, took_s
