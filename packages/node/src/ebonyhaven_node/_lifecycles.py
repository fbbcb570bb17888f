"""State machine of a run on the instance that relays it."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class RunState(enum.StrEnum):
    """State of a run on the instance that relays it."""

    WAITING = "waiting"
    DISPATCHING = "dispatching"
    STREAMING = "streaming"
    SUSPECTED = "suspected"
    CONTINUING = "continuing"
    COMPLETED = "completed"
    FAILED = "failed"


class RunLifecycle(Protocol):
    """Inputs of the state machine of a run."""

    def dispatch(self) -> None:
        """Record that the run is being sent to a backend server."""

    def stream(self) -> None:
        """Record that a stream was opened or has delivered tokens."""

    def suspect(self) -> None:
        """Record that the stream was lost or has exceeded its silence timeout."""

    def continue_elsewhere(self) -> None:
        """Record that the run is being sent to another engine to be continued."""

    def complete(self) -> None:
        """Record that the last token has arrived."""

    def fail(self) -> None:
        """Record that the run has ended without its last token."""

    def state(self) -> RunState:
        """Return the current state."""


class StateObserver:
    """Observer of state changes of a run.

    Parameters
    ----------
    observe : callable
        Called with each state that is entered.
    """

    __slots__ = ("observe",)

    def __init__(self, observe: Callable[[RunState], None]) -> None:
        self.observe = observe


def _build_machine() -> Callable[[StateObserver], RunLifecycle]:
    builder = TypeMachineBuilder(RunLifecycle, StateObserver)
    states = {state: builder.state(state.value) for state in RunState}

    def add_transition(origin: RunState, trigger: Callable, target: RunState) -> None:
        transition = states[origin].upon(trigger).to(states[target])

        @transition
        def enter(lifecycle: RunLifecycle, observer: StateObserver) -> None:
            observer.observe(target)

    def add_state_query(state: RunState) -> None:
        @states[state].upon(RunLifecycle.state).loop()
        def return_state(lifecycle: RunLifecycle, observer: StateObserver) -> RunState:
            return state

    waiting, dispatching = RunState.WAITING, RunState.DISPATCHING
    streaming, suspected = RunState.STREAMING, RunState.SUSPECTED
    continuing = RunState.CONTINUING
    # A successful probe returns a suspected run to streaming. If no token follows,
    # the run may still be restarted or continued elsewhere.
    for origin in (waiting, dispatching, streaming, suspected):
        add_transition(origin, RunLifecycle.dispatch, dispatching)
    for origin in (dispatching, streaming, suspected, continuing):
        add_transition(origin, RunLifecycle.stream, streaming)
    for origin in (dispatching, streaming, suspected, continuing):
        add_transition(origin, RunLifecycle.suspect, suspected)
    for origin in (waiting, streaming, suspected, continuing):
        add_transition(origin, RunLifecycle.continue_elsewhere, continuing)
    for origin in (streaming, suspected, continuing):
        add_transition(origin, RunLifecycle.complete, RunState.COMPLETED)
    for origin in (waiting, dispatching, streaming, suspected, continuing):
        add_transition(origin, RunLifecycle.fail, RunState.FAILED)
    for state in RunState:
        add_state_query(state)
    return builder.build()


# Called with an observer; returns the state machine of a run in the state `WAITING`.
make_run_lifecycle = _build_machine()
