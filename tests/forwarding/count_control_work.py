"""Prints what instances do for each other, for docs/CAPACITY.md.

Run with ``python -m tests.forwarding.count_control_work``.
"""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import LossReport

from tests.forwarding.group_replay import GroupReplay

SIZES = (9, 91, 195)
JOIN_S = 10.0
REST_S = 5.0
RESENDS_S = 3.5  # in which evidence is sent three times
COLUMNS = ("calls", "sent", "decoded", "encoded", "timers", "lines")


def print_counts(phase, size, counts, seconds=1.0):
    """Print what one instance did on average."""
    values = [f"{counts[name] / size / seconds:.4g}" for name in COLUMNS]
    print("|", " | ".join([phase, str(size), *values]), "|", flush=True)


def count_work(size):
    """Count the work of a start, at rest, and after a loss that one finds."""
    with GroupReplay(size) as replay:
        replay.advance(JOIN_S)
        print_counts("start, 10 s", size, replay.take_counts())
        replay.advance(REST_S)
        rest = replay.take_counts()
        print_counts("at rest, each second", size, rest, REST_S)
        finder = replay.instances[0]
        loss = LossReport("s1/5", "dc-1", 0.0, (("part", "content"),))
        finder.history.add(loss, replay.clock.seconds())
        finder.group.report_ended_process("s1/5")
        replay.advance(RESENDS_S)
        counts = replay.take_counts()
        for name in COLUMNS:
            counts[name] -= rest[name] * RESENDS_S / REST_S
        print_counts("a server's loss, beyond rest", size, counts)


if __name__ == "__main__":
    print("| | instances |", " | ".join(COLUMNS), "|")
    for size in SIZES:
        count_work(size)
