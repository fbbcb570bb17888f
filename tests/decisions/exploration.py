"""Exhaustive exploration of small state machines."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple


class Exploration(NamedTuple):
    """Result of an exploration.

    Parameters
    ----------
    states : int
        Number of distinct states visited.
    violation : tuple of str or None
        Shortest list of actions that breaks the property, if any does.
    """

    states: int
    violation: tuple[str, ...] | None


class Step(NamedTuple):
    """An action and the state it leads to."""

    action: str
    state: Hashable


def explore(
    initial: Hashable,
    list_steps: Callable[[Hashable], Iterable[Step]],
    holds: Callable[[Hashable], bool],
) -> Exploration:
    """Visit every reachable state breadth first."""
    parents: dict[Hashable, tuple[Hashable, str] | None] = {initial: None}
    waiting = deque([initial])
    while waiting:
        state = waiting.popleft()
        if not holds(state):
            return Exploration(len(parents), _trace(parents, state))
        for step in list_steps(state):
            if step.state not in parents:
                parents[step.state] = (state, step.action)
                waiting.append(step.state)
    return Exploration(len(parents), None)


def _trace(parents: dict, state: Hashable) -> tuple[str, ...]:
    actions = []
    while parents[state] is not None:
        state, action = parents[state]
        actions.append(action)
    return tuple(reversed(actions))
