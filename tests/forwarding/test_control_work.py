"""What instances do for each other, counted with 9, 91 and 195 of them.

The bounds follow from the target in CONTRIBUTING.md for the control of a node, 1.4% of
a core. A call of a function takes about a microsecond, a message at both ends 0.2 ms.
"""

from __future__ import annotations

import cProfile

from ebonyhaven_decisions import _rendezvous
from ebonyhaven_decisions.forwarding import (
    BackendDirectory,
    LossReport,
    find_reader_rank,
)

from tests.forwarding.group_replay import GroupReplay
from tests.forwarding.harness import make_entry

SIZES = (9, 91, 195)
JOIN_S = 6.0
REST_S = 2.0
RESENDS_S = 3.5  # in which evidence is sent three times
PROCESS = "s1/5"
MAX_CALLS_AT_REST_PER_S = 1000
MAX_MESSAGES_AT_REST_PER_S = 8.5
MAX_TIMERS_AT_REST_PER_S = 4.5
MAX_CALLS_TO_JOIN = 8000
MAX_CALLS_TO_JOIN_PER_INSTANCE = 200
MAX_TELLINGS_TO_JOIN = 12
MAX_ENCODINGS_OF_EVIDENCE = 17  # at once, and twice in eight turns


def test_work_does_not_grow_with_instances_squared():
    # Guards against processor time that each instance spends for each other one: at
    # 195 instances, a start took 272,700 calls, most of them to hash names.
    for size in SIZES:
        with GroupReplay(size) as replay:
            replay.advance(JOIN_S)
            check_join(replay.take_counts(), size)
            replay.advance(REST_S)
            check_rest(replay.take_counts(), size)
            check_loss(replay, size)


def check_join(counts, size):
    limit = MAX_CALLS_TO_JOIN + size * MAX_CALLS_TO_JOIN_PER_INSTANCE
    assert counts["calls"] / size < limit, (size, counts)
    # The reader and four standbys, and some of a view that is not complete yet.
    assert counts["sent takes_changes"] / size < MAX_TELLINGS_TO_JOIN, (size, counts)


def check_rest(counts, size):
    spent = size * REST_S
    assert counts["calls"] / spent < MAX_CALLS_AT_REST_PER_S, (size, counts)
    assert counts["sent"] / spent < MAX_MESSAGES_AT_REST_PER_S, (size, counts)
    assert counts["decoded"] / spent < MAX_MESSAGES_AT_REST_PER_S, (size, counts)
    assert counts["timers"] / spent < MAX_TIMERS_AT_REST_PER_S, (size, counts)


def check_loss(replay, size):
    """Check that what one instance tells all others is not encoded for each."""
    finder = replay.instances[0]
    known = len(finder.group.membership.members)
    loss = LossReport(PROCESS, "dc-1", 0.0, (("part", "content"),))
    finder.history.add(loss, replay.clock.seconds())
    finder.group.report_ended_process(PROCESS)
    replay.advance(RESENDS_S)
    counts = replay.take_counts()
    assert counts["sent server_losses"] >= 3 * (known - 1), (size, counts)
    assert counts["encoded server_losses"] <= MAX_ENCODINGS_OF_EVIDENCE, (size, counts)


def test_look_for_silent_servers_costs_nothing_for_idle_ones():
    # Guards against 160 calls, five times a second, at each instance at rest.
    directory = BackendDirectory()
    for number in range(160):
        directory.put(make_entry(f"p-{number}"), 0.0)
    busy = directory.find("p-7")
    busy.silence.record_sent(0.0, 0.2)
    profile = cProfile.Profile(builtins=False)
    profile.enable()
    silent = directory.list_unresponsive(10.0)
    profile.disable()
    assert silent == [busy]
    assert sum(each.callcount for each in profile.getstats()) < 10


def test_reader_of_a_group_is_chosen_once_for_the_same_instances():
    # Guards against the names of all instances hashed at each poll of the store.
    names = [f"n{number}" for number in range(195)]
    _rendezvous._choose.cache_clear()
    ranks = {find_reader_rank("n7", list(names)) for _ in range(100)}
    assert len(ranks) == 1
    assert _rendezvous._choose.cache_info().misses == 1
    find_reader_rank("n7", names[1:])
    assert _rendezvous._choose.cache_info().misses == 2
