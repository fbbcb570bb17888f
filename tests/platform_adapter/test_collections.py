"""Tests of when the program looks for objects that nothing refers to any more."""

from __future__ import annotations

from tests.platform_adapter.node_processes import NodeProcess
from tests.platform_adapter.stand_ins import listen
from tests.platform_adapter.store_stand_in import StoreStandIn
from tests.waiting import wait_until

PROGRAM_WITH_REPORTS = """
import gc, json, os, sys
from ebonyhaven_adapter import __main__ as program
from twisted.internet.task import LoopingCall

kept = []

def report(phase, info):
    if phase == "start":
        line = {"event": "collection", "frozen": gc.get_freeze_count(), **info}
        os.write(1, json.dumps(line).encode() + b"\\n")

keeping = LoopingCall(lambda: kept.append([[] for _ in range(1000)]))
keeping.start(0.1, now=False)
gc.collect()
gc.callbacks.append(report)
sys.exit(program.main())
"""


class ReportingNodeProcess(NodeProcess):
    """Process that reports each collection in its log."""

    PROGRAM = ("-c", PROGRAM_WITH_REPORTS)


def test_objects_built_for_the_node_are_not_looked_through():
    # Guards against starts that look through all modules a hundred times, and against
    # pauses of tens of milliseconds to look through them again under load.
    store = StoreStandIn()
    listener = listen(store)
    node = ReportingNodeProcess(listener.address)
    try:
        node.wait_for_line("instance_started")
        wait_until(lambda: node.find_lines("collection"))
        events = [line["event"] for line in node.read_log()]
        assert events.index("instance_started") < events.index("collection")
        assert all(line["frozen"] > 0 for line in node.find_lines("collection"))
    finally:
        node.stop()
        listener.stop()
