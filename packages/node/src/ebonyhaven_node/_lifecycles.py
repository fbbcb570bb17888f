"""Life cycle of a run, as seen by the instance that relays it."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class RunState(enum.StrEnum):
    """States of a run."""

    WAITING = "waiting"
    DISPATCHING = "dispatching"
    STREAMING = "streaming"
    SUSPECTED = "suspected"
    CONTINUING = "continuing"
    COMPLETED = "completed"
    FAILED = "failed"


class RunLifecycle(Protocol):
    """Inputs that move a run from state to state."""

    def dispatch(self) -> None:
        """Note that a backend server was chosen and is being asked."""

    def stream(self) -> None:
        """Tokens are arriving, or are about to."""

    def suspect(self) -> None:
        """Note that the stream has been silent for too long, or has broken."""

    def continue_elsewhere(self) -> None:
        """Give the engine up and ask another one to go on."""

    def complete(self) -> None:
        """Note that the last token has arrived."""

    def fail(self) -> None:
        """End the run without its last token."""

    def state(self) -> RunState:
        """Return the present state."""


class StateObserver:
    """Receives each change of state.

    Parameters
    ----------
    observe : callable
        Called with the state that was entered.
    """

    __slots__ = ("observe",)

    def __init__(self, observe: Callable[[RunState], None]) -> None:
        self.observe = observe


def _build() -> Callable[[StateObserver], RunLifecycle]:
    builder = TypeMachineBuilder(RunLifecycle, StateObserver)
    states = {state: builder.state(state.value) for state in RunState}

    def connect(origin: RunState, trigger: Callable, target: RunState) -> None:
        transition = states[origin].upon(trigger).to(states[target])

        @transition
        def enter(lifecycle: RunLifecycle, observer: StateObserver) -> None:
            observer.observe(target)

    def report(state: RunState) -> None:
        @states[state].upon(RunLifecycle.state).loop()
        def tell(lifecycle: RunLifecycle, observer: StateObserver) -> RunState:
            return state

    waiting, dispatching = RunState.WAITING, RunState.DISPATCHING
    streaming, suspected = RunState.STREAMING, RunState.SUSPECTED
    continuing = RunState.CONTINUING
    # A probe that finds the run alive brings it back to streaming; it may still be
    # started again or continued elsewhere when no token follows.
    for origin in (waiting, dispatching, streaming, suspected):
        connect(origin, RunLifecycle.dispatch, dispatching)
    for origin in (dispatching, streaming, suspected, continuing):
        connect(origin, RunLifecycle.stream, streaming)
    for origin in (dispatching, streaming, suspected, continuing):
        connect(origin, RunLifecycle.suspect, suspected)
    for origin in (waiting, streaming, suspected, continuing):
        connect(origin, RunLifecycle.continue_elsewhere, continuing)
    for origin in (streaming, suspected, continuing):
        connect(origin, RunLifecycle.complete, RunState.COMPLETED)
    for origin in (waiting, dispatching, streaming, suspected, continuing):
        connect(origin, RunLifecycle.fail, RunState.FAILED)
    for state in RunState:
        report(state)
    return builder.build()


start_lifecycle = _build()
