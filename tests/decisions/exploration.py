"""Exhaustive exploration of the states of small models."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple


class Exploration(NamedTuple):
    """Result of an exploration.

    Parameters
    ----------
    states : int
        Number of distinct visited states.
    violation : tuple of str or None
        Shortest sequence of actions that violates the invariant; None if there is
        none.
    """

    states: int
    violation: tuple[str, ...] | None


class Transition(NamedTuple):
    """An action and the resulting state."""

    action: str
    state: Hashable


def explore(
    initial: Hashable,
    list_transitions: Callable[[Hashable], Iterable[Transition]],
    invariant: Callable[[Hashable], bool],
) -> Exploration:
    """Visit all reachable states breadth-first until one violates the invariant."""
    parents: dict[Hashable, tuple[Hashable, str] | None] = {initial: None}
    queue = deque([initial])
    while queue:
        state = queue.popleft()
        if not invariant(state):
            return Exploration(len(parents), _trace_actions(parents, state))
        for transition in list_transitions(state):
            if transition.state not in parents:
                parents[transition.state] = (state, transition.action)
                queue.append(transition.state)
    return Exploration(len(parents), None)


def _trace_actions(parents: dict, state: Hashable) -> tuple[str, ...]:
    actions = []
    while parents[state] is not None:
        state, action = parents[state]
        actions.append(action)
    return tuple(reversed(actions))
