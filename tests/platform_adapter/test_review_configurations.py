"""Sequences of a review: changes of configurations that meet a read of the store."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import find_reader_rank

from tests.platform_adapter.state_sources import make_rows
from tests.platform_adapter.test_configuration_feed import (
    APPLY_S,
    CHANGE_INTERVAL_S,
    NAMES,
    Group,
    make_configuration,
)

SUPPLIED = next(name for name in NAMES if find_reader_rank(name, NAMES) > 2)


def test_change_that_arrives_while_an_older_configuration_is_read_is_not_left_out():
    # The read was answered before the change was written; nothing asks for it again.
    group = Group()
    lagging = group.instances[SUPPLIED]
    assert lagging.source._compute_pause_s() > 0.0
    handlers = lagging.channels.handlers
    receive, handlers["xc"] = handlers["xc"], lambda _: None
    group.change()  # 8, lost
    group.advance(CHANGE_INTERVAL_S)
    handlers["xc"] = receive
    group.change()  # 9, which does not fit
    group.advance(CHANGE_INTERVAL_S)  # the store is being read
    group.change()  # 10, which does not fit either
    group.advance(0.1)
    lagging.store.push("op", make_rows(99, config=make_configuration(9)))
    group.advance(0.1)
    assert lagging.version == 9
    lagging.store.push("op", make_rows(100, config=make_configuration(10)))
    group.advance(APPLY_S)
    assert lagging.version == 10
