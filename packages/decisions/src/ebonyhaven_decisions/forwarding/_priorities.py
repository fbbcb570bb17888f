"""Priorities of streams within an engine; 0 is the most urgent.

Designed for an engine whose memory is full: it preempts the least urgent run first. A
burst of the least urgent requests then preempts neither streams that go on there after
a loss nor, among late ones, those of a more urgent rank.
"""

from __future__ import annotations

# Of the most urgent rank; the others follow it.
RESUMED_PRIORITY = 0  # before new streams: the caller has received some events
LATE_PRIORITY = 7  # yields to streams that can still meet their target
DEFAULT_PRIORITY = 5  # assumed by engines if the request states none
MAX_ROUTE_PRIORITY = 2  # of routes and workspaces, as far as engines tell them apart


def choose_engine_priority(
    *, is_late: bool, is_resumed: bool, priority: int
) -> int | None:
    """Return the priority that a stream states to its engine.

    Parameters
    ----------
    is_late : bool
        Whether the stream missed a target.
    is_resumed : bool
        Whether it continues on another engine.
    priority : int
        Priority of the request; 0 is the most urgent.

    Returns
    -------
    int or None
        None for the default.
    """
    rank = min(MAX_ROUTE_PRIORITY, priority)
    if is_late:
        return LATE_PRIORITY + rank
    if is_resumed:
        return RESUMED_PRIORITY + rank
    chosen = DEFAULT_PRIORITY - 1 + rank
    return None if chosen == DEFAULT_PRIORITY else chosen
